import type { EstimatedLoad } from "./load-tracker.ts";
import type { Candidate, DispatchRequest } from "./types.ts";

/** Predicted time to the first byte of a request at one endpoint. */
export interface Prediction {
    /** Time to the first byte under the endpoint's current load. */
    firstByteMs: number;
    /** Time to the first byte on an idle endpoint; queueing the request cannot make it shorter. */
    idleFirstByteMs: number;
    /** Prompt tokens that the endpoint has to prefill; 0 for a plain call. */
    unreadTokens: number;
}

/** Predicts the time to the first byte of a request at an endpoint. */
export abstract class LatencyModel {
    abstract predict(req: DispatchRequest, endpoint: Candidate, load: EstimatedLoad): Prediction;
}
