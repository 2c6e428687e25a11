import type { EndpointPace } from "./endpoint-pace.ts";
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
    /** Factor by which the endpoint's estimate has changed the times; undefined for an endpoint without an estimate. */
    factor?: number;
    /** Running requests at which the endpoint counts as full; undefined if only its slots limit them. */
    fullAt?: number | undefined;
}

/** An answer that has been measured, or has begun, at an endpoint for which `prediction` was made. */
export interface MeasuredAnswer {
    endpoint: Candidate;
    prediction: Prediction;
    /** Requests that ran on the endpoint before this one. */
    running: number;
}

/** Predicts the time to the first byte of a request at an endpoint. */
export abstract class LatencyModel {
    /** `pace` estimates the endpoints that state their pace; without it, no endpoint is estimated. */
    constructor(readonly pace?: EndpointPace) {}

    abstract predict(req: DispatchRequest, endpoint: Candidate, load: EstimatedLoad): Prediction;

    /**
     * Returns endpoints at which a request takes less work than at others, the most suitable one first; may be empty, and
     * may hold endpoints of other services and an endpoint more than once.
     */
    preferredEndpoints(req: DispatchRequest): Iterable<string> {
        void req;
        return [];
    }

    /** Returns a copy that predicts as this model does now; its use and its changes have no effect on this model. */
    abstract snapshot(): LatencyModel;
}
