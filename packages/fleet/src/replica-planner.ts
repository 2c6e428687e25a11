import type { ScalingRange } from "@lentilramp/catalog";
import { type DemandEstimate, DemandForecast, type EngineCapacity, type ServiceDemand } from "./demand-forecast.ts";
import type { Endpoint } from "./endpoint-directory.ts";
import { plannerPolicyDefaults } from "./planner-policy.ts";
import { type ReadyReplicas, ReclaimMonitor } from "./reclaim-monitor.ts";
import { cheapestMix, type DomainLimits, type DomainReplicas } from "./replica-mix.ts";

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
/** Total delay of the list for a loss and for the replacement replicas, in milliseconds. */
const listLagMs = 2_000;

export interface ReplicaOrder {
    service: string;
    failureDomain: string;
    count: number;
    reclaimable: boolean;
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

    constructor(private readonly service: string, private readonly policy = plannerPolicyDefaults) {
        this.reclaimMonitor = new ReclaimMonitor(policy.learnedRisk, policy.doubtAfterLoss);
    }

    observeDemand(demand: ServiceDemand, now: number): void {
        this.forecast.observe(demand, now);
    }

    /** Records that the platform refused an order or had no replicas available. */
    recordRefused(order: ReplicaOrder, now: number): void {
        this.orderStates.delete(this.key(order));
        if (order.reclaimable) {
            this.refusalBackoffUntil.set(order.failureDomain, now + refusalBackoffMs);
        }
    }

    /** Records that the platform accepted an order. */
    recordAccepted(order: ReplicaOrder): void {
        if (order.reclaimable) {
            this.refusalBackoffUntil.delete(order.failureDomain);
        }
    }

    /** Discards the state of an order that was not sent or whose outcome is unknown, so that it is sent again. */
    forgetOrder(order: ReplicaOrder): void {
        this.orderStates.delete(this.key(order));
    }

    /** Returns the number of engines needed for the forecast demand; undefined if there is no demand. */
    neededEngines(capacity: EngineCapacity): number | undefined {
        const estimate = this.forecast.estimate(capacity);
        return estimate === undefined ? undefined : Math.max(1, Math.ceil(estimate.mean));
    }

    /** Returns the orders to send now. `endpoints` are the listed endpoints of the service. */
    plan(
        endpoints: readonly Endpoint[],
        range: ScalingRange,
        domains: readonly string[],
        capacity: EngineCapacity,
        now: number,
    ): ReplicaOrder[] {
        const readyReplicas = countReadyReplicas(domains, endpoints.filter(endpoint => endpoint.ready));
        this.reclaimMonitor.observe(
            readyReplicas,
            failureDomain => this.orderStates.get(this.key({ failureDomain, reclaimable: true }))?.count ?? 0,
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
        const { unconstrained, available, current } = this.computeMixes(
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
            const onDemandCount = Math.max(available[i]?.onDemand ?? 0, current[i]?.onDemand ?? 0);
            if (mayOrderOnDemand) {
                this.addOrder(
                    orders,
                    { failureDomain, count: onDemandCount, reclaimable: false },
                    onDemand,
                    holdMsFor(1),
                    now,
                );
            }
            // The platform's limit covers both markets together, and a released replica counts until it is gone.
            const maxReclaimableCount = Math.max(0, range.maxReplicas - Math.max(onDemandCount, onDemand));
            const reclaimableCount = Math.min(unconstrained[i]?.reclaimable ?? 0, maxReclaimableCount);
            if (range.reclaimablePrice !== undefined && now >= (this.refusalBackoffUntil.get(failureDomain) ?? 0)) {
                const order = { failureDomain, count: reclaimableCount, reclaimable: true };
                this.addOrder(orders, order, reclaimable, holdMsFor(range.reclaimablePrice), now);
            }
        }
        return orders;
    }

    /**
     * Returns the cheapest mix under each of three assumptions. `unconstrained`: all domains can supply reclaimable
     * replicas. `available`: domains where `lacksReclaimable` holds cannot supply new ones. `current`: no replicas
     * other than the ready ones exist.
     */
    private computeMixes(
        readyReplicas: readonly ReadyReplicas[],
        lacksReclaimable: (domain: ReadyReplicas) => boolean,
        demand: DemandEstimate,
        range: ScalingRange,
        now: number,
    ): Record<"unconstrained" | "available" | "current", readonly DomainReplicas[]> {
        const mixWithin = (limit: (domain: ReadyReplicas) => Partial<DomainLimits>): DomainReplicas[] =>
            cheapestMix({
                demand,
                domains: readyReplicas.map(domain => ({ ...domainLimits(range, domain), ...limit(domain) })),
                reclaimablePrice: range.reclaimablePrice ?? 1,
                lossProbability: this.reclaimMonitor.reclaimProbability(
                    range.bootMs + listLagMs,
                    readyReplicas.length,
                    now,
                ),
            });
        const unconstrained = mixWithin(() => ({}));
        return {
            unconstrained,
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

    /** Returns the demand expected when replicas ordered now are ready. */
    private expectedDemand({ mean, deviation, coldMean }: DemandEstimate, now: number): DemandEstimate {
        return {
            // The past demand does not include the prompts that must be processed again after a loss of caches.
            mean: mean + (coldMean - mean) * this.reclaimMonitor.coldCacheShare(now),
            deviation: this.policy.reserve ? deviation : 0,
            coldMean,
        };
    }

    private addOrder(
        orders: ReplicaOrder[],
        order: Omit<ReplicaOrder, "service">,
        readyCount: number,
        holdMs: number,
        now: number,
    ): void {
        const { count } = order;
        const orderKey = this.key(order);
        const orderState = this.orderStates.get(orderKey)
            ?? { count: readyCount, orderedAt: -Infinity, lowerCountSince: undefined };
        this.orderStates.set(orderKey, orderState);
        if (count < orderState.count) {
            orderState.lowerCountSince ??= now;
            if (now - orderState.lowerCountSince < holdMs) {
                return;
            }
        }
        else {
            orderState.lowerCountSince = undefined;
        }
        if (count === orderState.count && (count === readyCount || now - orderState.orderedAt < orderRepeatMs)) {
            return;
        }
        this.orderStates.set(orderKey, { count, orderedAt: now, lowerCountSince: undefined });
        orders.push({ service: this.service, ...order });
    }

    private key({ failureDomain, reclaimable }: Pick<ReplicaOrder, "failureDomain" | "reclaimable">): string {
        return `${failureDomain}/${reclaimable}`;
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
