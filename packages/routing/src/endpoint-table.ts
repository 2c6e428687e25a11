import type { RandomSource } from "@lentilramp/runtime";
import type { CacheEventBatch, CacheMapOptions, CacheSnapshot } from "./cache-map.ts";
import { CacheMap, cacheMapDefaults } from "./cache-map.ts";
import { EjectionTable } from "./ejection-table.ts";
import type { EndpointView } from "./endpoint-view.ts";
import type { Endpoint, EngineRequest, RouteRequest } from "./endpoint.ts";
import { InFlightTable } from "./in-flight-table.ts";
import { LatencyTable } from "./latency-table.ts";
import type { Link, LinkTable } from "./link-table.ts";
import type { LoadReport } from "./load-report.ts";
import { LoadReportTable } from "./load-report.ts";

export interface EndpointTableOptions extends CacheMapOptions {
    /** Maximum number of blocks kept for all endpoints together; a block takes about 80 bytes on Node.js 20. */
    maxTotalBlocks: number;
    /** Minimum time between two snapshot requests to one endpoint. */
    snapshotRequestIntervalMs: number;
}

export const endpointTableDefaults: EndpointTableOptions = {
    ...cacheMapDefaults,
    maxTotalBlocks: 65_536,
    snapshotRequestIntervalMs: 2_000,
};

/** State of the endpoints as observed by one entry. It is kept in memory only. */
export class EndpointTable implements EndpointView {
    readonly inFlight = new InFlightTable();
    endpoints: readonly Endpoint[] = [];
    private readonly reports = new LoadReportTable();
    private readonly caches = new Map<string, CacheMap>();
    private readonly snapshotRequestedAt = new Map<string, number>();
    private readonly latencies = new LatencyTable();
    private readonly ejections: EjectionTable;

    constructor(
        private readonly links: LinkTable,
        random: RandomSource,
        private readonly options = endpointTableDefaults,
    ) {
        this.ejections = new EjectionTable(random);
    }

    /** Replaces the set of endpoints and drops the state of removed endpoints. */
    setEndpoints(endpoints: readonly Endpoint[]): void {
        this.endpoints = endpoints;
        const ids = new Set(endpoints.map(endpoint => endpoint.id));
        for (const id of [...this.caches.keys()].filter(cachedId => !ids.has(cachedId))) {
            this.caches.delete(id);
            this.reports.delete(id);
            this.snapshotRequestedAt.delete(id);
            this.latencies.delete(id);
        }
        this.ejections.setEndpoints([...ids]);
        const blocksPerEndpoint = Math.floor(this.options.maxTotalBlocks / Math.max(1, ids.size));
        const maxBlocks = Math.min(this.options.maxBlocks, blocksPerEndpoint);
        for (const id of ids) {
            const cache = this.caches.get(id);
            cache?.resize(maxBlocks);
            this.caches.set(id, cache ?? new CacheMap({ ...this.options, maxBlocks }));
        }
    }

    /** Records a dispatch to an engine as in flight and its prompt as cached there. */
    recordDispatch(attemptId: string, endpoint: string, req: EngineRequest, uncachedTokens: number, now: number): void {
        this.inFlight.recordDispatch(attemptId, endpoint, req.priority, uncachedTokens, now);
        this.caches.get(endpoint)?.recordDispatch(req.prefix, now);
        this.ejections.recordDispatch(endpoint, now);
    }

    /** Records a dispatch to a service that is not an engine. */
    recordCall(attemptId: string, endpoint: string, req: RouteRequest, now: number): void {
        this.inFlight.recordDispatch(attemptId, endpoint, req.priority, 0, now);
        this.ejections.recordDispatch(endpoint, now);
    }

    /** Returns the largest number of leading blocks of `prefix` that any endpoint is estimated to have cached. */
    longestMatch(prefix: readonly number[], now: number): number {
        return Math.max(0, ...this.endpoints.map(endpoint => this.matchedBlocks(endpoint.id, prefix, now)));
    }

    /** Records a response after `latencyMs`; for a stream, the time to the first byte. */
    recordSuccess(endpoint: string, latencyMs: number, now: number): void {
        this.latencies.record(endpoint, latencyMs, now);
        this.ejections.recordSuccess(endpoint);
    }

    /** Records a failure of the endpoint. Rejections due to overload and caller errors do not count as failures. */
    recordFailure(endpoint: string, now: number): void {
        this.ejections.recordFailure(endpoint, now);
    }

    acceptReport(endpoint: string, report: LoadReport): void {
        if (this.caches.has(endpoint)) {
            this.reports.accept(endpoint, report);
        }
    }

    acceptCacheBatch(endpoint: string, batch: CacheEventBatch, now: number): void {
        this.caches.get(endpoint)?.acceptBatch(batch, now);
    }

    acceptCacheSnapshot(endpoint: string, snapshot: CacheSnapshot, now: number): void {
        this.caches.get(endpoint)?.acceptSnapshot(snapshot, now);
    }

    /**
     * Returns those of the given endpoints whose cache snapshot should be requested now, and counts them as requested:
     * an endpoint is returned at most once per `snapshotRequestIntervalMs`.
     */
    takeSnapshotRequests(now: number, endpoints: Iterable<string> = this.caches.keys()): string[] {
        const dueIds: string[] = [];
        for (const id of endpoints) {
            const cache = this.caches.get(id);
            const requestedAt = this.snapshotRequestedAt.get(id) ?? -Infinity;
            if (cache?.stale === true && now - requestedAt >= this.options.snapshotRequestIntervalMs) {
                this.snapshotRequestedAt.set(id, now);
                dueIds.push(id);
            }
        }
        return dueIds;
    }

    report(endpoint: string): LoadReport | undefined {
        return this.reports.get(endpoint);
    }

    matchedBlocks(endpoint: string, prefix: readonly number[], now: number): number {
        return this.caches.get(endpoint)?.matchedBlocks(prefix, now) ?? 0;
    }

    usableEndpoints(endpoints: readonly Endpoint[], now: number): readonly Endpoint[] {
        const allowed = endpoints.filter(endpoint => this.ejections.allowsRequest(endpoint.id, now));
        return allowed.length > 0 ? allowed : endpoints;
    }

    latencyMs(endpoint: string, now: number): number | undefined {
        return this.latencies.get(endpoint, now);
    }

    link(failureDomain: string): Link {
        return this.links.to(failureDomain);
    }
}
