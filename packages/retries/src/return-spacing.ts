import type { RandomSource } from "@lentilramp/runtime";

export interface ReturnSpacingOptions {
    minMs: number;
    maxMs: number;
}

export const returnSpacingDefaults: ReturnSpacingOptions = { minMs: 100, maxMs: 2_000 };

/**
 * Delays with which refused callers return one after another at the rate at which they can be served, instead of all
 * at once. Callers for whom there is no place within the longest delay return at random instants of its second half.
 */
export class ReturnSpacing {
    private lastReturnAt = -Infinity;

    constructor(
        private readonly random: RandomSource,
        private readonly options: ReturnSpacingOptions = returnSpacingDefaults,
    ) {}

    /** Returns the delay for a caller that is refused now; `spacingMs` is the mean time between two served requests. */
    nextDelayMs(now: number, spacingMs: number): number {
        const { minMs, maxMs } = this.options;
        const returnAt = Math.max(now + minMs, this.lastReturnAt + spacingMs * (0.5 + this.random.next()));
        if (returnAt > now + maxMs) {
            return maxMs * (0.5 + this.random.next() / 2);
        }
        this.lastReturnAt = returnAt;
        return returnAt - now + this.random.next() * minMs;
    }
}
