/** Priority of a request, taken from the `x-priority` header. */
export type Priority = "high" | "normal" | "low";

/** Priorities from highest to lowest: the first is served first, the last is shed first. */
export const priorities: readonly Priority[] = ["high", "normal", "low"];

/** Model version that an endpoint has loaded, with the loaded adapters. */
export interface LoadedModel {
    model: string;
    version: string;
    adapters: readonly string[];
}

/** Endpoint to which this entry may send requests. Endpoints other than engines have no models. */
export interface Endpoint {
    id: string;
    failureDomain: string;
    models: readonly LoadedModel[];
}

/** Request fields that every routing policy uses. Instants are milliseconds since the epoch. */
export interface RouteRequest {
    priority: Priority;
    deadline: number;
    /** Endpoints that were already tried for this request and must not be chosen again. */
    excluded?: ReadonlySet<string>;
}

/** Request to an engine to generate tokens. */
export interface EngineRequest extends RouteRequest {
    model: string;
    /** Required model version; undefined accepts any loaded version. */
    version?: string;
    adapter?: string;
    promptTokens: number;
    /** Chained hashes of the prompt's blocks as `hashBlocks` returns them. */
    prefix: readonly number[];
}

/** Whether the endpoint has loaded the model, version and adapter that the request requires. */
export function serves(endpoint: Endpoint, req: EngineRequest): boolean {
    return endpoint.models.some(loaded =>
        loaded.model === req.model
        && (req.version === undefined || loaded.version === req.version)
        && (req.adapter === undefined || loaded.adapters.includes(req.adapter))
    );
}
