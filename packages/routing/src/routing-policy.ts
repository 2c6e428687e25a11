import type { Result } from "ts-results-es";
import type { EndpointView } from "./endpoint-view.ts";
import type { Endpoint, RouteRequest } from "./endpoint.ts";

export interface RouteChoice {
    endpoint: Endpoint;
    /** Predicted time to the first byte of the answer, in milliseconds; 0 when the policy does not predict. */
    predictedMs: number;
    /** Prompt tokens presumed cached at the endpoint. */
    cachedTokens: number;
}

/**
 * - `no-endpoint`: no endpoint serves the request, or all that do were tried.
 * - `deadline-unreachable`: the best endpoint would answer after the deadline, by `lateMs`.
 */
export type RouteError = { kind: "no-endpoint"; } | { kind: "deadline-unreachable"; lateMs: number; };

/** Chooses the endpoint for a request. */
export abstract class RoutingPolicy<R extends RouteRequest> {
    abstract choose(req: R, view: EndpointView, now: number): Result<RouteChoice, RouteError>;
}
