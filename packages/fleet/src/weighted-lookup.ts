import murmurhash from "murmurhash";
import type { IngressDescription } from "./roster.ts";

/** Smallest ratio of the largest to the smallest capacity at which lookups are weighted. */
const minCapacityRatio = 1.1;
/** Part of the fleet that a caller gets on average. */
const averageShare = 0.5;
/** Part of the largest answer that a caller gets on average in a large fleet, so that few answers are cut short. */
const averageAnswerShare = 0.75;
/** Smallest number of ingresses in an answer, if there are as many. */
const minAnswer = 8;
/**
 * Ratio between two successive values of the inclusion factor. In steps, it stays the same when one ingress comes or
 * leaves, so that the callers of all others keep theirs.
 */
const factorStep = 2 ** 0.25;
const hashRange = 2 ** 32;
/** Hashes of names by description, since hashing 1,600 names for each lookup takes 8 ms. */
const nameHashes = new WeakMap<IngressDescription, number>();

/** Whether the capacities of all ingresses are known and differ by so much that callers are spread by them. */
export function isWeighted(ingresses: readonly IngressDescription[]): boolean {
    const capacities = ingresses.map(({ capacity = 0 }) => capacity);
    const smallest = Math.min(...capacities);
    return ingresses.length > 0 && smallest > 0 && Math.max(...capacities) > smallest * minCapacityRatio;
}

/**
 * Selects the ingresses for a caller, so that the number of callers of each is in proportion to its capacity. The
 * selection depends on the caller's address and the roster only. An ingress that leaves changes it only for the callers
 * that had it, unless the inclusion factor moves by a step.
 */
export function selectWeighted(
    ingresses: readonly IngressDescription[],
    maxCount: number,
    caller: string,
): IngressDescription[] {
    const factor = inclusionFactor(
        ingresses.map(({ capacity = 0 }) => capacity),
        Math.min(ingresses.length * averageShare, maxCount * averageAnswerShare),
    );
    const callerHash = murmurhash.v3(caller);
    const scored = ingresses.map(ingress => ({
        ingress,
        // An ingress is included if its hash is below the factor times its capacity.
        score: mixHashes(callerHash, nameHash(ingress)) / hashRange / effectiveCapacity(ingress),
    }));
    const included = scored.filter(({ score }) => score < factor);
    const chosen = included.length < minAnswer
        ? sortByScore(scored).slice(0, minAnswer)
        : included.length > maxCount
        ? sortByScore(included).slice(0, maxCount)
        : included;
    return chosen.map(({ ingress }) => ingress).sort((a, b) => a.name < b.name ? -1 : 1);
}

function sortByScore<T extends { score: number; }>(scored: readonly T[]): T[] {
    return [...scored].sort((a, b) => a.score - b.score);
}

function nameHash(ingress: IngressDescription): number {
    const known = nameHashes.get(ingress);
    if (known !== undefined) {
        return known;
    }
    const hash = murmurhash.v3(ingress.name);
    nameHashes.set(ingress, hash);
    return hash;
}

/** Combines two hashes; the last steps are those of MurmurHash3. */
function mixHashes(a: number, b: number): number {
    let hash = Math.imul(a, 0x9e3779b1) + b | 0;
    hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b);
    hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35);
    return (hash ^ hash >>> 16) >>> 0;
}

function effectiveCapacity({ capacity = 0, busy = false }: IngressDescription): number {
    return busy ? capacity / 2 : capacity;
}

/** Returns the factor, rounded to a step, by which `wanted` ingresses are included on average. */
function inclusionFactor(capacities: readonly number[], wanted: number): number {
    const included = (factor: number): number =>
        capacities.reduce((sum, capacity) => sum + Math.min(1, factor * capacity), 0);
    let low = 0;
    let high = 1 / Math.min(...capacities);
    for (let i = 0; i < 20; i++) {
        const middle = (low + high) / 2;
        if (included(middle) < wanted) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return factorStep ** Math.round(Math.log(high) / Math.log(factorStep));
}
