import murmurhash from "murmurhash";
import { prefixKeys } from "./prefix-cache-index.ts";
import type { Candidate, DispatchRequest } from "./types.ts";

/** Ranks endpoints for a prompt; all processes get the same order without talking to each other. */
export abstract class PromptAffinity {
    /** The endpoint at which requests with the same shared parts meet, or undefined without shared parts. */
    abstract preferredEndpoint(req: DispatchRequest): string | undefined;
}

/** The home of a prompt by rendezvous hashing: when an endpoint goes, only the prompts of that one move. */
export class RendezvousAffinity extends PromptAffinity {
    private last: { req: DispatchRequest; endpoints: readonly Candidate[]; id: string | undefined; } | undefined;

    constructor(private readonly endpoints: (service: string) => readonly Candidate[]) {
        super();
    }

    override preferredEndpoint(req: DispatchRequest): string | undefined {
        const endpoints = this.endpoints(req.service);
        // A decision predicts the request at every endpoint in turn, and its home is the same for all of them.
        if (this.last?.req !== req || this.last.endpoints !== endpoints) {
            this.last = { req, endpoints, id: rankFirst(req, endpoints) };
        }
        return this.last.id;
    }
}

/** No home: each request goes wherever its first byte is expected first. */
export class NoAffinity extends PromptAffinity {
    override preferredEndpoint(): undefined {
        return undefined;
    }
}

function rankFirst(req: DispatchRequest, endpoints: readonly Candidate[]): string | undefined {
    const key = sharedKey(req);
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

/** Key of the parts that a prompt shares with others, or undefined when it has one part only. */
function sharedKey(req: DispatchRequest): string | undefined {
    return prefixKeys(req.work?.parts ?? []).at(-2);
}
