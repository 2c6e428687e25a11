/** Load of an engine or service at the instant `at`. */
export interface LoadReport {
    at: number;
    running: number;
    queued: number;
    queuedPrefillTokens: number;
}

/** Keeps samples of the load and serves the newest one that is older than the lag. */
export class LoadReporter {
    private samples: LoadReport[] = [];

    constructor(private readonly intervalMs: number, private readonly lagMs: number) {}

    /** Adds a sample unless the interval since the last one has not passed. */
    sample(report: LoadReport): void {
        const last = this.samples.at(-1);
        if (last === undefined || report.at - last.at >= this.intervalMs) {
            this.samples.push(report);
        }
    }

    read(now: number): LoadReport {
        const visible = this.samples.filter(sample => sample.at <= now - this.lagMs);
        const newest = visible.at(-1);
        if (newest !== undefined) {
            this.samples = this.samples.filter(sample => sample.at >= newest.at);
        }
        return newest ?? { at: now - this.lagMs, running: 0, queued: 0, queuedPrefillTokens: 0 };
    }
}
