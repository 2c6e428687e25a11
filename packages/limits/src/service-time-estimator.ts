interface Estimate {
    meanMs: number;
    deviationMs: number;
}

/** Estimates the mean and mean deviation of the service time per request kind, as TCP does for round-trip times. */
export class ServiceTimeEstimator {
    private readonly estimates = new Map<string, Estimate>();

    constructor(private readonly gain = 0.05) {}

    record(kind: string, ms: number): void {
        const estimate = this.estimates.get(kind) ?? { meanMs: ms, deviationMs: 0 };
        estimate.deviationMs += this.gain * (Math.abs(ms - estimate.meanMs) - estimate.deviationMs);
        estimate.meanMs += this.gain * (ms - estimate.meanMs);
        this.estimates.set(kind, estimate);
    }

    /** Returns the estimate, or zeros for a kind without samples, so that such requests are not refused. */
    get(kind: string): Readonly<Estimate> {
        return this.estimates.get(kind) ?? { meanMs: 0, deviationMs: 0 };
    }
}
