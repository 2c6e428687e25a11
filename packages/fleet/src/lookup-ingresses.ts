import murmurhash from "murmurhash";
import type { IngressDescription } from "./roster.ts";

/**
 * Picks the ingresses that callers are told of: as many from each failure domain as possible, and the same ones at
 * each steward and each time, so that callers keep their connections. One that goes is replaced by one of its domain.
 */
export function selectLookupIngresses(accepting: readonly IngressDescription[], most: number): IngressDescription[] {
    if (accepting.length <= most) {
        return [...accepting];
    }
    const byDomain = new Map<string, IngressDescription[]>();
    for (const description of accepting) {
        const group = byDomain.get(description.failureDomain) ?? [];
        group.push(description);
        byDomain.set(description.failureDomain, group);
    }
    const ranked = [...byDomain].sort(([a], [b]) => a < b ? -1 : 1).map(([, group]) =>
        group.map(description => ({ description, rank: murmurhash.v3(description.name) }))
            .sort((a, b) => a.rank - b.rank)
    );
    const picked: IngressDescription[] = [];
    for (let round = 0; picked.length < most; round++) {
        for (const group of ranked) {
            const next = group[round];
            if (next !== undefined && picked.length < most) {
                picked.push(next.description);
            }
        }
    }
    return picked;
}
