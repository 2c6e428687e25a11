import murmurhash from "murmurhash";
import { prefixKeys } from "./prefix-cache-index.ts";
import type { Candidate, DispatchRequest } from "./types.ts";

/** Assigns prompts to endpoints. All processes reach the same assignment without communication. */
export abstract class PromptAffinity {
    /** Returns the endpoint for all requests with the same shared parts, or undefined if there is no preference. */
    abstract preferredEndpoint(req: DispatchRequest): string | undefined;
}

/** Affinity by rendezvous hashing: when an endpoint is removed, only the prompts assigned to it move. */
export class RendezvousAffinity extends PromptAffinity {
    private lastChoice:
        | { req: DispatchRequest; endpoints: readonly Candidate[]; endpointId: string | undefined; }
        | undefined;

    constructor(private readonly endpointsOf: (service: string) => readonly Candidate[]) {
        super();
    }

    override preferredEndpoint(req: DispatchRequest): string | undefined {
        const endpoints = this.endpointsOf(req.service);
        // Cached because one decision asks for the same request once per candidate endpoint.
        if (this.lastChoice?.req !== req || this.lastChoice.endpoints !== endpoints) {
            this.lastChoice = { req, endpoints, endpointId: highestRanked(req, endpoints) };
        }
        return this.lastChoice.endpointId;
    }
}

/** No affinity: prompts with the same shared parts may be sent to different endpoints. */
export class NoAffinity extends PromptAffinity {
    override preferredEndpoint(): undefined {
        return undefined;
    }
}

function highestRanked(req: DispatchRequest, endpoints: readonly Candidate[]): string | undefined {
    const key = sharedPrefixKey(req);
    if (key === undefined) {
        return undefined;
    }
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
