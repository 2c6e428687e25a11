import type { RetryBudget } from "./retry-budget.ts";
import type { RequestKind } from "./retry-rules.ts";

/** Decides whether and when a hedge, a second copy of a request, is sent. */
export abstract class HedgingPolicy {
    /** Records the time to the first byte of an attempt that was not cancelled. */
    abstract record(firstByteMs: number): void;
    /** Returns the instant to call `tryHedge` for a request sent at `sentAt`, or undefined if it is not hedged. */
    abstract hedgeAt(request: RequestKind, sentAt: number): number | undefined;
    /** Withdraws a hedge from the budget and returns true, or returns false if no hedge may be sent. */
    abstract tryHedge(request: RequestKind, deadline: number, now: number): boolean;
}

export interface QuantileHedgingOptions {
    /** Latency quantile after which a request is hedged. */
    quantile: number;
    minSamples: number;
    minDelayMs: number;
    /** Relative change of the quantile estimate per sample. */
    relativeStep: number;
}

export const quantileHedgingDefaults: QuantileHedgingOptions = {
    quantile: 0.95,
    minSamples: 50,
    minDelayMs: 10,
    relativeStep: 0.05,
};

/**
 * Hedges a plain idempotent call once it is slower than a quantile of recent calls. Hedges and retries share a budget.
 * Streams are not hedged, because the copy would prefill the whole prompt again.
 */
export class QuantileHedgingPolicy extends HedgingPolicy {
    private sampleCount = 0;
    private estimateMs = 0;

    constructor(
        private readonly budget: RetryBudget,
        private readonly options: QuantileHedgingOptions = quantileHedgingDefaults,
    ) {
        super();
    }

    /** Raises the estimate by `quantile` steps for a slower sample, and lowers it by `1 - quantile` steps otherwise. */
    override record(firstByteMs: number): void {
        const { quantile, relativeStep } = this.options;
        this.sampleCount++;
        if (this.sampleCount === 1) {
            this.estimateMs = firstByteMs;
            return;
        }
        this.estimateMs *= firstByteMs > this.estimateMs
            ? 1 + relativeStep * quantile
            : 1 - relativeStep * (1 - quantile);
    }

    override hedgeAt(request: RequestKind, sentAt: number): number | undefined {
        return request === "plain" && this.sampleCount >= this.options.minSamples
            ? sentAt + Math.max(this.options.minDelayMs, this.estimateMs)
            : undefined;
    }

    override tryHedge(request: RequestKind, deadline: number, now: number): boolean {
        return request === "plain" && now < deadline && this.budget.tryWithdraw(now);
    }
}
