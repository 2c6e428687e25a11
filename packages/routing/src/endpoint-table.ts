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
    /** Bound on the blocks kept for all endpoints together; a block takes about 80 bytes (measured on Node.js 20). */
    maxTotalBlocks: number;
    /** Shortest time between two requests for a snapshot of one endpoint's cache. */
    snapshotRequestIntervalMs: number;
}

export const endpointTableDefaults: EndpointTableOptions = {
    ...cacheMapDefaults,
    maxTotalBlocks: 65_536,
    snapshotRequestIntervalMs: 2_000,
};

/** Knowledge of one entry about its endpoints, kept in memory only. */
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

    /** Replaces the set of endpoints and drops what is known about those that left. */
    setEndpoints(endpoints: readonly Endpoint[]): void {
        this.endpoints = endpoints;
        const ids = new Set(endpoints.map(endpoint => endpoint.id));
        for (const id of [...this.caches.keys()].filter(known => !ids.has(known))) {
            this.caches.delete(id);
            this.reports.delete(id);
            this.snapshotRequestedAt.delete(id);
            this.latencies.delete(id);
        }
        this.ejections.setEndpoints([...ids]);
        const share = Math.floor(this.options.maxTotalBlocks / Math.max(1, ids.size));
        const maxBlocks = Math.min(this.options.maxBlocks, share);
        for (const id of ids) {
            const known = this.caches.get(id);
            known?.resize(maxBlocks);
            this.caches.set(id, known ?? new CacheMap({ ...this.options, maxBlocks }));
        }
    }

    /** Records a dispatch to an engine in the in-flight counts and in the cache map. */
    recordDispatch(attempt: string, endpoint: string, req: EngineRequest, uncachedTokens: number, now: number): void {
        this.inFlight.recordDispatch(attempt, endpoint, req.priority, uncachedTokens, now);
        this.caches.get(endpoint)?.recordDispatch(req.prefix, now);
        this.ejections.recordDispatch(endpoint, now);
    }

    /** Records a dispatch to a plain service. */
    recordCall(attempt: string, endpoint: string, req: RouteRequest, now: number): void {
        this.inFlight.recordDispatch(attempt, endpoint, req.priority, 0, now);
        this.ejections.recordDispatch(endpoint, now);
    }

    /** Leading blocks of `prefix` presumed cached at the endpoint that has most of them. */
    longestMatch(prefix: readonly number[], now: number): number {
        return Math.max(0, ...this.endpoints.map(endpoint => this.matchedBlocks(endpoint.id, prefix, now)));
    }

    /** Records an answer after `latencyMs` (the first byte for a stream). */
    recordSuccess(endpoint: string, latencyMs: number, now: number): void {
        this.latencies.record(endpoint, latencyMs, now);
        this.ejections.recordSuccess(endpoint);
    }

    /** Records a failure of the endpoint; refusals under overload and errors of the caller are none. */
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

    /** Those of the given endpoints whose cache snapshot should be requested now; each is named once an interval. */
    takeSnapshotRequests(now: number, endpoints: Iterable<string> = this.caches.keys()): string[] {
        const due: string[] = [];
        for (const id of endpoints) {
            const cache = this.caches.get(id);
            const requestedAt = this.snapshotRequestedAt.get(id) ?? -Infinity;
            if (cache?.stale === true && now - requestedAt >= this.options.snapshotRequestIntervalMs) {
                this.snapshotRequestedAt.set(id, now);
                due.push(id);
            }
        }
        return due;
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
