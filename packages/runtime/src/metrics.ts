import { StatsD } from "hot-shots";

export type MetricTags = Readonly<Record<string, string>>;

/** Records counters, gauges and timings. */
export abstract class Metrics {
    abstract count(name: string, value?: number, tags?: MetricTags): void;
    abstract gauge(name: string, value: number, tags?: MetricTags): void;
    /** Records a duration in milliseconds. */
    abstract timing(name: string, milliseconds: number, tags?: MetricTags): void;
    abstract close(): Promise<void>;
}

export interface StatsdAddress {
    host: string;
    port: number;
}

/** Sends metrics to a StatsD server over UDP. Send errors are ignored, since metrics must not stop the service. */
export class StatsdMetrics extends Metrics {
    private readonly client: StatsD;

    constructor(address: StatsdAddress, globalTags: MetricTags) {
        super();
        this.client = new StatsD({
            host: address.host,
            port: address.port,
            prefix: "lentilramp.",
            globalTags: { ...globalTags },
            errorHandler: () => undefined,
            maxBufferSize: 1_400,
            bufferFlushInterval: 1_000,
        });
    }

    override count(name: string, value = 1, tags: MetricTags = {}): void {
        this.client.increment(name, value, { ...tags });
    }

    override gauge(name: string, value: number, tags: MetricTags = {}): void {
        this.client.gauge(name, value, { ...tags });
    }

    override timing(name: string, milliseconds: number, tags: MetricTags = {}): void {
        this.client.timing(name, milliseconds, { ...tags });
    }

    override async close(): Promise<void> {
        await new Promise<void>(resolve => this.client.close(() => resolve()));
    }
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
