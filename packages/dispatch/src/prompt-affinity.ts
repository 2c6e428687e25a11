import murmurhash from "murmurhash";
import { HashRing } from "./hash-ring.ts";
import { prefixKeys } from "./prefix-cache-index.ts";
import type { Candidate, DispatchRequest } from "./types.ts";

/** Assigns prompts to endpoints. All processes reach the same assignment without communication. */
export abstract class PromptAffinity {
    /** Returns the endpoint for all requests with the same shared parts, or undefined if there is no preference. */
    abstract preferredEndpoint(req: DispatchRequest): string | undefined;

    /** Returns an assignment with the same preferences that shares no cached choice with this one. */
    abstract snapshot(): PromptAffinity;
}

/**
 * Endpoints of a service up to which the hash of each of them is compared. Rendezvous hashing over many costs more than
 * the rest of a choice; a ring of hashes takes its place. Prompts are assigned anew when a service crosses this number.
 */
const maxCompared = 192;

/**
 * Affinity by rendezvous hashing, and by a ring of hashes for services with more endpoints. With both, only the
 * prompts assigned to an endpoint move when it is removed.
 */
export class RendezvousAffinity extends PromptAffinity {
    private lastChoice:
        | { req: DispatchRequest; endpoints: readonly Candidate[]; endpointId: string | undefined; }
        | undefined;

    /** The ring of the last list of each large service. */
    private readonly rings = new Map<string, { endpoints: readonly Candidate[]; ring: HashRing; }>();

    constructor(private readonly endpointsOf: (service: string) => readonly Candidate[]) {
        super();
    }

    override preferredEndpoint(req: DispatchRequest): string | undefined {
        const endpoints = this.endpointsOf(req.service);
        // Cached because one decision asks for the same request once per candidate endpoint.
        if (this.lastChoice?.req !== req || this.lastChoice.endpoints !== endpoints) {
            this.lastChoice = { req, endpoints, endpointId: this.findPreferred(req, endpoints) };
        }
        return this.lastChoice.endpointId;
    }

    override snapshot(): RendezvousAffinity {
        return new RendezvousAffinity(this.endpointsOf);
    }

    private findPreferred(req: DispatchRequest, endpoints: readonly Candidate[]): string | undefined {
        const key = sharedPrefixKey(req);
        if (key === undefined) {
            return undefined;
        }
        return endpoints.length <= maxCompared
            ? highestRanked(key, endpoints)
            : this.ringOf(req.service, endpoints).find(key);
    }

    private ringOf(service: string, endpoints: readonly Candidate[]): HashRing {
        const known = this.rings.get(service);
        if (known?.endpoints === endpoints) {
            return known.ring;
        }
        const ring = new HashRing(endpoints.map(({ id }) => id));
        this.rings.set(service, { endpoints, ring });
        return ring;
    }
}

/** No affinity: prompts with the same shared parts may be sent to different endpoints. */
export class NoAffinity extends PromptAffinity {
    override preferredEndpoint(): undefined {
        return undefined;
    }

    override snapshot(): NoAffinity {
        return this;
    }
}

function highestRanked(key: string, endpoints: readonly Candidate[]): string | undefined {
    let best: string | undefined;
    let bestScore = -1;
    for (const { id } of endpoints) {
        const score = murmurhash.v3(`${key}@${id}`);
        if (score > bestScore) {
            bestScore = score;
            best = id;
        }
    }
    return best;
}

/** Returns the key of all parts but the last, which other prompts may share, or undefined if there are none. */
function sharedPrefixKey(req: DispatchRequest): string | undefined {
    return prefixKeys(req.work?.parts ?? []).at(-2);
}
