/** Execution semantics of the requests of a route. */
export type Execution =
    /** A request may run any number of times. */
    | "idempotent"
    /** Each request of a caller runs at most once. */
    | "at-most-once"
    /** The answer is an event stream; a request runs at most once unless the route is resumable. */
    | "stream";

export interface RouteTarget {
    service: string;
    /** Weight of the service relative to the other targets of the route. */
    weight: number;
}

export interface CatalogRoute {
    name: string;
    host: string;
    /** Path prefix, which begins and ends with a slash. The longest matching prefix wins. */
    pathPrefix: string;
    execution: Execution;
    /** Whether an interrupted stream may be resumed at another endpoint after its last event. */
    resumable: boolean;
    /** Longest time that a caller waits for the complete answer, in milliseconds. */
    timeoutMs: number;
    /** Target of the time to the first byte, in milliseconds. */
    firstByteTargetMs: number;
    /** Target of the time between events of a stream, in milliseconds. */
    gapTargetMs: number | undefined;
    /** Priority rank; 0 is the most urgent. */
    rank: number;
    targets: readonly RouteTarget[];
    /** A service that the route names beside its targets; it gets no requests. */
    unusedService?: string;
    /** Largest number of endpoints at which one request may run. */
    maxAttempts: number;
    /** Whether requests need no key. */
    public: boolean;
}

/** Properties of the model engines of a service. */
export interface EngineProfile {
    /** Number of requests that run concurrently. */
    slots: number;
    kvCacheTokens: number;
}

/** Bounds on the replicas of a service in each failure domain, and their boot time and prices. */
export interface ScalingRange {
    minReplicas: number;
    maxReplicas: number;
    /** Time from the order of a replica until it serves requests, in milliseconds. */
    bootMs: number;
    /** Price of a reclaimable replica relative to an on-demand one; undefined when there are no reclaimable ones. */
    reclaimablePrice: number | undefined;
    /** Relative price of a replica by failure domain. */
    domainPrices: ReadonlyMap<string, number>;
}

export interface CatalogService {
    name: string;
    /** Largest number of connections that one endpoint accepts from all callers together. */
    connectionLimit: number;
    /** Properties of the model engines; undefined for a service without engines. */
    engine: EngineProfile | undefined;
    scaling: ScalingRange | undefined;
}

export interface CatalogWorkspace {
    name: string;
    keys: readonly string[];
    /** Priority rank that overrides the rank of the route; undefined when it does not. */
    rank: number | undefined;
    /** Usage cap across all ingresses, in units per second; 0 disables the cap. */
    capPerSecond: number;
    /** Burst in units that the cap allows beyond its rate. */
    capBurst: number;
    /** Whether the units of the cap are tokens; otherwise they are requests. */
    countsTokens: boolean;
    /** Tokens charged to a request that doesn't declare its size. */
    defaultTokens: number;
}

/** Limits on what callers may send. */
export interface CallerLimits {
    maxBodyBytes: number;
    /** Longest time that the connection of a caller may stay idle, in milliseconds. */
    idleTimeoutMs: number;
}

export interface Catalog {
    /** Version number that the operator assigns. The catalog with the highest one is in effect. */
    version: number;
    routes: readonly CatalogRoute[];
    services: ReadonlyMap<string, CatalogService>;
    workspaces: readonly CatalogWorkspace[];
    limits: CallerLimits;
}
