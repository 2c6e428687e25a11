interface Latency {
    ms: number;
    at: number;
}

/**
 * Latency of each endpoint: takes a higher sample at once and approaches lower ones with a time constant,
 * so that a slow endpoint is avoided after one slow answer.
 */
export class LatencyTable {
    private readonly latencies = new Map<string, Latency>();

    constructor(private readonly timeConstantMs = 10_000) {}

    record(endpoint: string, ms: number, now: number): void {
        const held = this.latencies.get(endpoint);
        const weight = held === undefined ? 0 : Math.exp(-Math.max(0, now - held.at) / this.timeConstantMs);
        const blended = held === undefined ? ms : weight * held.ms + (1 - weight) * ms;
        this.latencies.set(endpoint, { ms: Math.max(ms, blended), at: now });
    }

    /** Returns the latency, which decays without samples so that an avoided endpoint is tried again. */
    get(endpoint: string, now: number): number | undefined {
        const held = this.latencies.get(endpoint);
        return held === undefined ? undefined : held.ms * Math.exp(-Math.max(0, now - held.at) / this.timeConstantMs);
    }

    delete(endpoint: string): void {
        this.latencies.delete(endpoint);
    }
}
