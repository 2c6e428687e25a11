import murmurhash from "murmurhash";
import type { IngressDescription } from "./roster.ts";
import { isWeighted, selectWeighted } from "./weighted-lookup.ts";

/**
 * Selects the ingresses for the answer to a lookup of the caller at the address `caller`: by capacity where capacities
 * are known and differ, and the same for all callers otherwise or if `caller` is undefined.
 */
export function selectLookupIngresses(
    accepting: readonly IngressDescription[],
    maxCount: number,
    caller?: string,
): IngressDescription[] {
    return caller !== undefined && isWeighted(accepting)
        ? selectWeighted(accepting, maxCount, caller)
        : selectEvenly(accepting, maxCount);
}

/**
 * Selects the same ingresses for all callers, with equal numbers from each failure domain as far as possible. The
 * selection depends on the roster only: all stewards return the same ingresses, so that callers keep their connections.
 * An ingress that leaves is replaced by another one of its failure domain where there is one.
 */
function selectEvenly(accepting: readonly IngressDescription[], maxCount: number): IngressDescription[] {
    if (accepting.length <= maxCount) {
        return [...accepting];
    }
    const byDomain = new Map<string, IngressDescription[]>();
    for (const description of accepting) {
        const group = byDomain.get(description.failureDomain) ?? [];
        group.push(description);
        byDomain.set(description.failureDomain, group);
    }
    const rankedDomains = [...byDomain].sort(([a], [b]) => a < b ? -1 : 1).map(([, group]) =>
        group.map(description => ({ description, rank: murmurhash.v3(description.name) }))
            .sort((a, b) => a.rank - b.rank)
    );
    const selected: IngressDescription[] = [];
    for (let round = 0; selected.length < maxCount; round++) {
        for (const group of rankedDomains) {
            const next = group[round];
            if (next !== undefined && selected.length < maxCount) {
                selected.push(next.description);
            }
        }
    }
    return selected;
}
