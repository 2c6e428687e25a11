import { ConcurrencyLimit } from "./concurrency-limit.ts";

export interface LatencyTargetOptions {
    initialLimit: number;
    minLimit: number;
    maxLimit: number;
    /** Latency to hold; for engines the time to the first token, so that the length of answers does not count. */
    targetMs: number;
    /** Share of the samples of a window that must be within the target. */
    quantile: number;
    /** Samples of a window: enough for the quantile, few enough to follow a change within seconds. */
    windowSamples: number;
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

/**
 * Additive increase, multiplicative decrease on a quantile of the latency. The limit grows only while it is
 * used, because an unused limit says nothing about the latency at that limit.
 */
export class LatencyTargetLimit extends ConcurrencyLimit {
    private current: number;
    private readonly options: LatencyTargetOptions;
    private slow = 0;
    private samples = 0;
    private mostInFlight = 0;

    constructor(options: Partial<LatencyTargetOptions> = {}) {
        super();
        this.options = { ...latencyTargetDefaults, ...options };
        this.current = this.options.initialLimit;
    }

    override get limit(): number {
        return Math.floor(this.current);
    }

    override onSample(latencyMs: number, inFlight: number, ok: boolean): void {
        this.samples++;
        this.slow += !ok || latencyMs > this.options.targetMs ? 1 : 0;
        this.mostInFlight = Math.max(this.mostInFlight, inFlight);
        if (this.samples >= this.options.windowSamples) {
            this.adjust();
        }
    }

    private adjust(): void {
        const { minLimit, maxLimit, quantile, decreaseFactor } = this.options;
        if (this.slow > this.samples * (1 - quantile)) {
            this.current = Math.max(minLimit, this.current * decreaseFactor);
        }
        else if (this.mostInFlight >= 0.9 * this.limit) {
            this.current = Math.min(maxLimit, this.current + Math.max(1, Math.sqrt(this.current) / 2));
        }
        this.samples = 0;
        this.slow = 0;
        this.mostInFlight = 0;
    }
}
