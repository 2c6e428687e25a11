interface Estimate {
    meanMs: number;
    deviationMs: number;
}

/** Mean and mean deviation of the service time of each kind of request, as in the estimate of round-trip times. */
export class ServiceTimeEstimator {
    private readonly kinds = new Map<string, Estimate>();

    constructor(private readonly gain = 0.05) {}

    record(kind: string, ms: number): void {
        const held = this.kinds.get(kind) ?? { meanMs: ms, deviationMs: 0 };
        held.deviationMs += this.gain * (Math.abs(ms - held.meanMs) - held.deviationMs);
        held.meanMs += this.gain * (ms - held.meanMs);
        this.kinds.set(kind, held);
    }

    /** Returns the estimate, or zeros for a kind without samples: without knowledge a request is not refused. */
    get(kind: string): Readonly<Estimate> {
        return this.kinds.get(kind) ?? { meanMs: 0, deviationMs: 0 };
    }
}
