import type { ScalingRange } from "@lentilramp/catalog";
import type { Endpoint } from "./endpoint-directory.ts";

/** Share of an engine's prompt rate that is planned for; above it, waiting grows faster than the load. */
const plannedPrefillShare = 0.6;
/** Share of an engine's slots that is planned for; the rest absorbs bursts between two plans. */
const plannedSlotShare = 0.72;
/** Part of what is needed that must be left when two domains lose their reclaimable replicas within a boot. */
const leftAfterTwoLossesPart = 0.78;
/** Reclaimable replicas relative to what is needed; they carry bursts for a fraction of the price. */
const reclaimablePart = 1;
/** Part of what is needed that must be left when one more domain loses its reclaimable replicas. */
const leftAfterLossPart = 0.8;
/** Demand of the last this many milliseconds counts; a wave of the load must not shrink the fleet in its trough. */
const demandWindowMs = 8_000;
/** Time over which demand is averaged, in milliseconds; arrivals come in clumps that an engine's queue absorbs. */
const averageMs = 2_000;
/** Time that the first sample stands for, in milliseconds; one sync. */
const firstSampleMs = 250;
/** Time without demand that is assumed before the first sample, in milliseconds, since that can be one clump. */
const quietStartMs = 750;
/** A lower number must have been wanted for this long, in milliseconds, before replicas are given back. */
const shrinkAfterMs = 3_000;
/** Time for which the list must name as many replicas before it is believed, in milliseconds; entries come one by one. */
const installedSettleMs = 1_500;
/** On-demand replicas before there is any demand, relative to the same number of needed replicas under demand. */
const idlePart = 0.9;
/** The same without any demand, when only the list of endpoints can be wrong, in milliseconds; two reads of it. */
const idleShrinkAfterMs = 900;
/** After a refused order for reclaimable replicas, the domain is asked again this much later, in milliseconds. */
const refusedPauseMs = 2_000;
/** Shortest time between two orders of the same number, in milliseconds; an order can be lost. */
const repeatMs = 4_000;

/** Part of what is needed that on-demand replicas give at all times: what reclaimable ones in two domains would. */
function onDemandPartOver(domains: number): number {
    return Math.max(0, leftAfterTwoLossesPart - reclaimablePart * Math.max(0, 1 - 2 / Math.max(1, domains)));
}

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

/** The on-demand replicas that a fleet has without any demand; nothing else tells what it is meant for. */
class InstalledCapacity {
    /** The most that the list has named so far. */
    count = 0;
    private since = Infinity;

    observe(ready: readonly Endpoint[], now: number): void {
        const count = ready.filter(endpoint => !endpoint.reclaimable).length;
        if (count > this.count) {
            this.count = count;
            this.since = now;
        }
    }

    /** Whether the number has been the same for a while. */
    settled(now: number): boolean {
        return now - this.since >= installedSettleMs;
    }
}

/**
 * Decides how many replicas of a service to hold in each failure domain. Reclaimable ones could carry the whole load,
 * spread over the domains; on-demand ones carry half of it besides, since a reclaim takes every reclaimable one of a
 * domain and replacements can be refused for a while. As domains lose theirs, on-demand ones take their place early
 * enough for the loss of the next domain.
 */
export class ReplicaPlanner {
    private samples: Sample[] = [];
    private average: Sample | undefined;
    /** Start of the demand that the average rests on. */
    private seenSince: number | undefined;
    private readonly installed = new InstalledCapacity();
    private readonly placed = new Map<string, Placed>();
    private readonly refusedUntil = new Map<string, number>();

    constructor(private readonly service: string) {}

    observe(demand: ServiceDemand, now: number): void {
        if (this.average === undefined && demand.places === 0 && demand.prefillPerSecond === 0) {
            return;
        }
        this.seenSince ??= now - quietStartMs;
        const last = this.average ?? { prefillPerSecond: 0, places: 0, at: now - firstSampleMs };
        // The average of a short time is mostly that of the samples so far, not one that starts from nothing.
        const weight = (1 - Math.exp(-(now - last.at) / averageMs))
            / (1 - Math.exp(-(now - this.seenSince) / averageMs));
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
        const ready = endpoints.filter(endpoint => endpoint.ready);
        const demanded = this.needed(capacity);
        if (demanded === undefined) {
            this.installed.observe(ready, now);
        }
        const needed = demanded ?? this.installed.count;
        if (needed === 0) {
            return [];
        }
        const orders: ReplicaOrder[] = [];
        const perDomain = range.reclaimablePrice === undefined
            ? 0
            : Math.min(
                range.maxReplicas,
                Math.ceil(needed * reclaimablePart / Math.max(1, domains.length)),
            );
        const reclaimable = new Map(domains.map(domain => [
            domain,
            ready.filter(endpoint => endpoint.reclaimable && endpoint.failureDomain === domain).length,
        ]));
        const counts = [...reclaimable.values()];
        const reclaimableReady = counts.reduce((sum, count) => sum + count, 0);
        const leftAfterLoss = reclaimableReady - Math.max(0, ...counts);
        const refused = domains.some(domain => now < (this.refusedUntil.get(domain) ?? 0));
        const onDemandPart = onDemandPartOver(domains.length);
        // Without demand nobody is hurt while reclaimable replicas still start.
        const wanted = demanded === undefined
            ? Math.max(Math.ceil(needed * onDemandPart * idlePart), refused ? needed - reclaimableReady : 0)
            : Math.max(
                Math.ceil(needed * onDemandPart),
                needed - reclaimableReady,
                Math.ceil(needed * leftAfterLossPart) - leftAfterLoss,
            );
        const onDemand = this.onDemandCounts(wanted, reclaimable, range);
        const mayOrder = demanded !== undefined || this.installed.settled(now);
        for (const failureDomain of domains) {
            const held = ready.filter(endpoint => endpoint.failureDomain === failureDomain && !endpoint.reclaimable);
            const count = onDemand.get(failureDomain) ?? 0;
            if (mayOrder) {
                this.add(orders, failureDomain, count, false, now, held.length);
            }
            // The platform's limit is on both kinds together, and a replica that is given back counts until it is gone.
            const room = Math.max(0, range.maxReplicas - Math.max(count, held.length));
            if (perDomain > 0 && now >= (this.refusedUntil.get(failureDomain) ?? 0)) {
                this.add(orders, failureDomain, Math.min(perDomain, room), true, now);
            }
        }
        return orders;
    }

    /** Places on-demand replicas in the cheapest domains first, above the least number of each domain. */
    private onDemandCounts(
        wanted: number,
        reclaimable: ReadonlyMap<string, number>,
        range: ScalingRange,
    ): Map<string, number> {
        const domains = [...reclaimable.keys()];
        const counts = new Map<string, number>();
        let left = wanted;
        for (const [domain, count] of reclaimable) {
            const least = Math.max(0, range.minReplicas - count);
            counts.set(domain, least);
            left -= least;
        }
        const byPrice = [...domains].sort((a, b) =>
            (range.domainPrices.get(a) ?? 1) - (range.domainPrices.get(b) ?? 1)
        );
        const hasRoom = (domain: string): boolean =>
            (counts.get(domain) ?? 0) + (reclaimable.get(domain) ?? 0) < range.maxReplicas;
        while (left > 0 && byPrice.some(hasRoom)) {
            for (const domain of byPrice) {
                const count = counts.get(domain) ?? 0;
                if (left > 0 && hasRoom(domain)) {
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
            if (now - placed.lowerSince < (this.idle ? idleShrinkAfterMs : shrinkAfterMs)) {
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

    /** Whether there was no demand in the window. */
    private get idle(): boolean {
        return this.samples.every(sample => sample.places === 0);
    }

    private key(order: ReplicaOrder): string {
        return `${order.failureDomain}/${order.reclaimable}`;
    }
}
