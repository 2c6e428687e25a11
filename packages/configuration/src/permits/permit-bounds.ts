import { extendForClockRateError } from "../rules/clock-rate.ts";

/** Duration of a send permit, counted from the instant at which its request was sent (R5 allows 3 s). */
export const permitDurationMs = 2_500;

/** Time, by the clock of the leader, after which every permit requested earlier has expired. */
export const permitExpiryBoundMs = extendForClockRateError(permitDurationMs);
