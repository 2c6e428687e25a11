import type { ScalingRange } from "@lentilramp/catalog";
import { type DemandEstimate, DemandForecast, type EngineCapacity, type ServiceDemand } from "./demand-forecast.ts";
import type { Endpoint } from "./endpoint-directory.ts";
import { plannerPolicyDefaults } from "./planner-policy.ts";
import { type ReadyReplicas, ReclaimMonitor } from "./reclaim-monitor.ts";
import { cheapestMix, type DomainLimits, type DomainReplicas } from "./replica-mix.ts";

/**
 * A lower number must have been wanted for this long, in milliseconds, before on-demand replicas are given back.
 * Reclaimable ones are held for longer, for the same price.
 */
const shrinkAfterMs = 3_000;
/** Time for which the list must name as many replicas before it is believed, in milliseconds; entries come one by one. */
const installedSettleMs = 1_500;
/** Part of the installed replicas that the first demand is expected to need, and its deviation. */
const installedLevelPart = 0.6;
const installedDeviationPart = 0.25;
/** The same as `shrinkAfterMs` without any demand, when only the list can be wrong; two reads of it. */
const idleShrinkAfterMs = 900;
/** After a refused order for reclaimable replicas, the domain is asked again this much later, in milliseconds. */
const refusedPauseMs = 2_000;
/** Shortest time between two orders of the same number, in milliseconds; an order can be lost. */
const repeatMs = 4_000;
/** Time until a loss is listed and replicas that take the place of the lost ones are, in milliseconds. */
const listLagMs = 2_000;

export interface ReplicaOrder {
    service: string;
    failureDomain: string;
    count: number;
    reclaimable: boolean;
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
    private count = 0;
    private since = Infinity;

    /** Takes all that the list names; those that are being given back belong to it too. */
    observe(endpoints: readonly Endpoint[], now: number): void {
        const count = endpoints.filter(({ reclaimable }) => !reclaimable).length;
        if (count > this.count) {
            this.count = count;
            this.since = now;
        }
    }

    /** Whether the number has been the same for a while. */
    settled(now: number): boolean {
        return now - this.since >= installedSettleMs;
    }

    get level(): DemandEstimate {
        return {
            mean: this.count * installedLevelPart,
            deviation: this.count * installedDeviationPart,
            coldMean: this.count,
        };
    }
}

/**
 * Decides how many replicas of a service to hold in each failure domain: as many, of either kind, as cost least
 * together with what their lack is expected to cost. Reclaimable replicas are lost by whole domains, and where none
 * are to be had on-demand ones take their place.
 */
export class ReplicaPlanner {
    private readonly forecast = new DemandForecast();
    private readonly installed = new InstalledCapacity();
    private readonly losses: ReclaimMonitor;
    private readonly placed = new Map<string, Placed>();
    /** Domains that had no reclaimable replicas to give, with the instant at which they are asked again. */
    private readonly refusedUntil = new Map<string, number>();

    constructor(private readonly service: string, private readonly policy = plannerPolicyDefaults) {
        this.losses = new ReclaimMonitor(policy.learnedRisk, policy.doubtAfterLoss);
    }

    observeDemand(demand: ServiceDemand, now: number): void {
        this.forecast.observe(demand, now);
    }

    /** Notes that the platform had none to give. */
    recordRefused(order: ReplicaOrder, now: number): void {
        this.placed.delete(this.key(order));
        if (order.reclaimable) {
            this.refusedUntil.set(order.failureDomain, now + refusedPauseMs);
        }
    }

    /** Notes that the platform carries an order out. */
    recordAccepted(order: ReplicaOrder): void {
        if (order.reclaimable) {
            this.refusedUntil.delete(order.failureDomain);
        }
    }

    /** Notes that the outcome of an order is unknown, so that it is sent again. */
    forgetOrder(order: ReplicaOrder): void {
        this.placed.delete(this.key(order));
    }

    /** Engines needed for the demand of the window; undefined before there was any. */
    neededEngines(capacity: EngineCapacity): number | undefined {
        const level = this.forecast.estimate(capacity);
        return level === undefined ? undefined : Math.max(1, Math.ceil(level.mean));
    }

    /** Orders to send now. `endpoints` are those of the service, as the platform lists them. */
    plan(
        endpoints: readonly Endpoint[],
        range: ScalingRange,
        domains: readonly string[],
        capacity: EngineCapacity,
        now: number,
    ): ReplicaOrder[] {
        const held = heldIn(domains, endpoints.filter(endpoint => endpoint.ready));
        this.losses.observe(
            held,
            failureDomain => this.placed.get(this.key({ failureDomain, reclaimable: true }))?.count ?? 0,
            now,
        );
        const demanded = this.forecast.estimate(capacity);
        if (demanded === undefined) {
            this.installed.observe(endpoints, now);
        }
        const level = demanded ?? this.installed.level;
        if (level.mean === 0) {
            return [];
        }
        const isDry = ({ failureDomain }: ReadyReplicas): boolean =>
            this.refusedUntil.has(failureDomain) || this.losses.isSupplyDoubtful(failureDomain);
        const { wished, planned, kept } = this.mixes(held, isDry, this.expected(level, now), range, now);
        const shrinkAfter = (price: number): number =>
            this.forecast.isIdle ? idleShrinkAfterMs : shrinkAfterMs / (this.policy.patience ? price : 1);
        // While all are idle, what they replace must be known in full before on-demand ones are bought for it.
        const mayOrder = demanded !== undefined || !held.some(isDry) || this.installed.settled(now);
        const orders: ReplicaOrder[] = [];
        for (const [i, { failureDomain, onDemand, reclaimable }] of held.entries()) {
            const count = Math.max(planned[i]?.onDemand ?? 0, kept[i]?.onDemand ?? 0);
            if (mayOrder) {
                this.add(orders, { failureDomain, count, reclaimable: false }, onDemand, shrinkAfter(1), now);
            }
            // The platform's limit is on both kinds together, and a replica that is given back counts until it is gone.
            const room = Math.max(0, range.maxReplicas - Math.max(count, onDemand));
            const wanted = Math.min(wished[i]?.reclaimable ?? 0, room);
            if (range.reclaimablePrice !== undefined && now >= (this.refusedUntil.get(failureDomain) ?? 0)) {
                const order = { failureDomain, count: wanted, reclaimable: true };
                this.add(orders, order, reclaimable, shrinkAfter(range.reclaimablePrice), now);
            }
        }
        return orders;
    }

    /**
     * The cheapest mixes when reclaimable replicas are to be had everywhere, when none are in domains that are dry, and
     * when those that serve now are all there is.
     */
    private mixes(
        held: readonly ReadyReplicas[],
        isDry: (held: ReadyReplicas) => boolean,
        demand: DemandEstimate,
        range: ScalingRange,
        now: number,
    ): Record<"wished" | "planned" | "kept", readonly DomainReplicas[]> {
        const mixOver = (limit: (held: ReadyReplicas) => Partial<DomainLimits>): DomainReplicas[] =>
            cheapestMix({
                demand,
                domains: held.map(domain => ({ ...domainRange(range, domain), ...limit(domain) })),
                reclaimablePrice: range.reclaimablePrice ?? 1,
                lossProbability: this.losses.reclaimProbability(range.bootMs + listLagMs, held.length, now),
            });
        const wished = mixOver(() => ({}));
        return {
            wished,
            planned: held.some(isDry)
                ? mixOver(domain => isDry(domain) ? { maxReclaimable: domain.reclaimable } : {})
                : wished,
            // Replicas that still start serve nobody; until then those at work are kept, or a first one while all are idle.
            kept: this.forecast.isIdle
                ? held.map(({ onDemand, reclaimable }) => ({
                    onDemand: reclaimable > 0 ? 0 : Math.min(1, onDemand),
                    reclaimable,
                }))
                : mixOver(({ onDemand, reclaimable }) => ({
                    minReclaimable: reclaimable,
                    maxReclaimable: reclaimable,
                    maxOnDemand: onDemand,
                })),
        };
    }

    /** The demand that replicas ordered now will meet. */
    private expected({ mean, deviation, coldMean }: DemandEstimate, now: number): DemandEstimate {
        return {
            // What was lost is missing in the demand of the past seconds.
            mean: mean + (coldMean - mean) * this.losses.coldCacheShare(now),
            deviation: this.policy.reserve ? deviation : 0,
            coldMean,
        };
    }

    private add(
        orders: ReplicaOrder[],
        wanted: Omit<ReplicaOrder, "service">,
        held: number,
        holdMs: number,
        now: number,
    ): void {
        const { count } = wanted;
        const key = this.key(wanted);
        const placed = this.placed.get(key) ?? { count: held, orderedAt: -Infinity, lowerSince: undefined };
        this.placed.set(key, placed);
        if (count < placed.count) {
            placed.lowerSince ??= now;
            if (now - placed.lowerSince < holdMs) {
                return;
            }
        }
        else {
            placed.lowerSince = undefined;
        }
        if (count === placed.count && (count === held || now - placed.orderedAt < repeatMs)) {
            return;
        }
        this.placed.set(key, { count, orderedAt: now, lowerSince: undefined });
        orders.push({ service: this.service, ...wanted });
    }

    private key({ failureDomain, reclaimable }: Pick<ReplicaOrder, "failureDomain" | "reclaimable">): string {
        return `${failureDomain}/${reclaimable}`;
    }
}

function heldIn(domains: readonly string[], ready: readonly Endpoint[]): ReadyReplicas[] {
    return domains.map(failureDomain => {
        const own = ready.filter(endpoint => endpoint.failureDomain === failureDomain);
        const reclaimable = own.filter(endpoint => endpoint.reclaimable).length;
        return { failureDomain, reclaimable, onDemand: own.length - reclaimable };
    });
}

function domainRange(range: ScalingRange, { failureDomain }: ReadyReplicas): DomainLimits {
    return {
        price: range.domainPrices.get(failureDomain) ?? 1,
        minReplicas: range.minReplicas,
        maxReplicas: range.maxReplicas,
        maxOnDemand: range.maxReplicas,
        minReclaimable: 0,
        maxReclaimable: range.reclaimablePrice === undefined ? 0 : range.maxReplicas,
    };
}
