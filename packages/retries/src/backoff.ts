import type { RandomSource } from "@lentilramp/runtime";

export interface BackoffOptions {
    baseMs: number;
    maxMs: number;
}

export const backoffDefaults: BackoffOptions = { baseMs: 20, maxMs: 1_000 };

/**
 * Returns a delay by exponential backoff with full jitter: a random time up to a bound that doubles with each retry, so
 * that requests that failed together are not retried together. `retry` counts from 1.
 */
export function backoffMs(retry: number, random: RandomSource, options: BackoffOptions = backoffDefaults): number {
    return random.next() * Math.min(options.maxMs, options.baseMs * 2 ** (retry - 1));
}
