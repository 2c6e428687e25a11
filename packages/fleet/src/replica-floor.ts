import type { DemandEstimate } from "./demand-forecast.ts";
import type { ReadyReplicas } from "./reclaim-monitor.ts";
import { cheapestMix, type DomainReplicas, type MixInput } from "./replica-mix.ts";

/**
 * Time for which the list of endpoints may not yet show what an order has taken, in milliseconds. It covers the timeout
 * of the call, two reads of the list and the time until the platform marks the replicas.
 */
const listDelayMs = 4_000;
/** Delay between the end of the boot time and the list that shows a replica, in milliseconds. */
const startDelayMs = 2_000;

export interface ReplicaKey {
    failureDomain: string;
    reclaimable: boolean;
}

export function replicaKey({ failureDomain, reclaimable }: ReplicaKey): string {
    return `${failureDomain}/${reclaimable}`;
}

/**
 * What earlier orders may have changed and the list of endpoints does not show yet. An order whose outcome is unknown
 * counts as carried out where that leaves fewer replicas, and as not carried out otherwise.
 */
export class OrderEffects {
    /** Number of listed replicas that a lower order leaves in any case. */
    private readonly remaining = new Map<string, { count: number; until: number; }>();
    /** Number of the latest higher order, whose replicas may still be starting. */
    private readonly raised = new Map<string, { count: number; until: number; }>();

    /** Records an order at the moment it is planned. `readyCount` is the number of ready replicas in the list. */
    recordOrder(key: ReplicaKey, count: number, readyCount: number, bootMs: number, now: number): void {
        const id = replicaKey(key);
        const serving = this.serving(key, readyCount, now);
        const starting = this.starting(key, readyCount, now);
        if (count > serving + starting) {
            this.raised.set(id, { count, until: now + bootMs + startDelayMs });
        }
        else if (count < serving + starting) {
            // The platform may release ready replicas while others are starting.
            this.remaining.set(id, { count: Math.max(0, count - starting), until: now + listDelayMs });
        }
    }

    /** Records that the platform carried out an order. */
    recordAccepted(key: ReplicaKey, count: number): void {
        const raised = this.raised.get(replicaKey(key));
        if (raised !== undefined) {
            raised.count = Math.min(raised.count, count);
        }
    }

    /** Records that the platform did not carry out a higher order. */
    recordRefused(key: ReplicaKey): void {
        this.raised.delete(replicaKey(key));
    }

    /** Returns the number of listed replicas that no earlier order takes away. */
    serving(key: ReplicaKey, readyCount: number, now: number): number {
        const remaining = this.remaining.get(replicaKey(key));
        return remaining !== undefined && now < remaining.until ? Math.min(readyCount, remaining.count) : readyCount;
    }

    /** Returns the number of replicas that may be starting. */
    starting(key: ReplicaKey, readyCount: number, now: number): number {
        const raised = this.raised.get(replicaKey(key));
        return raised !== undefined && now < raised.until
            ? Math.max(0, raised.count - this.serving(key, readyCount, now))
            : 0;
    }
}

/**
 * Returns the cheapest subset of `serving` that meets the demand, and contains the reclaimable replicas that are
 * `planned` anyway. It has at least the mean demand, or all replicas if there are fewer.
 */
export function cheapestSubset(
    input: MixInput,
    serving: readonly ReadyReplicas[],
    planned: readonly DomainReplicas[],
): DomainReplicas[] {
    const domains = input.domains.map((limits, i) => {
        const { onDemand, reclaimable } = serving[i] ?? { onDemand: 0, reclaimable: 0 };
        return {
            ...limits,
            minReplicas: Math.min(limits.minReplicas, onDemand + reclaimable),
            maxReplicas: onDemand + reclaimable,
            maxOnDemand: onDemand,
            minReclaimable: Math.min(planned[i]?.reclaimable ?? 0, reclaimable),
            maxReclaimable: reclaimable,
        };
    });
    return fillUpTo(neededReplicas(input.demand), cheapestMix({ ...input, domains }), { ...input, domains });
}

/** Returns the number of replicas below which a demand is not met on average. */
export function neededReplicas({ mean }: DemandEstimate): number {
    return Math.max(1, Math.ceil(mean));
}

/** Adds the cheapest permitted replicas until there are `count`. The search weighs prices, so it may stop below. */
function fillUpTo(count: number, mix: readonly DomainReplicas[], { domains, reclaimablePrice }: MixInput) {
    const filled = mix.map(replicas => ({ ...replicas }));
    let missing = count - mix.reduce((sum, { onDemand, reclaimable }) => sum + onDemand + reclaimable, 0);
    const choices = domains.flatMap(({ price, maxOnDemand, maxReclaimable }, i) => [
        { i, market: "onDemand" as const, price, max: maxOnDemand },
        { i, market: "reclaimable" as const, price: price * reclaimablePrice, max: maxReclaimable },
    ]).sort((a, b) => a.price - b.price);
    for (const { i, market, max } of choices) {
        const replicas = filled[i];
        if (replicas !== undefined && missing > 0) {
            const added = Math.min(missing, max - replicas[market]);
            replicas[market] += added;
            missing -= added;
        }
    }
    return filled;
}
