import { LatencyModel, type Prediction } from "./latency-model.ts";
import type { KnownLoad } from "./load-board.ts";
import type { PrefixMemory } from "./prefix-memory.ts";
import type { PromptHome } from "./prompt-home.ts";
import type { Candidate, DispatchRequest, EngineWork } from "./types.ts";

/** Speed of an engine; the defaults are those that the users' sheets give for their engines. */
export interface EngineSpeed {
    prefillTokensPerMs: number;
    /** Time of a step without any request. */
    stepMs: number;
    /** Time that each running request adds to a step. */
    stepMsPerRequest: number;
    /** Prompt tokens read in one step. */
    chunkTokens: number;
    /** Time from the end of the prompt to the first event. */
    firstEventMs: number;
    /** Time on the way there and back. */
    linkMs: number;
}

export const engineSpeedDefaults: EngineSpeed = {
    prefillTokensPerMs: 157,
    stepMs: 3.55,
    stepMsPerRequest: 0.0462,
    chunkTokens: 2_048,
    firstEventMs: 45,
    linkMs: 10,
};

/** Time to the first event of an engine: uncached prompt, prompts that wait before it, and a place. */
export class EngineModel extends LatencyModel {
    constructor(
        private readonly memory: PrefixMemory,
        private readonly home: PromptHome,
        private readonly speed: EngineSpeed = engineSpeedDefaults,
    ) {
        super();
    }

    override predict(req: DispatchRequest, endpoint: Candidate, load: KnownLoad): Prediction {
        const { speed } = this;
        const work = req.work ?? { parts: [], promptTokens: 0, maxOutputTokens: 0, outputTokens: 0 };
        const unreadTokens = Math.max(0, work.promptTokens - this.cached(req, endpoint));
        const step = speed.stepMs + speed.stepMsPerRequest * load.running;
        const perToken = 1 / speed.prefillTokensPerMs + step / speed.chunkTokens;
        const idleMs = speed.linkMs + speed.firstEventMs + unreadTokens / speed.prefillTokensPerMs;
        const excess = Math.max(0, load.running + 1 - endpoint.slots);
        // A place becomes free each time one of the running requests ends.
        const placeMs = excess === 0 ? 0 : excess * work.outputTokens * step / endpoint.slots;
        // Reports of the others are old; what the own requests wait there shows what has been sent since.
        const waitMs = Math.max(load.unreadTokens * perToken + placeMs, load.lateMs);
        const firstByteMs = speed.linkMs + speed.firstEventMs + unreadTokens * perToken + waitMs;
        return { firstByteMs, idleMs, unreadTokens };
    }

    private cached(req: DispatchRequest, endpoint: Candidate): number {
        const parts = req.work?.parts ?? [];
        const known = this.memory.cachedTokens(endpoint.id, parts);
        if (this.home.home(req) !== endpoint.id) {
            return known;
        }
        // Other processes send the same prompts to this endpoint; all parts but the request's own are likely there.
        const shared = parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
        return Math.max(known, shared);
    }
}

/** Time that a step takes on average while prompts of other requests are read between the tokens, in milliseconds. */
const busyStepMs = 8;

/** Time for which a request takes a place of an engine, in milliseconds. */
export function expectedPlaceMs(work: EngineWork, unreadTokens: number, speed = engineSpeedDefaults): number {
    return speed.firstEventMs + unreadTokens / speed.prefillTokensPerMs + work.outputTokens * busyStepMs;
}
