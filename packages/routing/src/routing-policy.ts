import type { Result } from "ts-results-es";
import type { EndpointView } from "./endpoint-view.ts";
import type { Endpoint, RouteRequest } from "./endpoint.ts";

/** Endpoint chosen for a request, with the estimates behind the choice. */
export interface RouteChoice {
    endpoint: Endpoint;
    /** Predicted time to the first byte of the response in ms; 0 if the policy makes no prediction. */
    predictedMs: number;
    /** Prompt tokens that the endpoint is estimated to have cached. */
    cachedTokens: number;
}

/**
 * Reason why no endpoint was chosen.
 *
 * - `no-endpoint`: no endpoint can serve the request, or all that can were already tried.
 * - `deadline-unreachable`: the predicted response of the fastest endpoint misses the deadline by `lateMs`.
 */
export type RouteError = { kind: "no-endpoint"; } | { kind: "deadline-unreachable"; lateMs: number; };

/** Strategy that chooses the endpoint for a request. */
export abstract class RoutingPolicy<R extends RouteRequest> {
    abstract choose(req: R, view: EndpointView, now: number): Result<RouteChoice, RouteError>;
}
