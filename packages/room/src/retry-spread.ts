import type { RandomSource } from "@lentilramp/runtime";

/** Bounds of the retry delay, in milliseconds; as in `dispatchDefaults` of the dispatch package. */
export const minRetryMs = 60;
export const maxRetryMs = 1_500;
/** Part of the range by which successive delays move on: the golden ratio, which spreads any number of them evenly. */
const golden = (Math.sqrt(5) - 1) / 2;
/** Shortest range of delays, in milliseconds, so that callers that were refused together do not return together. */
const minSpreadMs = 60;

/** Spreads the retries of refused callers evenly over the time in which capacity becomes free. */
export class RetrySpread {
    private position: number;

    constructor(random: RandomSource) {
        // Ingresses start at different positions, so that their callers do not return at the same instants.
        this.position = random.next();
    }

    /** Returns the next retry delay; `clearMs` is the time in which the work refused by the whole fleet could be served. */
    nextDelayMs(clearMs: number): number {
        this.position = (this.position + golden) % 1;
        const latest = Math.min(maxRetryMs, Math.max(minRetryMs + minSpreadMs, clearMs));
        return minRetryMs + this.position * (latest - minRetryMs);
    }
}
