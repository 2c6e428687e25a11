import { errorFunction } from "simple-statistics";
import type { DemandEstimate } from "./demand-forecast.ts";

/**
 * Value of the requests that a needed engine serves, relative to the price of an on-demand replica. It is well above 1
 * because engines are run only if they earn much more than they cost, and an unserved request costs more than its
 * value.
 */
const engineValue = 10;

/** Smallest reduction in cost that counts as an improvement, in prices of an on-demand replica. */
const minCostGain = 1e-9;

/** Numbers of replicas of each market in one failure domain. */
export interface DomainReplicas {
    onDemand: number;
    reclaimable: number;
}

/** Price and permitted numbers of replicas in one failure domain. */
export interface DomainLimits {
    /** Relative price of an on-demand replica in this domain. */
    price: number;
    minReplicas: number;
    /** Limit on on-demand and reclaimable replicas together. */
    maxReplicas: number;
    maxOnDemand: number;
    minReclaimable: number;
    maxReclaimable: number;
}

export interface MixInput {
    demand: DemandEstimate;
    domains: readonly DomainLimits[];
    /** Price of a reclaimable replica relative to an on-demand one. */
    reclaimablePrice: number;
    /** Probability that a domain loses its reclaimable replicas before replacements are ready. */
    lossProbability: number;
}

/** Returns the expected demand in excess of `capacity`, in engines, after the loss of a share of the cached prompts. */
function expectedShortage(demand: DemandEstimate, capacity: number, lostCacheShare: number): number {
    const mean = demand.mean + (demand.coldMean - demand.mean) * lostCacheShare;
    const { deviation } = demand;
    if (deviation <= 0) {
        return Math.max(0, mean - capacity);
    }
    const z = (capacity - mean) / deviation;
    const density = Math.exp(-z * z / 2) / Math.sqrt(2 * Math.PI);
    return deviation * (density - z * (1 - errorFunction(z / Math.SQRT2)) / 2);
}

/**
 * Returns the mix of replicas with the lowest sum of price and expected cost of shortage. The model assumes that a
 * reclaim takes all reclaimable replicas of a domain at once, and that domains are reclaimed independently.
 */
export function cheapestMix(input: MixInput): DomainReplicas[] {
    // A reserve of reclaimable replicas pays off only as a whole, so the local search starts from both extremes.
    const [fromFewest, fromMost] = [fewestReplicas, mostReclaimable].map(start =>
        improve(input, input.domains.map(start))
    );
    return (fromMost?.cost ?? Infinity) < (fromFewest?.cost ?? Infinity) ? fromMost?.mix ?? [] : fromFewest?.mix ?? [];
}

/** Improves a mix by local search with decreasing step size until no single step of one replica lowers the cost. */
function improve(input: MixInput, start: DomainReplicas[]): { mix: DomainReplicas[]; cost: number; } {
    let mix = start;
    let cost = expectedCost(input, mix);
    const largestLimit = Math.max(1, ...input.domains.map(({ maxReplicas }) => maxReplicas));
    for (let step = 2 ** Math.floor(Math.log2(Math.max(1, largestLimit / 2))); step >= 1; step /= 2) {
        for (;;) {
            let best: { mix: DomainReplicas[]; cost: number; } | undefined;
            for (const next of neighbours(input.domains, mix, step)) {
                const nextCost = expectedCost(input, next);
                if (nextCost < (best?.cost ?? cost) - minCostGain) {
                    best = { mix: next, cost: nextCost };
                }
            }
            if (best === undefined) {
                break;
            }
            ({ mix, cost } = best);
        }
    }
    return { mix, cost };
}

function fewestReplicas({ minReplicas, minReclaimable, maxReclaimable, maxOnDemand }: DomainLimits): DomainReplicas {
    const reclaimable = Math.max(minReclaimable, Math.min(minReplicas, maxReclaimable));
    return { reclaimable, onDemand: Math.min(maxOnDemand, Math.max(0, minReplicas - reclaimable)) };
}

function mostReclaimable({ minReplicas, maxReclaimable, maxOnDemand }: DomainLimits): DomainReplicas {
    return {
        reclaimable: maxReclaimable,
        onDemand: Math.min(maxOnDemand, Math.max(0, minReplicas - maxReclaimable)),
    };
}

/** Yields the permitted mixes with `step` replicas more or fewer, or of the other market, in one domain. */
function* neighbours(
    domains: readonly DomainLimits[],
    mix: readonly DomainReplicas[],
    step: number,
): Generator<DomainReplicas[]> {
    for (const [i, limits] of domains.entries()) {
        const { onDemand, reclaimable } = mix[i] ?? { onDemand: 0, reclaimable: 0 };
        for (const [more, moreReclaimable] of [[1, 0], [0, 1], [-1, 0], [0, -1], [1, -1], [-1, 1]] as const) {
            const next = { onDemand: onDemand + more * step, reclaimable: reclaimable + moreReclaimable * step };
            const sum = next.onDemand + next.reclaimable;
            const allowed = next.onDemand >= 0 && next.onDemand <= limits.maxOnDemand
                && next.reclaimable >= limits.minReclaimable && next.reclaimable <= limits.maxReclaimable
                && sum >= Math.min(limits.minReplicas, onDemand + reclaimable) && sum <= limits.maxReplicas;
            if (allowed) {
                yield mix.with(i, next);
            }
        }
    }
}

function expectedCost(
    { demand, domains, reclaimablePrice, lossProbability }: MixInput,
    mix: readonly DomainReplicas[],
): number {
    let price = 0;
    // Maps each number of remaining replicas to its probability.
    let remaining = new Map([[mix.reduce((sum, { onDemand }) => sum + onDemand, 0), 1]]);
    for (const [i, { onDemand, reclaimable }] of mix.entries()) {
        price += (domains[i]?.price ?? 1) * (onDemand + reclaimable * reclaimablePrice);
        if (reclaimable > 0) {
            const next = new Map<number, number>();
            for (const [count, probability] of remaining) {
                next.set(count, (next.get(count) ?? 0) + probability * lossProbability);
                const remainingCount = count + reclaimable;
                next.set(remainingCount, (next.get(remainingCount) ?? 0) + probability * (1 - lossProbability));
            }
            remaining = next;
        }
    }
    const heldCount = mix.reduce((sum, { onDemand, reclaimable }) => sum + onDemand + reclaimable, 0);
    let shortage = 0;
    for (const [count, probability] of remaining) {
        shortage += probability * expectedShortage(demand, count, 1 - count / Math.max(1, heldCount));
    }
    return price + engineValue * shortage;
}
