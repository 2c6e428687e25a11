import murmurhash from "murmurhash";

export interface SubsetOptions {
    /** Endpoints of one group kept in the entry's own failure domain. */
    maxLocalEndpoints: number;
    /** Endpoints of one group kept outside it, for the loss of the domain. */
    maxRemoteEndpoints: number;
}

/** 48 connections a group: enough for a good choice among a few random ones, without a full mesh. */
export const subsetDefaults: SubsetOptions = { maxLocalEndpoints: 32, maxRemoteEndpoints: 16 };

interface Candidate {
    id: string;
    failureDomain: string;
}

/**
 * Chooses the endpoints of one group (those that serve the same model or service) that an entry uses, by rendezvous
 * hashing. Entries choose differently, so that all endpoints are used evenly, and a change of the endpoints changes few
 * choices.
 */
export function chooseSubset<E extends Candidate>(
    entry: string,
    ownDomain: string,
    endpoints: readonly E[],
    options: SubsetOptions = subsetDefaults,
): E[] {
    const best = (candidates: readonly E[], count: number): E[] =>
        candidates.length <= count ? [...candidates] : candidates
            .map(endpoint => ({ endpoint, score: murmurhash.v3(`${entry}/${endpoint.id}`) }))
            .sort((a, b) => b.score - a.score)
            .slice(0, count)
            .map(({ endpoint }) => endpoint);
    return [
        ...best(endpoints.filter(endpoint => endpoint.failureDomain === ownDomain), options.maxLocalEndpoints),
        ...best(endpoints.filter(endpoint => endpoint.failureDomain !== ownDomain), options.maxRemoteEndpoints),
    ];
}
