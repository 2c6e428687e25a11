import { errorFunction } from "simple-statistics";
import type { DemandEstimate } from "./demand-forecast.ts";

/**
 * Worth of what an engine serves when it is needed, relative to the price of an on-demand one. Nobody runs engines
 * that earn little more than they cost, and a request that is not served costs more than its own worth.
 */
const worthOfEngine = 10;

/** Difference of two costs that is worth a step, in prices of an on-demand replica. */
const leastGain = 1e-9;

/** Replicas in one failure domain. */
export interface DomainReplicas {
    onDemand: number;
    reclaimable: number;
}

/** What is allowed in one failure domain. */
export interface DomainLimits {
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
    demand: DemandEstimate;
    domains: readonly DomainLimits[];
    /** Price of a reclaimable replica relative to an on-demand one. */
    reclaimablePrice: number;
    /** Probability that a domain loses its reclaimable replicas before others can take their place. */
    lossProbability: number;
}

/** Expected demand above a capacity, in engines, when a part of the prompts that engines kept is lost. */
function expectedShortage(demand: DemandEstimate, capacity: number, lostPart: number): number {
    const mean = demand.mean + (demand.coldMean - demand.mean) * lostPart;
    const { deviation } = demand;
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
    // A reserve of reclaimable replicas pays only as a whole, so the search comes from both sides.
    const [few, many] = [leastReplicas, mostReclaimable].map(start => improve(input, input.domains.map(start)));
    return (many?.cost ?? Infinity) < (few?.cost ?? Infinity) ? many?.mix ?? [] : few?.mix ?? [];
}

/** Improves a mix in steps that become smaller, until no single step makes it cheaper. */
function improve(input: MixInput, start: DomainReplicas[]): { mix: DomainReplicas[]; cost: number; } {
    let mix = start;
    let cost = expectedCost(input, mix);
    const most = Math.max(1, ...input.domains.map(({ maxReplicas }) => maxReplicas));
    for (let step = 2 ** Math.floor(Math.log2(Math.max(1, most / 2))); step >= 1; step /= 2) {
        for (;;) {
            let best: { mix: DomainReplicas[]; cost: number; } | undefined;
            for (const next of neighbours(input.domains, mix, step)) {
                const nextCost = expectedCost(input, next);
                if (nextCost < (best?.cost ?? cost) - leastGain) {
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

function leastReplicas({ minReplicas, minReclaimable, maxReclaimable, maxOnDemand }: DomainLimits): DomainReplicas {
    const reclaimable = Math.max(minReclaimable, Math.min(minReplicas, maxReclaimable));
    return { reclaimable, onDemand: Math.min(maxOnDemand, Math.max(0, minReplicas - reclaimable)) };
}

function mostReclaimable({ minReplicas, maxReclaimable, maxOnDemand }: DomainLimits): DomainReplicas {
    return {
        reclaimable: maxReclaimable,
        onDemand: Math.min(maxOnDemand, Math.max(0, minReplicas - maxReclaimable)),
    };
}

/** The mixes that differ by `step` replicas of one domain, or by the kind of that many. */
function* neighbours(
    domains: readonly DomainLimits[],
    mix: readonly DomainReplicas[],
    step: number,
): Generator<DomainReplicas[]> {
    for (const [i, range] of domains.entries()) {
        const { onDemand, reclaimable } = mix[i] ?? { onDemand: 0, reclaimable: 0 };
        for (const [more, moreReclaimable] of [[1, 0], [0, 1], [-1, 0], [0, -1], [1, -1], [-1, 1]] as const) {
            const next = { onDemand: onDemand + more * step, reclaimable: reclaimable + moreReclaimable * step };
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
    const held = mix.reduce((sum, { onDemand, reclaimable }) => sum + onDemand + reclaimable, 0);
    let shortage = 0;
    for (const [count, probability] of left) {
        shortage += probability * expectedShortage(demand, count, 1 - count / Math.max(1, held));
    }
    return price + worthOfEngine * shortage;
}
