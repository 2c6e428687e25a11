import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { Metrics, type MetricTags } from "./metrics.ts";

/** What one metric means, for whoever reads it. Durations are given in milliseconds and exposed in seconds. */
export interface MetricDefinition {
    kind: "counter" | "gauge" | "duration";
    help: string;
    labels?: readonly string[];
}

export type MetricTable = Readonly<Record<string, MetricDefinition>>;

/** Upper ends of the buckets of durations, in seconds: from a local answer to the longest time budgets. */
const durationBuckets = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8, 16];
const prefix = "lentilramp_";

/** Keeps counters, gauges and histograms and renders them in the text format that scrapers read. */
export class PrometheusMetrics extends Metrics {
    private readonly registry = new Registry();
    private readonly counters = new Map<string, Counter>();
    private readonly gauges = new Map<string, Gauge>();
    private readonly durations = new Map<string, Histogram>();

    /** Only metrics of the table exist, so that each has a help line and bounded labels. */
    constructor(table: MetricTable) {
        super();
        const registers = [this.registry];
        for (const [name, { kind, help, labels }] of Object.entries(table)) {
            const common = { help, labelNames: [...labels ?? []], registers };
            if (kind === "counter") {
                this.counters.set(name, new Counter({ ...common, name: `${prefix}${name}_total` }));
            }
            else if (kind === "gauge") {
                this.gauges.set(name, new Gauge({ ...common, name: `${prefix}${name}` }));
            }
            else {
                const buckets = durationBuckets;
                this.durations.set(name, new Histogram({ ...common, name: `${prefix}${name}_seconds`, buckets }));
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

    /** The text that a scraper gets. */
    async render(): Promise<string> {
        return await this.registry.metrics();
    }

    override async close(): Promise<void> {
        this.registry.clear();
    }
}
