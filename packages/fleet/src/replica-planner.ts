import type { ScalingRange } from "@lentilramp/catalog";
import { type DemandEstimate, DemandForecast, type EngineCapacity, type ServiceDemand } from "./demand-forecast.ts";
import type { Endpoint } from "./endpoint-directory.ts";
import { plannerPolicyDefaults } from "./planner-policy.ts";
import { type ReadyReplicas, ReclaimMonitor } from "./reclaim-monitor.ts";
import { cheapestSubset, neededReplicas, OrderEffects, replicaKey } from "./replica-floor.ts";
import { cheapestMix, type DomainLimits, type DomainReplicas, type MixInput } from "./replica-mix.ts";

/**
 * Time for which a lower number must have been planned before on-demand replicas are released, in milliseconds.
 * Reclaimable ones are cheaper and are held longer, so that holding costs the same.
 */
const onDemandHoldMs = 3_000;
/** Time for which the list must not grow before it counts as complete, in milliseconds; entries appear one by one. */
const installedSettleMs = 1_500;
/** Expected mean of the first demand, as a share of the installed replicas. */
const installedMeanShare = 0.6;
/** Expected standard deviation of the first demand, as a share of the installed replicas. */
const installedDeviationShare = 0.25;
/** Hold time while there is no demand, in milliseconds: two reads of the list, since only the list can be wrong. */
const idleHoldMs = 900;
/** Backoff after a domain refused an order for reclaimable replicas, in milliseconds. */
const refusalBackoffMs = 2_000;
/** Shortest time between repetitions of an order, in milliseconds; orders are repeated because one can be lost. */
const orderRepeatMs = 4_000;
/**
 * Shortest time between two orders that release a part of the replicas that are no longer planned, in milliseconds.
 * The part grows with each replacement that becomes ready.
 */
const partialReleaseMs = 1_000;
/** Time after taking over a serving fleet within which missing demand is not taken for idleness, in milliseconds. */
const takeOverSettleMs = 3_000;
/** Total delay of the list for a loss and for the replacement replicas, in milliseconds. */
const listLagMs = 2_000;

export interface ReplicaOrder {
    service: string;
    failureDomain: string;
    count: number;
    reclaimable: boolean;
}

/** Replicas that are no longer planned and are kept until their replacements are ready. */
export interface HeldReplicas {
    failureDomain: string;
    reclaimable: boolean;
    planned: number;
    kept: number;
}

/** An order as planned, with what is known of the replicas that it is about. */
interface PlannedOrder extends Omit<ReplicaOrder, "service"> {
    readyCount: number;
    /** Number of ready replicas that must stay. */
    keptCount: number;
    holdMs: number;
    bootMs: number;
}

interface OrderState {
    count: number;
    orderedAt: number;
    /** Instant since which a lower number than the ordered one is planned. */
    lowerCountSince: number | undefined;
}

/** Estimates the first demand from the on-demand replicas installed before it, as there is no other information. */
class InstalledCapacity {
    /** Largest number of on-demand replicas listed so far. */
    private maxListed = 0;
    private unchangedSince = Infinity;

    /** Records the listed endpoints, including those being released. */
    observe(endpoints: readonly Endpoint[], now: number): void {
        const count = endpoints.filter(({ reclaimable }) => !reclaimable).length;
        if (count > this.maxListed) {
            this.maxListed = count;
            this.unchangedSince = now;
        }
    }

    /** Whether the list has stopped growing. */
    isSettled(now: number): boolean {
        return now - this.unchangedSince >= installedSettleMs;
    }

    get estimate(): DemandEstimate {
        return {
            mean: this.maxListed * installedMeanShare,
            deviation: this.maxListed * installedDeviationShare,
            coldMean: this.maxListed,
        };
    }
}

/**
 * Plans the numbers of replicas of a service in each failure domain, with the lowest sum of price and expected cost of
 * shortage. Reclaimable replicas are lost by whole domains; where none are available, on-demand replicas replace them.
 */
export class ReplicaPlanner {
    private readonly forecast = new DemandForecast();
    private readonly installed = new InstalledCapacity();
    private readonly reclaimMonitor: ReclaimMonitor;
    private readonly orderStates = new Map<string, OrderState>();
    /** Domains that refused reclaimable replicas, with the end of the backoff. */
    private readonly refusalBackoffUntil = new Map<string, number>();
    private readonly effects = new OrderEffects();
    private held: HeldReplicas[] = [];
    /** First plan since the duties were taken over, and whether reclaimable replicas had been ordered before it. */
    private firstPlan: { at: number; wasServing: boolean; } | undefined;

    constructor(private readonly service: string, private readonly policy = plannerPolicyDefaults) {
        this.reclaimMonitor = new ReclaimMonitor(policy.learnedRisk, policy.doubtAfterLoss);
    }

    /** Replicas that the last plan kept although fewer are planned. */
    get heldReplicas(): readonly HeldReplicas[] {
        return this.held;
    }

    /** Forgets the planner's own orders, since another leader may have given orders after them. */
    takeOver(): void {
        this.orderStates.clear();
        this.firstPlan = undefined;
    }

    observeDemand(demand: ServiceDemand, now: number): void {
        this.forecast.observe(demand, now);
    }

    /** Records that the platform refused an order or had no replicas available. */
    recordRefused(order: ReplicaOrder, now: number): void {
        this.orderStates.delete(replicaKey(order));
        this.effects.recordRefused(order);
        if (order.reclaimable) {
            this.refusalBackoffUntil.set(order.failureDomain, now + refusalBackoffMs);
        }
    }

    /** Records that the platform accepted an order. */
    recordAccepted(order: ReplicaOrder): void {
        this.effects.recordAccepted(order, order.count);
        if (order.reclaimable) {
            this.refusalBackoffUntil.delete(order.failureDomain);
        }
    }

    /** Discards the state of an order that was not sent or whose outcome is unknown, so that it is sent again. */
    forgetOrder(order: ReplicaOrder): void {
        this.orderStates.delete(replicaKey(order));
    }

    /** Returns the number of engines needed for the forecast demand; undefined if there is no demand. */
    neededEngines(capacity: EngineCapacity): number | undefined {
        const estimate = this.forecast.estimate(capacity);
        return estimate === undefined ? undefined : neededReplicas(estimate);
    }

    /** Returns the orders to send now. `endpoints` are the listed endpoints of the service. */
    plan(
        endpoints: readonly Endpoint[],
        range: ScalingRange,
        domains: readonly string[],
        capacity: EngineCapacity,
        now: number,
    ): ReplicaOrder[] {
        this.firstPlan ??= { at: now, wasServing: endpoints.some(({ reclaimable }) => reclaimable) };
        this.held = [];
        const readyReplicas = countReadyReplicas(domains, endpoints.filter(endpoint => endpoint.ready));
        this.reclaimMonitor.observe(
            readyReplicas,
            failureDomain => this.orderStates.get(replicaKey({ failureDomain, reclaimable: true }))?.count ?? 0,
            now,
        );
        const forecastDemand = this.forecast.estimate(capacity);
        if (forecastDemand === undefined) {
            this.installed.observe(endpoints, now);
        }
        const demand = forecastDemand ?? this.installed.estimate;
        if (demand.mean === 0) {
            return [];
        }
        const lacksReclaimable = ({ failureDomain }: ReadyReplicas): boolean =>
            this.refusalBackoffUntil.has(failureDomain) || this.reclaimMonitor.isSupplyDoubtful(failureDomain);
        const { unconstrained, available, current, keep } = this.computeMixes(
            readyReplicas,
            lacksReclaimable,
            this.expectedDemand(demand, now),
            range,
            now,
        );
        const holdMsFor = (price: number): number =>
            this.forecast.isIdle ? idleHoldMs : onDemandHoldMs / (this.policy.patience ? price : 1);
        // Without demand, all installed replicas must be listed before on-demand ones are ordered in place of them.
        const mayOrderOnDemand = forecastDemand !== undefined || !readyReplicas.some(lacksReclaimable)
            || this.installed.isSettled(now);
        const orders: ReplicaOrder[] = [];
        for (const [i, { failureDomain, onDemand, reclaimable }] of readyReplicas.entries()) {
            const kept = keep[i] ?? { onDemand, reclaimable };
            // The platform's limit covers both markets together, and a released replica counts until it is gone.
            const onDemandCount = Math.max(
                Math.min(available[i]?.onDemand ?? 0, range.maxReplicas - kept.reclaimable),
                current[i]?.onDemand ?? 0,
            );
            if (mayOrderOnDemand) {
                this.addOrder(orders, {
                    failureDomain,
                    count: onDemandCount,
                    reclaimable: false,
                    readyCount: onDemand,
                    keptCount: kept.onDemand,
                    holdMs: holdMsFor(1),
                    bootMs: range.bootMs,
                }, now);
            }
            const maxReclaimableCount = Math.max(0, range.maxReplicas - Math.max(onDemandCount, onDemand));
            if (range.reclaimablePrice !== undefined && now >= (this.refusalBackoffUntil.get(failureDomain) ?? 0)) {
                this.addOrder(orders, {
                    failureDomain,
                    count: Math.min(unconstrained[i]?.reclaimable ?? 0, maxReclaimableCount),
                    reclaimable: true,
                    readyCount: reclaimable,
                    keptCount: kept.reclaimable,
                    holdMs: holdMsFor(range.reclaimablePrice),
                    bootMs: range.bootMs,
                }, now);
            }
        }
        return orders;
    }

    /**
     * Returns the cheapest mix under each of four assumptions. `unconstrained`: all domains can supply reclaimable
     * replicas. `available`: domains where `lacksReclaimable` holds cannot supply new ones. `current`: no replicas
     * other than the ready ones exist, and the reclaimable ones stay. `keep`: the cheapest subset of the ready replicas,
     * without those that earlier orders may have released.
     */
    private computeMixes(
        readyReplicas: readonly ReadyReplicas[],
        lacksReclaimable: (domain: ReadyReplicas) => boolean,
        demand: DemandEstimate,
        range: ScalingRange,
        now: number,
    ): Record<"unconstrained" | "available" | "current" | "keep", readonly DomainReplicas[]> {
        const input = {
            demand,
            domains: readyReplicas.map(domain => domainLimits(range, domain)),
            reclaimablePrice: range.reclaimablePrice ?? 1,
            lossProbability: this.reclaimMonitor.reclaimProbability(
                range.bootMs + listLagMs,
                readyReplicas.length,
                now,
            ),
        };
        const mixWithin = (limit: (domain: ReadyReplicas) => Partial<DomainLimits>): DomainReplicas[] =>
            cheapestMix({
                ...input,
                domains: readyReplicas.map(domain => ({ ...domainLimits(range, domain), ...limit(domain) })),
            });
        const unconstrained = mixWithin(() => ({}));
        return {
            unconstrained,
            keep: this.keptReplicas(readyReplicas, input, unconstrained, now),
            available: readyReplicas.some(lacksReclaimable)
                ? mixWithin(domain => lacksReclaimable(domain) ? { maxReclaimable: domain.reclaimable } : {})
                : unconstrained,
            // Starting replicas cannot serve yet, so ready ones are kept until then. While idle, a domain without
            // reclaimable replicas keeps one on-demand replica.
            current: this.forecast.isIdle
                ? readyReplicas.map(({ onDemand, reclaimable }) => ({
                    onDemand: reclaimable > 0 ? 0 : Math.min(1, onDemand),
                    reclaimable,
                }))
                : mixWithin(({ onDemand, reclaimable }) => ({
                    minReclaimable: reclaimable,
                    maxReclaimable: reclaimable,
                    maxOnDemand: onDemand,
                })),
        };
    }

    /** Returns the ready replicas that no order of this plan may release. */
    private keptReplicas(
        readyReplicas: readonly ReadyReplicas[],
        input: MixInput,
        planned: readonly DomainReplicas[],
        now: number,
    ): readonly DomainReplicas[] {
        const serving = readyReplicas.map(({ failureDomain, onDemand, reclaimable }) => ({
            failureDomain,
            onDemand: this.effects.serving({ failureDomain, reclaimable: false }, onDemand, now),
            reclaimable: this.effects.serving({ failureDomain, reclaimable: true }, reclaimable, now),
        }));
        if (!this.forecast.isIdle) {
            return cheapestSubset(input, serving, planned);
        }
        // A new leader has no demand before ingresses have reported to it, although the fleet may be serving.
        const { at = now, wasServing = false } = this.firstPlan ?? {};
        return wasServing && now - at < takeOverSettleMs
            ? serving
            : readyReplicas.map(() => ({ onDemand: 0, reclaimable: 0 }));
    }

    /** Returns the demand expected when replicas ordered now are ready. */
    private expectedDemand({ mean, deviation, coldMean }: DemandEstimate, now: number): DemandEstimate {
        return {
            // The past demand does not include the prompts that must be processed again after a loss of caches.
            mean: mean + (coldMean - mean) * this.reclaimMonitor.coldCacheShare(now),
            deviation: this.policy.reserve ? deviation : 0,
            coldMean,
        };
    }

    private addOrder(orders: ReplicaOrder[], planned: PlannedOrder, now: number): void {
        const { failureDomain, reclaimable, readyCount, keptCount, holdMs, bootMs } = planned;
        const orderKey = replicaKey(planned);
        const orderState = this.orderStates.get(orderKey)
            ?? { count: readyCount, orderedAt: -Infinity, lowerCountSince: undefined };
        this.orderStates.set(orderKey, orderState);
        if (planned.count < orderState.count) {
            orderState.lowerCountSince ??= now;
        }
        else {
            orderState.lowerCountSince = undefined;
        }
        // The platform may release ready replicas in place of those that are starting.
        const floor = keptCount === 0 ? 0 : keptCount + this.effects.starting(planned, readyCount, now);
        const count = Math.max(planned.count, floor);
        const isPartial = count > planned.count;
        if (isPartial && planned.count < readyCount) {
            this.held.push({ failureDomain, reclaimable, planned: planned.count, kept: count });
        }
        const heldMs = now - (orderState.lowerCountSince ?? now);
        const sinceOrderMs = now - orderState.orderedAt;
        if (count < orderState.count && (heldMs < holdMs || isPartial && sinceOrderMs < partialReleaseMs)) {
            return;
        }
        if (count === orderState.count && (count === readyCount || sinceOrderMs < orderRepeatMs)) {
            return;
        }
        this.effects.recordOrder(planned, count, readyCount, bootMs, now);
        const lowerCountSince = isPartial ? orderState.lowerCountSince : undefined;
        this.orderStates.set(orderKey, { count, orderedAt: now, lowerCountSince });
        orders.push({ service: this.service, failureDomain, count, reclaimable });
    }
}

function countReadyReplicas(domains: readonly string[], ready: readonly Endpoint[]): ReadyReplicas[] {
    return domains.map(failureDomain => {
        const domainEndpoints = ready.filter(endpoint => endpoint.failureDomain === failureDomain);
        const reclaimable = domainEndpoints.filter(endpoint => endpoint.reclaimable).length;
        return { failureDomain, reclaimable, onDemand: domainEndpoints.length - reclaimable };
    });
}

function domainLimits(range: ScalingRange, { failureDomain }: ReadyReplicas): DomainLimits {
    return {
        price: range.domainPrices.get(failureDomain) ?? 1,
        minReplicas: range.minReplicas,
        maxReplicas: range.maxReplicas,
        maxOnDemand: range.maxReplicas,
        minReclaimable: 0,
        maxReclaimable: range.reclaimablePrice === undefined ? 0 : range.maxReplicas,
    };
}
