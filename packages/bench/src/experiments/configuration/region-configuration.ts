import { type Change, type Configuration, configurationSchema } from "@lentilramp/configuration";
import type { RandomSource } from "@lentilramp/runtime";

/** Replicas per node at the target size: 7,400 in front of which 1,600 nodes stand. */
const endpointsPerNode = 7_400 / 1_600;

function endpoint(region: number, index: number, domains: number, adapterVersion: number) {
    return {
        id: `r${region}-engine-${String(index).padStart(4, "0")}`,
        kind: "engine" as const,
        host: `10.${region}.${index >> 8}.${index & 255}`,
        port: 8_000,
        failureDomain: `r${region}-d${index % domains}`,
        models: ["desk-model"],
        services: [],
        adapters: [{ name: "quotes", version: `2026.${adapterVersion}` }],
        machineClass: "accelerator-8",
        checksFencing: true,
    };
}

function entry(region: number, index: number, domains: number, generation: number) {
    return {
        id: `r${region}-entry-${String(index).padStart(4, "0")}-${generation}`,
        host: `10.${100 + region}.${index >> 8}.${index & 255}`,
        port: 7_000,
        failureDomain: `r${region}-d${index % domains}`,
    };
}

function workspace(index: number, high: number) {
    return { id: `workspace-${index}`, share: 0.04, weights: { high, normal: 2, low: 1 } };
}

/** Builds the configuration of one region with its share of endpoints and entries. */
export function regionConfiguration(region: number, domains: number, nodes: number): Configuration {
    const name = `region-${region}`;
    const domainIds = [...Array(domains).keys()].map(domain => `r${region}-d${domain}`);
    const indexes = (count: number) => [...Array(Math.ceil(count)).keys()];
    return configurationSchema.parse({
        region: name,
        costWeight: 0.4,
        failureDomains: domainIds.map(id => ({ id, region: name })),
        links: domainIds.flatMap(from =>
            domainIds.filter(to => to !== from).map(to => ({ from, to, oneWayDelayMs: 5, relativeCost: 3 }))
        ),
        models: [{ name: "desk-model", contextTokens: 32_768 }],
        endpoints: indexes(nodes * endpointsPerNode).map(index => endpoint(region, index, domains, 0)),
        entries: indexes(nodes).map(index => entry(region, index, domains, 0)),
        workspaces: indexes(25).map(index => workspace(index, 4)),
        routes: [{
            name: "chat",
            target: { kind: "engine", model: "desk-model" },
            latencyTarget: { percentile: 95, firstTokenMs: 560, tokenGapMs: 71 },
            retry: { maxAttempts: 3, baseBackoffMs: 20, maxBackoffMs: 500 },
            hedge: { enabled: true, afterPercentile: 95 },
        }],
    });
}

/** A change of the experiment; it is made in each region to the item with the same index. */
export type PlannedChange = { kind: "endpoint" | "drain" | "entry" | "workspace"; index: number; };

/** Half of the changes load adapters, the rest are drains, replaced entries and changed weights. */
export function planChange(random: RandomSource, nodes: number): PlannedChange {
    const kinds = [
        "endpoint",
        "endpoint",
        "endpoint",
        "endpoint",
        "endpoint",
        "drain",
        "drain",
        "entry",
        "entry",
        "workspace",
    ];
    const kind = kinds[random.nextInt(kinds.length)] as PlannedChange["kind"];
    const count = { endpoint: nodes * endpointsPerNode, drain: nodes * endpointsPerNode, entry: nodes, workspace: 25 };
    return { kind, index: random.nextInt(Math.floor(count[kind])) };
}

/** Returns the change for one region, or the endpoint to drain. */
export function changeFor(
    plan: PlannedChange,
    region: number,
    domains: number,
    sequence: number,
): { change: Change; } | { drain: string; } {
    const { kind, index } = plan;
    switch (kind) {
        case "endpoint":
            return {
                change: {
                    upserts: { endpoints: [{ ...endpoint(region, index, domains, sequence), lifecycle: "active" }] },
                },
            };
        case "drain":
            return { drain: endpoint(region, index, domains, 0).id };
        case "entry":
            return { change: { upserts: { entries: [entry(region, index, domains, sequence)] } } };
        case "workspace":
            return {
                change: { upserts: { workspaces: [{ ...workspace(index, 4 + sequence), lifecycle: "active" }] } },
            };
    }
}
