import type { RetryBudget } from "./retry-budget.ts";
import type { RequestKind } from "./retry-rules.ts";

/** Decides when a second copy of a request is sent. */
export abstract class HedgingPolicy {
    /** Records the time to the first byte of an attempt that was not cancelled. */
    abstract record(firstByteMs: number): void;
    /** Instant at which `tryHedge` should be called for a request sent at `sentAt`, or undefined for never. */
    abstract hedgeAt(request: RequestKind, sentAt: number): number | undefined;
    /** Takes a hedge from the budget; false when none may be sent. */
    abstract tryHedge(request: RequestKind, deadline: number, now: number): boolean;
}

export interface QuantileHedgingOptions {
    /** A request is hedged when it is slower than this share of the others. */
    quantile: number;
    minSamples: number;
    minDelayMs: number;
    /** Relative step of the estimate with each sample. */
    relativeStep: number;
}

export const quantileHedgingDefaults: QuantileHedgingOptions = {
    quantile: 0.95,
    minSamples: 50,
    minDelayMs: 10,
    relativeStep: 0.05,
};

/**
 * Hedges a plain idempotent call once when it is slower than a quantile of the recent ones, from the same budget
 * as the retries. Streams are not hedged: the copy would compute the whole prompt again.
 */
export class QuantileHedgingPolicy extends HedgingPolicy {
    private samples = 0;
    private estimateMs = 0;

    constructor(
        private readonly budget: RetryBudget,
        private readonly options: QuantileHedgingOptions = quantileHedgingDefaults,
    ) {
        super();
    }

    /** Moves the estimate up by `quantile` steps for a slower sample, and down by the rest for a faster one. */
    override record(firstByteMs: number): void {
        const { quantile, relativeStep } = this.options;
        this.samples++;
        if (this.samples === 1) {
            this.estimateMs = firstByteMs;
            return;
        }
        this.estimateMs *= firstByteMs > this.estimateMs
            ? 1 + relativeStep * quantile
            : 1 - relativeStep * (1 - quantile);
    }

    override hedgeAt(request: RequestKind, sentAt: number): number | undefined {
        return request === "plain" && this.samples >= this.options.minSamples
            ? sentAt + Math.max(this.options.minDelayMs, this.estimateMs)
            : undefined;
    }

    override tryHedge(request: RequestKind, deadline: number, now: number): boolean {
        return request === "plain" && now < deadline && this.budget.tryWithdraw(now);
    }
}
