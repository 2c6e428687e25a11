import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { Metrics, type MetricTags } from "./metrics.ts";

/** Kind, help text and labels of a metric. Durations are recorded in milliseconds and exposed in seconds. */
export interface MetricDefinition {
    kind: "counter" | "gauge" | "duration";
    help: string;
    labels?: readonly string[];
}

export type MetricTable = Readonly<Record<string, MetricDefinition>>;

/** Upper bounds of the duration buckets, in seconds, from a local response to the longest timeouts. */
const durationBucketsSeconds = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8, 16];
const metricPrefix = "lentilramp_";

/** Keeps counters, gauges and histograms and renders them in the Prometheus text format. */
export class PrometheusMetrics extends Metrics {
    private readonly registry = new Registry();
    private readonly counters = new Map<string, Counter>();
    private readonly gauges = new Map<string, Gauge>();
    private readonly durations = new Map<string, Histogram>();

    /** Registers the metrics of `table`; others are ignored, so that each has a help text and bounded labels. */
    constructor(table: MetricTable) {
        super();
        const registers = [this.registry];
        for (const [name, { kind, help, labels }] of Object.entries(table)) {
            const common = { help, labelNames: [...labels ?? []], registers };
            if (kind === "counter") {
                this.counters.set(name, new Counter({ ...common, name: `${metricPrefix}${name}_total` }));
            }
            else if (kind === "gauge") {
                this.gauges.set(name, new Gauge({ ...common, name: `${metricPrefix}${name}` }));
            }
            else {
                const buckets = durationBucketsSeconds;
                this.durations.set(name, new Histogram({ ...common, name: `${metricPrefix}${name}_seconds`, buckets }));
            }
        }
    }

    override count(name: string, value = 1, tags: MetricTags = {}): void {
        this.counters.get(name)?.inc({ ...tags }, value);
    }

    override gauge(name: string, value: number, tags: MetricTags = {}): void {
        this.gauges.get(name)?.set({ ...tags }, value);
    }

    override timing(name: string, milliseconds: number, tags: MetricTags = {}): void {
        this.durations.get(name)?.observe({ ...tags }, milliseconds / 1_000);
    }

    /** Returns all metrics in the Prometheus text format. */
    async render(): Promise<string> {
        return await this.registry.metrics();
    }

    override async close(): Promise<void> {
        this.registry.clear();
    }
}
