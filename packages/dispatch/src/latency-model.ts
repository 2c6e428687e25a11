import type { EstimatedLoad } from "./load-tracker.ts";
import type { Candidate, DispatchRequest } from "./types.ts";

/** Expected time to the first byte at one endpoint, in milliseconds. */
export interface Prediction {
    /** With the load that the endpoint has now. */
    firstByteMs: number;
    /** Without any load there; waiting cannot make it shorter. */
    idleFirstByteMs: number;
    /** Prompt tokens that the endpoint would have to read; 0 for a plain call. */
    unreadTokens: number;
}

/** Predicts how soon an endpoint would answer a request. */
export abstract class LatencyModel {
    abstract predict(req: DispatchRequest, endpoint: Candidate, load: EstimatedLoad): Prediction;
}
