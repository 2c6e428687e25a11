import { maxSubscriptionWaitMs } from "./messages.ts";

/** Time of a permit that must remain after a lost answer, for an election of about 1 s. */
export const permitReserveMs = 1_300;
/** Shortest wait; bounds the rate of requests while the leader grants no permit. */
export const minSubscriptionWaitMs = 100;
/** A call without an answer is given up this long after the publisher should have answered. */
export const answerMarginMs = 200;

/**
 * Returns how long the publisher may hold the next subscription, given the remaining time of the permit. Without this
 * rule the first request after an election waited 500 ms for its answer, and permits ended meanwhile.
 */
export function subscriptionWait(remainingPermitMs: number): number {
    return Math.min(maxSubscriptionWaitMs, Math.max(minSubscriptionWaitMs, remainingPermitMs - permitReserveMs));
}

/** Returns after which time a subscription with the given wait is given up; 700 ms for the usual wait. */
export function subscriptionTimeout(waitMs: number): number {
    return waitMs + answerMarginMs;
}
