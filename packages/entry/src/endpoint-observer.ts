import type { Configuration, Endpoint } from "@lentilramp/configuration";
import { chooseSubset, type Endpoint as RoutedEndpoint, EndpointTable, LinkTable } from "@lentilramp/routing";
import { type Clock, type EventLog, PeriodicComponent, type RandomSource } from "@lentilramp/runtime";
import { z } from "zod";
import type { UpstreamClient } from "./upstream.ts";

const pollIntervalMs = 250;
const pollDeadlineMs = 1_000;
/** Prompt tokens that an engine computes in a millisecond, assumed because load reports do not state it. */
const assumedPrefillTokensPerMs = 10;

const loadSchema = z.object({
    at: z.number(),
    running: z.number(),
    queued: z.number(),
    queuedPrefillTokens: z.number(),
});
const eventsSchema = z.object({
    events: z.array(z.object({ sequence: z.int(), kind: z.enum(["stored", "evicted"]), blocks: z.array(z.string()) })),
});
const listingSchema = z.object({ sequence: z.int(), blocks: z.array(z.string()) });

function parseBlock(text: string): number {
    return Number.parseInt(text, 16);
}

/** Builds the table of links from the failure domain of this entry. */
export function buildLinkTable(configuration: Configuration, failureDomain: string): LinkTable {
    return new LinkTable(Object.fromEntries(
        configuration.links
            .filter(link => link.from === failureDomain)
            .map(
                link => [link.to, { delayMs: link.oneWayDelayMs, cost: link.from === link.to ? 0 : link.relativeCost }],
            ),
    ));
}

function toRouted(endpoint: Endpoint): RoutedEndpoint {
    return {
        id: endpoint.id,
        failureDomain: endpoint.failureDomain,
        models: endpoint.models.map(model => ({
            model,
            version: "1",
            adapters: endpoint.adapters.map(adapter => adapter.name),
        })),
    };
}

/** Polls load reports and cache events of the endpoints and keeps them for routing. */
export class EndpointObserver extends PeriodicComponent {
    readonly name = "endpoint-observer";
    private observed: EndpointTable;
    private endpoints: readonly Endpoint[] = [];
    private readonly lastSequence = new Map<string, number>();
    private readonly leaving = new Set<string>();
    private readonly leavingListeners: ((endpoint: Endpoint) => void)[] = [];

    constructor(
        private readonly ownName: string,
        private readonly ownDomain: string,
        private readonly upstream: UpstreamClient,
        clock: Clock,
        private readonly random: RandomSource,
        private readonly log: EventLog,
    ) {
        super(clock, pollIntervalMs);
        this.observed = new EndpointTable(new LinkTable({}), random);
    }

    get table(): EndpointTable {
        return this.observed;
    }

    /** Takes a new configuration; the table is replaced only when the links change. */
    setConfiguration(configuration: Configuration): void {
        if (this.endpoints.length === 0) {
            this.observed = new EndpointTable(buildLinkTable(configuration, this.ownDomain), this.random);
        }
        this.endpoints = this.subset(configuration);
        this.refresh();
        this.upstream.retainPools(new Set(this.endpoints.map(endpoint => endpoint.id)));
    }

    /** Endpoints that this entry uses: a bounded number for each model and service. */
    private subset(configuration: Configuration): Endpoint[] {
        const groups = [
            ...configuration.models.map(model =>
                configuration.endpoints.filter(endpoint => endpoint.models.includes(model.name))
            ),
            ...configuration.services.map(service =>
                configuration.endpoints.filter(endpoint => endpoint.services.includes(service.name))
            ),
        ];
        const chosen = groups.flatMap(group => chooseSubset(this.ownName, this.ownDomain, group));
        return [...new Map(chosen.map(endpoint => [endpoint.id, endpoint])).values()];
    }

    /** Runs `listener` when an endpoint is first named as leaving. */
    onLeaving(listener: (endpoint: Endpoint) => void): void {
        this.leavingListeners.push(listener);
    }

    /** Marks the endpoints that the platform's list names as leaving; they get no new work. */
    setLeaving(ids: ReadonlySet<string>): void {
        const changed = ids.size !== this.leaving.size || [...ids].some(id => !this.leaving.has(id));
        if (changed) {
            const added = this.endpoints.filter(endpoint => ids.has(endpoint.id) && !this.leaving.has(endpoint.id));
            this.leaving.clear();
            ids.forEach(id => this.leaving.add(id));
            this.log.info("endpoints.leaving", { endpoints: [...ids].join(",") });
            this.refresh();
            added.forEach(endpoint => this.leavingListeners.forEach(listener => listener(endpoint)));
        }
    }

    find(id: string): Endpoint | undefined {
        return this.endpoints.find(endpoint => endpoint.id === id);
    }

    private refresh(): void {
        const usable = this.endpoints.filter(endpoint =>
            (endpoint.lifecycle === "active" || endpoint.lifecycle === "planned") && !this.leaving.has(endpoint.id)
        );
        this.observed.setEndpoints(usable.map(toRouted));
    }

    protected override async runOnce(): Promise<void> {
        await Promise.all(this.endpoints.map(endpoint => this.observe(endpoint).catch(() => undefined)));
    }

    protected override onFailure(): void {
        // Each endpoint is observed by itself; an unreachable one keeps its last report, which ages.
    }

    /** The random part keeps entries from polling the same endpoint at the same instant. */
    protected override nextDelayMs(): number {
        return pollIntervalMs * (0.75 + 0.5 * this.random.next());
    }

    private async observe(endpoint: Endpoint): Promise<void> {
        const load = await this.get(endpoint, "/v1/load", loadSchema);
        const now = this.clock.now();
        this.observed.acceptReport(endpoint.id, {
            measuredAt: Math.min(load.at, now),
            waitingTokens: { high: 0, normal: load.queuedPrefillTokens, low: 0 },
            requests: load.running + load.queued,
            prefillTokensPerMs: assumedPrefillTokensPerMs,
        });
        if (endpoint.kind === "engine") {
            await this.observeCache(endpoint);
        }
    }

    private async observeCache(endpoint: Endpoint): Promise<void> {
        const after = this.lastSequence.get(endpoint.id) ?? 0;
        const { events } = await this.get(endpoint, `/v1/cache/events?after=${after}`, eventsSchema);
        for (const event of events) {
            const blocks = event.blocks.map(parseBlock);
            this.observed.acceptCacheBatch(endpoint.id, {
                generation: 1,
                sequence: event.sequence,
                stored: event.kind === "stored" ? blocks : [],
                removed: event.kind === "evicted" ? blocks : [],
            }, this.clock.now());
            this.lastSequence.set(endpoint.id, event.sequence);
        }
        if (this.observed.takeSnapshotRequests(this.clock.now(), [endpoint.id]).length > 0) {
            const listing = await this.get(endpoint, "/v1/cache", listingSchema);
            const snapshot = { generation: 1, sequence: listing.sequence, blocks: listing.blocks.map(parseBlock) };
            this.observed.acceptCacheSnapshot(endpoint.id, snapshot, this.clock.now());
            this.lastSequence.set(endpoint.id, listing.sequence);
        }
    }

    private async get<T extends z.ZodType>(endpoint: Endpoint, path: string, schema: T): Promise<z.infer<T>> {
        return await this.upstream.getJson(endpoint, path, schema, this.clock.now() + pollDeadlineMs);
    }
}
