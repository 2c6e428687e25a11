import type { Configuration, Endpoint } from "@lentilramp/configuration";
import { chooseSubset, type Endpoint as RoutedEndpoint, EndpointTable, LinkTable } from "@lentilramp/routing";
import { type Clock, type EventLog, PeriodicComponent, type RandomSource } from "@lentilramp/runtime";
import { z } from "zod";
import type { UpstreamClient } from "./upstream.ts";

const pollIntervalMs = 250;
const pollDeadlineMs = 1_000;
/** Prefill speed of an engine in tokens per millisecond; load reports do not contain it. */
const defaultPrefillTokensPerMs = 10;

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

/** Builds the table of the links that start in a failure domain. */
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

/** Polls the load reports and prefix-cache events of endpoints and updates the routing table with them. */
export class EndpointObserver extends PeriodicComponent {
    readonly name = "endpoint-observer";
    private endpointTable: EndpointTable;
    private endpoints: readonly Endpoint[] = [];
    private readonly lastSequence = new Map<string, number>();
    private readonly leavingIds = new Set<string>();
    private readonly leavingListeners: ((endpoint: Endpoint) => void)[] = [];

    constructor(
        private readonly entryName: string,
        private readonly localDomain: string,
        private readonly upstream: UpstreamClient,
        clock: Clock,
        private readonly random: RandomSource,
        private readonly log: EventLog,
    ) {
        super(clock, pollIntervalMs);
        this.endpointTable = new EndpointTable(new LinkTable({}), random);
    }

    get table(): EndpointTable {
        return this.endpointTable;
    }

    /** Applies a new configuration. The routing table is created anew only while no endpoint is known. */
    setConfiguration(configuration: Configuration): void {
        if (this.endpoints.length === 0) {
            this.endpointTable = new EndpointTable(buildLinkTable(configuration, this.localDomain), this.random);
        }
        this.endpoints = this.selectEndpoints(configuration);
        this.updateTable();
        this.upstream.retainPools(new Set(this.endpoints.map(endpoint => endpoint.id)));
    }

    /** Selects the endpoints that this entry uses: a bounded number for each model and service. */
    private selectEndpoints(configuration: Configuration): Endpoint[] {
        const groups = [
            ...configuration.models.map(model =>
                configuration.endpoints.filter(endpoint => endpoint.models.includes(model.name))
            ),
            ...configuration.services.map(service =>
                configuration.endpoints.filter(endpoint => endpoint.services.includes(service.name))
            ),
        ];
        const chosen = groups.flatMap(group => chooseSubset(this.entryName, this.localDomain, group));
        return [...new Map(chosen.map(endpoint => [endpoint.id, endpoint])).values()];
    }

    /** Registers a listener that is called when an endpoint is first listed as leaving. */
    onLeaving(listener: (endpoint: Endpoint) => void): void {
        this.leavingListeners.push(listener);
    }

    /** Replaces the ids of endpoints that the platform lists as leaving. These endpoints get no new requests. */
    setLeaving(ids: ReadonlySet<string>): void {
        const changed = ids.size !== this.leavingIds.size || [...ids].some(id => !this.leavingIds.has(id));
        if (changed) {
            const added = this.endpoints.filter(endpoint => ids.has(endpoint.id) && !this.leavingIds.has(endpoint.id));
            this.leavingIds.clear();
            ids.forEach(id => this.leavingIds.add(id));
            this.log.info("endpoints.leaving", { endpoints: [...ids].join(",") });
            this.updateTable();
            added.forEach(endpoint => this.leavingListeners.forEach(listener => listener(endpoint)));
        }
    }

    find(id: string): Endpoint | undefined {
        return this.endpoints.find(endpoint => endpoint.id === id);
    }

    private updateTable(): void {
        const usable = this.endpoints.filter(endpoint =>
            (endpoint.lifecycle === "active" || endpoint.lifecycle === "planned") && !this.leavingIds.has(endpoint.id)
        );
        this.endpointTable.setEndpoints(usable.map(toRouted));
    }

    protected override async runOnce(): Promise<void> {
        await Promise.all(this.endpoints.map(endpoint => this.pollLoad(endpoint).catch(() => undefined)));
    }

    protected override onFailure(): void {
        // Endpoints are polled independently. An unreachable endpoint keeps its last report, whose age grows.
    }

    /** Returns the delay until the next poll, with jitter so that entries do not poll an endpoint at the same time. */
    protected override nextDelayMs(): number {
        return pollIntervalMs * (0.75 + 0.5 * this.random.next());
    }

    private async pollLoad(endpoint: Endpoint): Promise<void> {
        const load = await this.getJson(endpoint, "/v1/load", loadSchema);
        const now = this.clock.now();
        this.endpointTable.acceptReport(endpoint.id, {
            measuredAt: Math.min(load.at, now),
            waitingTokens: { high: 0, normal: load.queuedPrefillTokens, low: 0 },
            requests: load.running + load.queued,
            prefillTokensPerMs: defaultPrefillTokensPerMs,
        });
        if (endpoint.kind === "engine") {
            await this.pollCacheEvents(endpoint);
        }
    }

    private async pollCacheEvents(endpoint: Endpoint): Promise<void> {
        const after = this.lastSequence.get(endpoint.id) ?? 0;
        const { events } = await this.getJson(endpoint, `/v1/cache/events?after=${after}`, eventsSchema);
        for (const event of events) {
            const blocks = event.blocks.map(parseBlock);
            this.endpointTable.acceptCacheBatch(endpoint.id, {
                generation: 1,
                sequence: event.sequence,
                stored: event.kind === "stored" ? blocks : [],
                removed: event.kind === "evicted" ? blocks : [],
            }, this.clock.now());
            this.lastSequence.set(endpoint.id, event.sequence);
        }
        if (this.endpointTable.takeSnapshotRequests(this.clock.now(), [endpoint.id]).length > 0) {
            const listing = await this.getJson(endpoint, "/v1/cache", listingSchema);
            const snapshot = { generation: 1, sequence: listing.sequence, blocks: listing.blocks.map(parseBlock) };
            this.endpointTable.acceptCacheSnapshot(endpoint.id, snapshot, this.clock.now());
            this.lastSequence.set(endpoint.id, listing.sequence);
        }
    }

    private async getJson<T extends z.ZodType>(endpoint: Endpoint, path: string, schema: T): Promise<z.infer<T>> {
        return await this.upstream.getJson(endpoint, path, schema, this.clock.now() + pollDeadlineMs);
    }
}
