/** Priority of a request, from `x-priority`. */
export type Priority = "high" | "normal" | "low";

/** Priorities from the first served to the first shed. */
export const priorities: readonly Priority[] = ["high", "normal", "low"];

/** A model version that an endpoint has loaded, with its adapters. */
export interface LoadedModel {
    model: string;
    version: string;
    adapters: readonly string[];
}

/** An endpoint to which this entry may send. Plain services have no models. */
export interface Endpoint {
    id: string;
    failureDomain: string;
    models: readonly LoadedModel[];
}

/** What a policy needs to know of any request. Instants are milliseconds since the epoch. */
export interface RouteRequest {
    priority: Priority;
    deadline: number;
    /** Endpoints that this request has already tried and must not get again. */
    excluded?: ReadonlySet<string>;
}

/** A request for generated tokens. */
export interface EngineRequest extends RouteRequest {
    model: string;
    /** Any loaded version serves the request when this is undefined. */
    version?: string;
    adapter?: string;
    promptTokens: number;
    /** Chained hashes of the prompt's blocks, see `hashBlocks`. */
    prefix: readonly number[];
}

/** True when the endpoint has the model, the version and the adapter that the request names. */
export function serves(endpoint: Endpoint, req: EngineRequest): boolean {
    return endpoint.models.some(loaded =>
        loaded.model === req.model
        && (req.version === undefined || loaded.version === req.version)
        && (req.adapter === undefined || loaded.adapters.includes(req.adapter))
    );
}
