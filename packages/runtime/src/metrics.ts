export type MetricTags = Readonly<Record<string, string>>;

/** Records counters, gauges and timings. */
export abstract class Metrics {
    abstract count(name: string, value?: number, tags?: MetricTags): void;
    abstract gauge(name: string, value: number, tags?: MetricTags): void;
    /** Records a duration in milliseconds. */
    abstract timing(name: string, milliseconds: number, tags?: MetricTags): void;
    abstract close(): Promise<void>;
}

/** Keeps counter totals and the last gauge values in memory; used in tests and without a StatsD address. */
export class MemoryMetrics extends Metrics {
    readonly values = new Map<string, number>();

    override count(name: string, value = 1): void {
        this.values.set(name, (this.values.get(name) ?? 0) + value);
    }

    override gauge(name: string, value: number): void {
        this.values.set(name, value);
    }

    override timing(name: string): void {
        this.count(`${name}.count`);
    }

    override async close(): Promise<void> {
        // Nothing to release.
    }
}
