interface Sample {
    latencyMs: number;
    recordedAt: number;
}

/**
 * Peak-sensitive moving average of each endpoint's latency. A higher sample takes effect immediately, so that a slow
 * endpoint is avoided after one slow response; lower samples are averaged in with a time constant.
 */
export class LatencyTable {
    private readonly latencies = new Map<string, Sample>();

    constructor(private readonly timeConstantMs = 10_000) {}

    record(endpoint: string, latencyMs: number, now: number): void {
        const previous = this.latencies.get(endpoint);
        const previousWeight = previous === undefined
            ? 0
            : Math.exp(-Math.max(0, now - previous.recordedAt) / this.timeConstantMs);
        const smoothedMs = previous === undefined
            ? latencyMs
            : previousWeight * previous.latencyMs + (1 - previousWeight) * latencyMs;
        this.latencies.set(endpoint, { latencyMs: Math.max(latencyMs, smoothedMs), recordedAt: now });
    }

    /** Returns the latency in ms. It decays while there are no samples, so that an avoided endpoint is tried again. */
    get(endpoint: string, now: number): number | undefined {
        const latest = this.latencies.get(endpoint);
        return latest === undefined
            ? undefined
            : latest.latencyMs * Math.exp(-Math.max(0, now - latest.recordedAt) / this.timeConstantMs);
    }

    delete(endpoint: string): void {
        this.latencies.delete(endpoint);
    }
}
