import { LatencyModel, type Prediction } from "./latency-model.ts";
import type { EstimatedLoad } from "./load-tracker.ts";
import type { Candidate, DispatchRequest } from "./types.ts";

/** Assumed time of a plain call before any was measured, in milliseconds. */
const initialWorkMs = 80;
/** Weight of a new sample in the moving average. */
const sampleWeight = 0.05;

/** Time to the answer of a plain service, learnt from the calls that found a free place. */
export class ServiceModel extends LatencyModel {
    private workMs = initialWorkMs;

    /** Takes the time of a call that ran alone in its place. */
    observe(workMs: number): void {
        this.workMs += (workMs - this.workMs) * sampleWeight;
    }

    override predict(req: DispatchRequest, endpoint: Candidate, load: EstimatedLoad): Prediction {
        void req;
        const excess = Math.max(0, load.running + 1 - endpoint.slots);
        return {
            firstByteMs: this.workMs * (1 + excess / Math.max(1, endpoint.slots)),
            idleFirstByteMs: this.workMs,
            unreadTokens: 0,
        };
    }
}
