import { extendForClockRateError } from "../rules/clock-rate.ts";

/** A send permit ends this long after the instant at which its request was sent (R5 allows 3 s). */
export const permitDurationMs = 2_500;

/** Time after which a leader knows, by its own clock, that every permit requested before has ended. */
export const permitExpiryBoundMs = extendForClockRateError(permitDurationMs);
