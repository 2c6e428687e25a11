import type { ScalingRange } from "@lentilramp/catalog";
import type { Endpoint } from "./endpoint-directory.ts";

/** Share of an engine's prompt rate that is planned for; above it, waiting grows faster than the load. */
const plannedPrefillShare = 0.5;
/** Share of an engine's slots that is planned for; the rest absorbs bursts between two plans. */
const plannedSlotShare = 0.6;
/** Part of what is needed that on-demand replicas give at all times, because every reclaimable one can go at once. */
const onDemandPart = 0.8;
/** Reclaimable replicas relative to what is needed; they carry bursts for a fraction of the price. */
const reclaimablePart = 0.6;
/** Demand of the last this many milliseconds counts; a wave of the load must not shrink the fleet in its trough. */
const demandWindowMs = 8_000;
/** Time over which demand is averaged, in milliseconds; arrivals come in clumps that an engine's queue absorbs. */
const averageMs = 2_000;
/** A lower number must have been wanted for this long, in milliseconds, before replicas are given back. */
const shrinkAfterMs = 3_000;
/** After a refused order for reclaimable replicas, the domain is asked again this much later, in milliseconds. */
const refusedPauseMs = 2_000;
/** Shortest time between two orders of the same number, in milliseconds; an order can be lost. */
const repeatMs = 4_000;

export interface EngineCapacity {
    slots: number;
    /** Prompt tokens that an engine reads in a second. */
    prefillPerSecond: number;
}

/** Work that the ingresses offered to a service, all of them together. */
export interface ServiceDemand {
    /** Prompt tokens that had to be read, for each second. */
    prefillPerSecond: number;
    /** Places that the requests would take on average if all were served. */
    places: number;
}

export interface ReplicaOrder {
    service: string;
    failureDomain: string;
    count: number;
    reclaimable: boolean;
}

interface Sample extends ServiceDemand {
    at: number;
}

interface Placed {
    count: number;
    orderedAt: number;
    /** Since when a lower number than the ordered one is wanted. */
    lowerSince: number | undefined;
}

/**
 * Decides how many replicas of a service to hold in each failure domain. On-demand replicas carry most of the load,
 * since a reclaim takes every reclaimable one of a domain and replacements can be refused for a while; reclaimable ones
 * carry bursts. On-demand ones fill what is missing while reclaimable ones are refused or start.
 */
export class ReplicaPlanner {
    private samples: Sample[] = [];
    private average: Sample | undefined;
    private readonly placed = new Map<string, Placed>();
    private readonly refusedUntil = new Map<string, number>();

    constructor(private readonly service: string) {}

    observe(demand: ServiceDemand, now: number): void {
        const last = this.average ?? { prefillPerSecond: 0, places: 0, at: now };
        const weight = 1 - Math.exp(-(now - last.at) / averageMs);
        this.average = {
            prefillPerSecond: last.prefillPerSecond + (demand.prefillPerSecond - last.prefillPerSecond) * weight,
            places: last.places + (demand.places - last.places) * weight,
            at: now,
        };
        this.samples = [...this.samples.filter(sample => now - sample.at < demandWindowMs), this.average];
    }

    /** Notes that the platform had none to give. */
    refused(order: ReplicaOrder, now: number): void {
        this.placed.delete(this.key(order));
        if (order.reclaimable) {
            this.refusedUntil.set(order.failureDomain, now + refusedPauseMs);
        }
    }

    /** Notes that the outcome of an order is unknown, so that it is sent again. */
    forget(order: ReplicaOrder): void {
        this.placed.delete(this.key(order));
    }

    /** Engines needed for the demand of the window; undefined before there was any. */
    needed(capacity: EngineCapacity): number | undefined {
        const peak = this.samples.reduce((max, sample) =>
            Math.max(
                max,
                sample.prefillPerSecond / (capacity.prefillPerSecond * plannedPrefillShare),
                sample.places / (capacity.slots * plannedSlotShare),
            ), 0);
        return peak > 0 ? Math.max(1, Math.ceil(peak)) : undefined;
    }

    /** Orders to send now. `endpoints` are those of the service, as the platform lists them. */
    plan(
        endpoints: readonly Endpoint[],
        range: ScalingRange,
        domains: readonly string[],
        capacity: EngineCapacity,
        now: number,
    ): ReplicaOrder[] {
        const needed = this.needed(capacity);
        if (needed === undefined) {
            return [];
        }
        const orders: ReplicaOrder[] = [];
        const ready = endpoints.filter(endpoint => endpoint.ready);
        const perDomain = range.reclaimablePrice === undefined
            ? 0
            : Math.min(range.maxReplicas, Math.ceil(needed * reclaimablePart / Math.max(1, domains.length)));
        const reclaimableReady = ready.filter(endpoint => endpoint.reclaimable).length;
        const onDemand = this.onDemandCounts(
            Math.max(Math.ceil(needed * onDemandPart), needed - reclaimableReady),
            perDomain,
            range,
            domains,
        );
        for (const failureDomain of domains) {
            if (perDomain > 0 && now >= (this.refusedUntil.get(failureDomain) ?? 0)) {
                this.add(orders, failureDomain, perDomain, true, now);
            }
            const held = ready.filter(endpoint => endpoint.failureDomain === failureDomain && !endpoint.reclaimable);
            this.add(orders, failureDomain, onDemand.get(failureDomain) ?? 0, false, now, held.length);
        }
        return orders;
    }

    /** Places on-demand replicas in the cheapest domains first, above the least number of each domain. */
    private onDemandCounts(
        wanted: number,
        reclaimablePerDomain: number,
        range: ScalingRange,
        domains: readonly string[],
    ): Map<string, number> {
        const counts = new Map<string, number>();
        const least = Math.max(0, range.minReplicas - reclaimablePerDomain);
        let left = wanted;
        for (const domain of domains) {
            counts.set(domain, least);
            left -= least;
        }
        const byPrice = [...domains].sort((a, b) =>
            (range.domainPrices.get(a) ?? 1) - (range.domainPrices.get(b) ?? 1)
        );
        const most = Math.max(least, range.maxReplicas - reclaimablePerDomain);
        while (left > 0 && byPrice.some(domain => (counts.get(domain) ?? 0) < most)) {
            for (const domain of byPrice) {
                const count = counts.get(domain) ?? 0;
                if (left > 0 && count < most) {
                    counts.set(domain, count + 1);
                    left--;
                }
            }
        }
        return counts;
    }

    private add(
        orders: ReplicaOrder[],
        failureDomain: string,
        count: number,
        reclaimable: boolean,
        now: number,
        held = 0,
    ): void {
        const order = { service: this.service, failureDomain, count, reclaimable };
        const key = this.key(order);
        const placed = this.placed.get(key) ?? { count: held, orderedAt: -Infinity, lowerSince: undefined };
        this.placed.set(key, placed);
        if (count < placed.count) {
            placed.lowerSince ??= now;
            if (now - placed.lowerSince < shrinkAfterMs) {
                return;
            }
        }
        else {
            placed.lowerSince = undefined;
        }
        if (count === placed.count && now - placed.orderedAt < repeatMs) {
            return;
        }
        if (count === placed.count && count === held && !reclaimable) {
            return;
        }
        this.placed.set(key, { count, orderedAt: now, lowerSince: undefined });
        orders.push(order);
    }

    private key(order: ReplicaOrder): string {
        return `${order.failureDomain}/${order.reclaimable}`;
    }
}
