import { engineSpeedDefaults, EngineSpeedEstimate } from "./engine-speed.ts";
import { LatencyModel, type Prediction } from "./latency-model.ts";
import type { EstimatedLoad } from "./load-tracker.ts";
import type { PrefixCacheIndex } from "./prefix-cache-index.ts";
import type { PromptAffinity } from "./prompt-affinity.ts";
import type { Candidate, DispatchRequest, EngineWork } from "./types.ts";

/** Time to the first event of an engine: uncached prompt, prompts that wait before it, and a place. */
export class EngineModel extends LatencyModel {
    constructor(
        private readonly memory: PrefixCacheIndex,
        private readonly home: PromptAffinity,
        readonly speedEstimate = new EngineSpeedEstimate(),
    ) {
        super();
    }

    override predict(req: DispatchRequest, endpoint: Candidate, load: EstimatedLoad): Prediction {
        const { speed } = this.speedEstimate;
        const work = req.work ?? { parts: [], promptTokens: 0, maxOutputTokens: 0, outputTokens: 0 };
        const unreadTokens = Math.max(0, work.promptTokens - this.cached(req, endpoint));
        const step = speed.stepMs + speed.stepMsPerRequest * load.running;
        const perToken = 1 / speed.prefillTokensPerMs + step / speed.chunkTokens;
        const idleFirstByteMs = speed.roundTripMs + speed.firstEventMs + unreadTokens / speed.prefillTokensPerMs;
        const excess = Math.max(0, load.running + 1 - endpoint.slots);
        // A place becomes free each time one of the running requests ends.
        const placeMs = excess === 0 ? 0 : excess * work.outputTokens * step / endpoint.slots;
        // Reports of the others are old; what the own requests wait there shows what has been sent since.
        const waitMs = Math.max(load.unreadTokens * perToken + placeMs, load.firstByteDelayMs);
        const firstByteMs = speed.roundTripMs + speed.firstEventMs + unreadTokens * perToken + waitMs;
        return { firstByteMs, idleFirstByteMs, unreadTokens };
    }

    private cached(req: DispatchRequest, endpoint: Candidate): number {
        const parts = req.work?.parts ?? [];
        const known = this.memory.cachedTokens(endpoint.id, parts);
        if (this.home.preferredEndpoint(req) !== endpoint.id) {
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
export function expectedSlotMs(work: EngineWork, unreadTokens: number, speed = engineSpeedDefaults): number {
    return speed.firstEventMs + unreadTokens / speed.prefillTokensPerMs + work.outputTokens * busyStepMs;
}
