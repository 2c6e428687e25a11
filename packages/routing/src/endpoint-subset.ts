import murmurhash from "murmurhash";

export interface SubsetOptions {
    /** Maximum number of endpoints of one group in the entry's failure domain. */
    maxLocalEndpoints: number;
    /** Maximum number of endpoints of one group in other failure domains, which serve if the entry's domain is lost. */
    maxRemoteEndpoints: number;
}

/** 48 connections per group suffice for a choice among a few random endpoints and avoid a full mesh. */
export const subsetDefaults: SubsetOptions = { maxLocalEndpoints: 32, maxRemoteEndpoints: 16 };

interface Candidate {
    id: string;
    failureDomain: string;
}

/**
 * Selects the endpoints that an entry uses from one group, which is the endpoints of one model or service, by
 * rendezvous hashing. Each entry selects a different subset, so that the load is spread evenly, and adding or removing
 * an endpoint changes few selections.
 */
export function chooseSubset<E extends Candidate>(
    entry: string,
    entryDomain: string,
    endpoints: readonly E[],
    options: SubsetOptions = subsetDefaults,
): E[] {
    const selectTop = (candidates: readonly E[], count: number): E[] =>
        candidates.length <= count ? [...candidates] : candidates
            .map(endpoint => ({ endpoint, score: murmurhash.v3(`${entry}/${endpoint.id}`) }))
            .sort((a, b) => b.score - a.score)
            .slice(0, count)
            .map(({ endpoint }) => endpoint);
    return [
        ...selectTop(endpoints.filter(endpoint => endpoint.failureDomain === entryDomain), options.maxLocalEndpoints),
        ...selectTop(endpoints.filter(endpoint => endpoint.failureDomain !== entryDomain), options.maxRemoteEndpoints),
    ];
}
