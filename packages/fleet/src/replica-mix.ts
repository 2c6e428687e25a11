import { errorFunction } from "simple-statistics";
import type { DemandLevel } from "./demand-forecast.ts";

/**
 * Worth of what an engine serves when it is needed, relative to the price of an on-demand one. Nobody runs engines
 * that earn little more than they cost, and a request that is not served costs more than its own worth.
 */
const worthOfEngine = 20;

/** Replicas in one failure domain. */
export interface DomainReplicas {
    onDemand: number;
    reclaimable: number;
}

/** What is allowed in one failure domain. */
export interface DomainRange {
    /** Price of an on-demand replica. */
    price: number;
    minReplicas: number;
    /** Of both kinds together. */
    maxReplicas: number;
    maxOnDemand: number;
    minReclaimable: number;
    maxReclaimable: number;
}

export interface MixInput {
    demand: DemandLevel;
    domains: readonly DomainRange[];
    /** Price of a reclaimable replica relative to an on-demand one. */
    reclaimablePrice: number;
    /** Probability that a domain loses its reclaimable replicas before others can take their place. */
    lossProbability: number;
}

/** Expected demand above a capacity, in engines. */
function expectedShortage({ mean, deviation }: DemandLevel, capacity: number): number {
    if (deviation <= 0) {
        return Math.max(0, mean - capacity);
    }
    const z = (capacity - mean) / deviation;
    const density = Math.exp(-z * z / 2) / Math.sqrt(2 * Math.PI);
    return deviation * (density - z * (1 - errorFunction(z / Math.SQRT2)) / 2);
}

/**
 * The numbers of replicas for which price and expected loss together are least. A domain that is reclaimed loses all
 * reclaimable replicas at once, and the domains are reclaimed independently of each other.
 */
export function cheapestMix(input: MixInput): DomainReplicas[] {
    let mix = input.domains.map(leastReplicas);
    let cost = expectedCost(input, mix);
    for (;;) {
        let best: { mix: DomainReplicas[]; cost: number; } | undefined;
        for (const next of neighbours(input.domains, mix)) {
            const nextCost = expectedCost(input, next);
            if (nextCost < (best?.cost ?? cost) - 1e-9) {
                best = { mix: next, cost: nextCost };
            }
        }
        if (best === undefined) {
            return mix;
        }
        ({ mix, cost } = best);
    }
}

function leastReplicas({ minReplicas, minReclaimable, maxReclaimable, maxOnDemand }: DomainRange): DomainReplicas {
    const reclaimable = Math.max(minReclaimable, Math.min(minReplicas, maxReclaimable));
    return { reclaimable, onDemand: Math.min(maxOnDemand, Math.max(0, minReplicas - reclaimable)) };
}

/** The mixes that differ by one replica of one domain, or by the kind of one. */
function* neighbours(domains: readonly DomainRange[], mix: readonly DomainReplicas[]): Generator<DomainReplicas[]> {
    for (const [i, range] of domains.entries()) {
        const { onDemand, reclaimable } = mix[i] ?? { onDemand: 0, reclaimable: 0 };
        for (const [more, moreReclaimable] of [[1, 0], [0, 1], [-1, 0], [0, -1], [1, -1], [-1, 1]] as const) {
            const next = { onDemand: onDemand + more, reclaimable: reclaimable + moreReclaimable };
            const sum = next.onDemand + next.reclaimable;
            const allowed = next.onDemand >= 0 && next.onDemand <= range.maxOnDemand
                && next.reclaimable >= range.minReclaimable && next.reclaimable <= range.maxReclaimable
                && sum >= Math.min(range.minReplicas, onDemand + reclaimable) && sum <= range.maxReplicas;
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
    // Probability of each number of replicas that are left.
    let left = new Map([[mix.reduce((sum, { onDemand }) => sum + onDemand, 0), 1]]);
    for (const [i, { onDemand, reclaimable }] of mix.entries()) {
        price += (domains[i]?.price ?? 1) * (onDemand + reclaimable * reclaimablePrice);
        if (reclaimable > 0) {
            const next = new Map<number, number>();
            for (const [count, probability] of left) {
                next.set(count, (next.get(count) ?? 0) + probability * lossProbability);
                const kept = count + reclaimable;
                next.set(kept, (next.get(kept) ?? 0) + probability * (1 - lossProbability));
            }
            left = next;
        }
    }
    let shortage = 0;
    for (const [count, probability] of left) {
        shortage += probability * expectedShortage(demand, count);
    }
    return price + worthOfEngine * shortage;
}
