import type { RandomSource } from "@lentilramp/runtime";
import type { EndpointHealth } from "./endpoint-health.ts";
import type { LatencyModel } from "./latency-model.ts";
import type { LoadTracker } from "./load-tracker.ts";
import type { Candidate, CandidatePool, DispatchRequest } from "./types.ts";

/**
 * Candidates that are drawn for each request. The best of 32 is among the best 15% of all in 99 of 100 requests, and
 * processes with the same knowledge draw different ones.
 */
const sampleSize = 32;
/** Draws from each part of the list until one gives an endpoint that may be sent to. */
const maxDraws = 4;
/**
 * Endpoints that the draws must give at least. If most of a list may not be sent to, a sample of the others says too
 * little, and the choice is made among a filtered list.
 */
const minDrawn = 16;
/** Endpoints that the model prefers and that are considered: the assigned one, and eight that have cached the prompt. */
const maxPreferred = 9;
/**
 * Preferred endpoints that are looked up until enough of them are candidates. Endpoints of other services may have cached
 * the same prompt; the bound keeps the cost of a start that hundreds of them have cached below 0.1 ms.
 */
const maxPreferredLookUps = 256;
/** Endpoints that are kept of one search, free ones before those that can take a request but may delay it. */
const maxFound = 32;
/**
 * Time for which a search of free endpoints is not repeated, in milliseconds for each endpoint that it has looked at. It
 * bounds the processor time of searches while nearly all endpoints are full.
 */
const searchMsPerEndpoint = 0.02;

/** Endpoints that are considered because their load has fallen last. */
const maxRelieved = 32;
/** Parts of a service that are searched independently, and candidates that are compared to find the part of a list. */
const maxParts = 4;
const comparedCandidates = 3;

/** A search for endpoints that are not full. */
interface Search {
    /** The list that was searched. */
    list: readonly Candidate[];
    found: readonly string[];
    againAt: number;
}

/** An endpoint that is not full. */
interface Opening {
    id: string;
    /** Whether a request would run beside more than the endpoint has slots for. */
    isOverbooked: boolean;
    unreadTokens: number;
}

/** Selects the candidates that are considered for a request to a service with many endpoints. */
export class PartialChoice {
    /** Candidates by id, of each list; undefined for a list that has been used once, whose index would cost more than it saves. */
    private readonly indexes = new WeakMap<readonly Candidate[], ReadonlyMap<string, Candidate> | undefined>();
    /**
     * The searches that are not to be repeated yet, by service, one of each part that requests are restricted to, such as a
     * version, the last one at the end.
     */
    private readonly searches = new Map<string, Search[]>();
    /** Lists that have been searched. */
    private readonly searched = new WeakSet<readonly Candidate[]>();

    constructor(
        private readonly loads: LoadTracker,
        private readonly health: EndpointHealth,
        private readonly random: RandomSource,
        /** Requests that are sent to an endpoint beyond its slots. */
        private readonly overbooking: number,
    ) {}

    /**
     * Returns a sample of the candidates, and those that the model prefers for the request; undefined if too few of those
     * that are drawn may be sent to.
     */
    select<C extends Candidate>(req: DispatchRequest, pool: CandidatePool<C>, model: LatencyModel): C[] | undefined {
        this.prepareIndex(pool);
        const selected = new Set(this.findPreferred(req, pool, model));
        let drawn = 0;
        for (let i = 0; i < sampleSize; i++) {
            const candidate = this.draw(pool, i);
            if (candidate !== undefined) {
                drawn++;
                selected.add(candidate);
            }
        }
        return drawn < minDrawn ? undefined : [...selected];
    }

    /** Draws from one of `sampleSize` equal parts of the list, which is cheaper than draws without replacement. */
    private draw<C extends Candidate>({ list, isAllowed }: CandidatePool<C>, part: number): C | undefined {
        for (let i = 0; i < maxDraws; i++) {
            const candidate = list[Math.floor((part + this.random.next()) * list.length / sampleSize)];
            if (candidate !== undefined && isAllowed(candidate)) {
                return candidate;
            }
        }
        return undefined;
    }

    private findPreferred<C extends Candidate>(
        req: DispatchRequest,
        { list, isAllowed }: CandidatePool<C>,
        model: LatencyModel,
    ): C[] {
        const index = this.indexOf(list);
        const ids: string[] = [];
        let lookUps = 0;
        for (const id of model.preferredEndpoints(req)) {
            const candidate = index?.get(id);
            if (index === undefined || candidate !== undefined && isAllowed(candidate)) {
                ids.push(id);
            }
            lookUps++;
            // Without an index, which of them are candidates is known only after a pass over the list.
            if (lookUps === maxPreferredLookUps || index !== undefined && ids.length === maxPreferred) {
                break;
            }
        }
        return ids.length === 0 ? [] : this.findByIds(list, ids).filter(isAllowed).slice(0, maxPreferred);
    }

    /**
     * Returns candidates that may take a request, without those of `known`: those whose load has fallen last, and those
     * that the last search has found. The candidates are searched at most once in 0.02 ms for each of them.
     */
    selectFree<C extends Candidate>(
        { service }: DispatchRequest,
        { list, isAllowed }: CandidatePool<C>,
        model: LatencyModel,
        known: readonly C[],
        now: number,
    ): C[] {
        const searches = this.searches.get(service) ?? [];
        // The first search of an indexed list costs no more than its index. Without it, searches of lists that have been
        // replaced since would keep a part from being searched.
        const isNew = this.indexOf(list) !== undefined && !this.searched.has(list);
        let last = isNew ? undefined : this.lastSearch(searches, list, known);
        if (isNew || last === undefined && searches.length < maxParts) {
            const { found, searched } = this.search(
                list,
                candidate => isAllowed(candidate) ? this.openingAt(candidate, model, now) : undefined,
            );
            last = { list, found, againAt: now + searched * searchMsPerEndpoint };
            this.searched.add(list);
            this.searches.set(service, [...searches, last].slice(-maxParts));
        }
        const selected = new Set(known);
        // One look-up for both, as it may take a pass over the list.
        const found = new Set(last?.found);
        const listed = this.findByIds(list, [...this.loads.relieved, ...found]).filter(isAllowed);
        const relieved = listed.filter(({ id }) => this.loads.relieved.has(id)).slice(-maxRelieved);
        return [...new Set([...relieved, ...listed.filter(({ id }) => found.has(id))])]
            .filter(candidate => !selected.has(candidate));
    }

    /**
     * Returns the last search of a list. A list with an index is recognised as the same array, and another one by its
     * members, since it may be a new array for each choice. So is a list with an index if no more searches are kept.
     */
    private lastSearch(
        searches: readonly Search[],
        candidates: readonly Candidate[],
        known: readonly Candidate[],
    ): Search | undefined {
        const same = searches.find(({ list }) => list === candidates);
        if (same !== undefined || this.indexOf(candidates) !== undefined && searches.length < maxParts) {
            return same;
        }
        const compared = known.slice(-comparedCandidates);
        return searches.findLast(({ list }) => compared.some(candidate => list.includes(candidate)));
    }

    /**
     * Drops the searches that may be repeated, of all services, so that lists are not kept in memory after they have been
     * replaced. To be called before each choice.
     */
    dropOldSearches(now: number): void {
        for (const [service, searches] of this.searches) {
            const current = searches.filter(({ againAt }) => now < againAt);
            if (current.length === 0) {
                this.searches.delete(service);
            }
            else if (current.length < searches.length) {
                this.searches.set(service, current);
            }
        }
    }

    private openingAt({ id, slots }: Candidate, { pace }: LatencyModel, now: number): Opening | undefined {
        const { running, unreadTokens } = this.loads.load(id, now);
        const isFull = running >= Math.min(slots + this.overbooking, pace?.fullAt(id) ?? Infinity);
        return isFull || !this.health.isUsable(id, now)
            ? undefined
            : { id, isOverbooked: running >= slots, unreadTokens };
    }

    /**
     * Searches the candidates from a random one on, so that processes with the same knowledge find different ones. Ends
     * when enough of them are free; until then it keeps those that come closest to it.
     */
    private search<C extends Candidate>(
        candidates: readonly C[],
        openingAt: (candidate: C) => Opening | undefined,
    ): { found: string[]; searched: number; } {
        const start = this.random.nextInt(candidates.length);
        const free: string[] = [];
        const others: Opening[] = [];
        let searched = 0;
        while (searched < candidates.length && free.length < maxFound) {
            const candidate = candidates[(start + searched) % candidates.length];
            searched++;
            const opening = candidate === undefined ? undefined : openingAt(candidate);
            if (opening === undefined) {
                continue;
            }
            if (!opening.isOverbooked && opening.unreadTokens === 0) {
                free.push(opening.id);
            }
            else {
                insertOpening(others, opening);
            }
        }
        return { found: [...free, ...others.map(({ id }) => id)].slice(0, maxFound), searched };
    }

    /** Returns the candidates with the given ids, in their order; ids of other endpoints are left out. */
    private findByIds<C extends Candidate>(candidates: readonly C[], ids: readonly string[]): C[] {
        const wanted = new Set(ids);
        const index = this.indexOf(candidates)
            ?? new Map(candidates.filter(({ id }) => wanted.has(id)).map(candidate => [candidate.id, candidate]));
        return [...wanted].flatMap(id => index.get(id) ?? []);
    }

    /** Returns the index of a list; undefined if there is none. */
    private indexOf<C extends Candidate>(candidates: readonly C[]): ReadonlyMap<string, C> | undefined {
        // The values of the index are the elements of the list.
        return this.indexes.get(candidates) as ReadonlyMap<string, C> | undefined;
    }

    /** Indexes a list that is kept or has been used before; an index of a list that is used once would cost more. */
    private prepareIndex<C extends Candidate>({ list, isKept }: CandidatePool<C>): void {
        if (this.indexes.get(list) === undefined) {
            const isWorthIt = isKept || this.indexes.has(list);
            this.indexes.set(list, isWorthIt ? new Map(list.map(candidate => [candidate.id, candidate])) : undefined);
        }
    }
}

/** Inserts an opening in the order of preference, and drops the last one if there are more than a search keeps. */
function insertOpening(openings: Opening[], opening: Opening): void {
    let i = openings.length;
    for (let last = openings[i - 1]; last !== undefined && isPreferred(opening, last); last = openings[i - 1]) {
        i--;
    }
    if (i < maxFound) {
        openings.splice(i, 0, opening);
        openings.length = Math.min(openings.length, maxFound);
    }
}

/** Whether an opening is better than another one: a free slot counts before the prompts that are still to be read. */
function isPreferred(a: Opening, b: Opening): boolean {
    return a.isOverbooked === b.isOverbooked ? a.unreadTokens < b.unreadTokens : b.isOverbooked;
}
