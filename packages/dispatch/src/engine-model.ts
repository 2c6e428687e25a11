import type { EndpointPace } from "./endpoint-pace.ts";
import { engineSpeedDefaults, EngineSpeedEstimate } from "./engine-speed.ts";
import { LatencyModel, type Prediction } from "./latency-model.ts";
import type { EstimatedLoad } from "./load-tracker.ts";
import type { PrefixCacheIndex } from "./prefix-cache-index.ts";
import type { PromptAffinity } from "./prompt-affinity.ts";
import type { Candidate, DispatchRequest, EngineWork } from "./types.ts";

/** Predicts the time to an engine's first event from the uncached prompt, queued prompts and the wait for a slot. */
export class EngineModel extends LatencyModel {
    constructor(
        private readonly prefixCache: PrefixCacheIndex,
        private readonly affinity: PromptAffinity,
        readonly speedEstimate = new EngineSpeedEstimate(),
        pace?: EndpointPace,
    ) {
        super(pace);
    }

    override predict(req: DispatchRequest, endpoint: Candidate, load: EstimatedLoad): Prediction {
        const { speed } = this.speedEstimate;
        const work = req.work ?? { parts: [], promptTokens: 0, maxOutputTokens: 0, outputTokens: 0 };
        const unreadTokens = Math.max(0, work.promptTokens - this.expectedCachedTokens(req, endpoint));
        const stepMs = speed.stepMs + speed.stepMsPerRequest * load.running;
        const msPerToken = 1 / speed.prefillTokensPerMs + stepMs / speed.chunkTokens;
        const idleFirstByteMs = speed.roundTripMs + speed.firstEventMs + unreadTokens / speed.prefillTokensPerMs;
        const excessRequests = Math.max(0, load.running + 1 - endpoint.slots);
        // A slot becomes free each time one of the running requests ends.
        const slotWaitMs = excessRequests === 0 ? 0 : excessRequests * work.outputTokens * stepMs / endpoint.slots;
        // Load reports of peers lag behind. The delay of local requests on the endpoint also reflects what peers have
        // sent since their last report.
        const queueMs = load.unreadTokens * msPerToken + slotWaitMs;
        const idleWorkMs = speed.roundTripMs + speed.firstEventMs + unreadTokens * msPerToken;
        const firstByteMs = idleWorkMs + Math.max(queueMs, load.firstByteDelayMs);
        const factor = this.pace?.factor(endpoint.id);
        if (this.pace === undefined || factor === undefined) {
            return { firstByteMs, idleFirstByteMs, unreadTokens };
        }
        return {
            // A measured delay is what it is; it already holds the factor.
            firstByteMs: Math.max(
                (idleWorkMs + queueMs) * factor,
                idleWorkMs * factor + load.firstByteDelayMs,
            ),
            // What all engines show in an overload are prompts that are queued there and not known here yet. An idle
            // engine would not have them, so that a request may wait for it for as long as before the overload.
            idleFirstByteMs: idleFirstByteMs * this.pace.relativeFactor(endpoint.id),
            unreadTokens,
            factor,
            fullAt: this.pace.fullAt(endpoint.id),
        };
    }

    override *preferredEndpoints(req: DispatchRequest): Generator<string, void> {
        const assigned = this.affinity.preferredEndpoint(req);
        if (assigned !== undefined) {
            yield assigned;
        }
        yield* this.prefixCache.findHolders(req.work?.parts ?? []);
    }

    /** The copy shares the index of the cached prefixes, which predictions only read. */
    override snapshot(): EngineModel {
        const { prefixCache, affinity, speedEstimate, pace } = this;
        return new EngineModel(prefixCache, affinity.snapshot(), speedEstimate.snapshot(), pace?.snapshot());
    }

    private expectedCachedTokens(req: DispatchRequest, endpoint: Candidate): number {
        const parts = req.work?.parts ?? [];
        const recordedTokens = this.prefixCache.cachedTokens(endpoint.id, parts);
        if (this.affinity.preferredEndpoint(req) !== endpoint.id) {
            return recordedTokens;
        }
        // Other processes send prompts with the same prefix to this endpoint, so all parts but the last, which is
        // specific to the request, are probably cached there.
        const sharedTokens = parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
        return Math.max(recordedTokens, sharedTokens);
    }
}

/** Average time per output token while prompts of other requests are prefilled between the tokens, in milliseconds. */
const busyStepMs = 8;

/** Returns the expected time for which a request occupies a slot of an engine, in milliseconds. */
export function expectedSlotMs(work: EngineWork, unreadTokens: number, speed = engineSpeedDefaults): number {
    return speed.firstEventMs + unreadTokens / speed.prefillTokensPerMs + work.outputTokens * busyStepMs;
}
