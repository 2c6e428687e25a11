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
            this.forget(report.at);
            this.samples.push(report);
        }
    }

    read(now: number): LoadReport {
        this.forget(now);
        const [oldest] = this.samples;
        return oldest !== undefined && oldest.at <= now - this.lagMs
            ? oldest
            : { at: now - this.lagMs, running: 0, queued: 0, queuedPrefillTokens: 0 };
    }

    /** Drops the samples before the newest one that is older than the lag. */
    private forget(now: number): void {
        const newest = this.samples.findLastIndex(sample => sample.at <= now - this.lagMs);
        this.samples = this.samples.slice(Math.max(0, newest));
    }
}
