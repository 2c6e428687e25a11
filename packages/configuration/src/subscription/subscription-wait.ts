import { maxSubscriptionWaitMs } from "./messages.ts";

/** Time of a permit that must remain after a lost answer; it covers an election, which takes about 1 s. */
export const permitReserveMs = 1_300;
/** Shortest wait of a subscription. It limits the request rate while the leader grants no permits. */
export const minSubscriptionWaitMs = 100;
/** Time after the end of the wait at which a subscription without an answer times out. */
export const answerMarginMs = 200;

/**
 * Returns the longest time in milliseconds that the publisher may hold the next subscription. It depends on the
 * remaining time of the permit: with a fixed wait, the first request after an election is held for 500 ms, and permits
 * expire meanwhile.
 */
export function subscriptionWait(remainingPermitMs: number): number {
    return Math.min(maxSubscriptionWaitMs, Math.max(minSubscriptionWaitMs, remainingPermitMs - permitReserveMs));
}

/** Returns the timeout in milliseconds of a subscription with the given wait; 700 ms for the longest wait. */
export function subscriptionTimeout(waitMs: number): number {
    return waitMs + answerMarginMs;
}
