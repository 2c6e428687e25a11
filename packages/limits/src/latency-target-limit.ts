import { ConcurrencyLimit } from "./concurrency-limit.ts";

export interface LatencyTargetOptions {
    initial: number;
    min: number;
    max: number;
    /** Latency to hold; for engines the time to the first token, so that the length of answers does not count. */
    targetMs: number;
    /** Share of the samples of a window that must be within the target. */
    quantile: number;
    /** Samples of a window: enough for the quantile, few enough to follow a change within seconds. */
    windowSamples: number;
    decrease: number;
}

export const latencyTargetDefaults: LatencyTargetOptions = {
    initial: 32,
    min: 4,
    max: 1_000,
    targetMs: 750,
    quantile: 0.9,
    windowSamples: 20,
    decrease: 0.9,
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
        this.current = this.options.initial;
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
        const { min, max, quantile, decrease } = this.options;
        if (this.slow > this.samples * (1 - quantile)) {
            this.current = Math.max(min, this.current * decrease);
        }
        else if (this.mostInFlight >= 0.9 * this.limit) {
            this.current = Math.min(max, this.current + Math.max(1, Math.sqrt(this.current) / 2));
        }
        this.samples = 0;
        this.slow = 0;
        this.mostInFlight = 0;
    }
}
