import { ConcurrencyLimit } from "./concurrency-limit.ts";

export interface LatencyTargetOptions {
    initialLimit: number;
    minLimit: number;
    maxLimit: number;
    /** Target latency; for engines the time to the first token, which does not depend on the answer's length. */
    targetMs: number;
    /** Share of the samples in a window that must meet the target. */
    quantile: number;
    /** Number of samples in a window: enough for the quantile, few enough to follow a change within seconds. */
    windowSamples: number;
    /** Factor applied to the limit after a window that misses the target. */
    decreaseFactor: number;
}

export const latencyTargetDefaults: LatencyTargetOptions = {
    initialLimit: 32,
    minLimit: 4,
    maxLimit: 1_000,
    targetMs: 750,
    quantile: 0.9,
    windowSamples: 20,
    decreaseFactor: 0.9,
};

/** Share of the limit that must have been in flight in a window for the limit to grow. */
const minUsedShareToGrow = 0.9;

/**
 * Limit with additive increase and multiplicative decrease on a latency quantile. It grows only while requests use it
 * up, because latencies below the limit do not show the latency at the limit.
 */
export class LatencyTargetLimit extends ConcurrencyLimit {
    private currentLimit: number;
    private readonly options: LatencyTargetOptions;
    private slowSamples = 0;
    private sampleCount = 0;
    private maxInFlight = 0;

    constructor(options: Partial<LatencyTargetOptions> = {}) {
        super();
        this.options = { ...latencyTargetDefaults, ...options };
        this.currentLimit = this.options.initialLimit;
    }

    override get limit(): number {
        return Math.floor(this.currentLimit);
    }

    override onSample(latencyMs: number, inFlight: number, succeeded: boolean): void {
        this.sampleCount++;
        this.slowSamples += !succeeded || latencyMs > this.options.targetMs ? 1 : 0;
        this.maxInFlight = Math.max(this.maxInFlight, inFlight);
        if (this.sampleCount >= this.options.windowSamples) {
            this.adjust();
        }
    }

    private adjust(): void {
        const { minLimit, maxLimit, quantile, decreaseFactor } = this.options;
        if (this.slowSamples > this.sampleCount * (1 - quantile)) {
            this.currentLimit = Math.max(minLimit, this.currentLimit * decreaseFactor);
        }
        else if (this.maxInFlight >= minUsedShareToGrow * this.limit) {
            this.currentLimit = Math.min(maxLimit, this.currentLimit + Math.max(1, Math.sqrt(this.currentLimit) / 2));
        }
        this.sampleCount = 0;
        this.slowSamples = 0;
        this.maxInFlight = 0;
    }
}
