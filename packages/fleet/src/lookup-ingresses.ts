import murmurhash from "murmurhash";
import type { IngressDescription } from "./roster.ts";

/**
 * Selects the ingresses for the answer to a lookup, with equal numbers from each failure domain as far as possible. The
 * selection depends on the roster only: all stewards return the same ingresses, so that callers keep their connections.
 * An ingress that leaves is replaced by another one of its failure domain where there is one.
 */
export function selectLookupIngresses(
    accepting: readonly IngressDescription[],
    maxCount: number,
): IngressDescription[] {
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
