/** What may be repeated for the requests of a route. */
export type Execution =
    /** May run any number of times. */
    | "idempotent"
    /** Runs at most once for each request of a caller. */
    | "at-most-once"
    /** A stream of events; at most once unless the route is resumable. */
    | "stream";

export interface RouteTarget {
    service: string;
    /** Share of the requests, relative to the other targets of the route. */
    weight: number;
}

export interface CatalogRoute {
    name: string;
    host: string;
    /** Begins and ends with a slash; the longest prefix of a path wins. */
    pathPrefix: string;
    execution: Execution;
    /** A cut stream may go on at another endpoint after its last event. */
    resumable: boolean;
    /** Longest time that a caller is kept waiting for the whole answer, in milliseconds. */
    timeoutMs: number;
    /** Time to the first byte within which an answer is on time, in milliseconds. */
    firstByteTargetMs: number;
    /** Longest pause between events of a stream that is still on time, in milliseconds. */
    gapTargetMs: number | undefined;
    /** 0 is the most urgent. */
    rank: number;
    targets: readonly RouteTarget[];
    /** Endpoints at which one request may run. */
    maxAttempts: number;
    /** Served without a key. */
    public: boolean;
}

/** Properties of the model engines of a service. */
export interface EngineProfile {
    /** Requests that run at once. */
    slots: number;
    kvCacheTokens: number;
}

/** Bounds within which replicas of a service may be ordered, for each failure domain. */
export interface ScalingRange {
    minReplicas: number;
    maxReplicas: number;
    /** Time from an order to the first request, in milliseconds. */
    bootMs: number;
    /** Price of a reclaimable replica relative to an on-demand one; undefined when there are none. */
    reclaimablePrice: number | undefined;
    /** Relative price of a replica in each failure domain. */
    domainPrices: ReadonlyMap<string, number>;
}

export interface CatalogService {
    name: string;
    /** Connections that one endpoint accepts from all callers. */
    connectionLimit: number;
    /** Undefined for a plain service. */
    engine: EngineProfile | undefined;
    scaling: ScalingRange | undefined;
}

export interface CatalogWorkspace {
    name: string;
    keys: readonly string[];
    /** Overrides the rank of the route. */
    rank: number | undefined;
    /** Usage cap over all ingresses, in units a second; 0 is no cap. */
    capPerSecond: number;
    /** Units that may be used at once beyond the rate. */
    capBurst: number;
    /** Whether the cap counts tokens instead of requests. */
    countsTokens: boolean;
    /** Tokens that a request without a declared size counts as. */
    defaultTokens: number;
}

/** Limits on what callers may send. */
export interface CallerLimits {
    maxBodyBytes: number;
    /** Time that a caller's connection may stay idle, in milliseconds. */
    idleTimeoutMs: number;
}

export interface Catalog {
    /** The operator's number; the highest is in force. */
    version: number;
    routes: readonly CatalogRoute[];
    services: ReadonlyMap<string, CatalogService>;
    workspaces: readonly CatalogWorkspace[];
    limits: CallerLimits;
}
