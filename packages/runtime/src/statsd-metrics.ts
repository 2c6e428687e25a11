import { StatsD } from "hot-shots";
import { Metrics, type MetricTags } from "./metrics.ts";

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
