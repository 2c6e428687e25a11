// Instants are milliseconds since the epoch. A slot is the capacity for one concurrent request within the promised
// latency.

/** Purchase option of an instance: the cloud may reclaim a reclaimable instance at short notice. */
export type Market = "reclaimable" | "on-demand";

export interface InstancePrice {
    failureDomain: string;
    machineClass: string;
    market: Market;
    pricePerHour: number;
}

/** State of an instance as reported by the cloud API and by the engine on the instance. */
export interface FleetInstance {
    id: string;
    failureDomain: string;
    machineClass: string;
    market: Market;
    state: "starting" | "live" | "leaving";
    /** Last instant at which the engine responded; undefined if no response is expected. */
    lastSeenAt?: number;
    /** Whether the committed configuration marks the endpoint of this instance as draining. */
    draining: boolean;
    inFlight: number;
    /** Whether the engine has responded, so that `models`, `adapters`, `version` and `role` are valid. */
    engineReported: boolean;
    models: readonly string[];
    adapters: readonly string[];
    version: string;
    role: string;
}

/** Order that the committed state records and that may not be completed yet. */
export interface PendingOrder {
    operationId: string;
    bytes: number;
}

export interface Fleet {
    instances: readonly FleetInstance[];
    pendingOrders: readonly PendingOrder[];
}

export interface WeightDemand {
    name: string;
    bytes: number;
}

export interface ModelDemand extends WeightDemand {
    /** Share of all slots that requests for this model need, from 0 to 1. */
    share: number;
    /** Newest version; undefined if the model has no versions. */
    version?: string;
    adapters: readonly WeightDemand[];
}

export interface RoleShare {
    role: string;
    share: number;
}

export interface Demand {
    /** Number of running and queued requests. */
    slots: number;
    /** Promised maximum time between two tokens, in ms. */
    tokenLatencyMs: number;
    models: readonly ModelDemand[];
    roles: readonly RoleShare[];
}

interface OrderFields {
    /** Idempotency key derived from the intent of the order, so that a repeated order has no second effect. */
    operationId: string;
    fencing: number;
}

export interface StartOrder extends OrderFields {
    kind: "start";
    failureDomain: string;
    machineClass: string;
    market: Market;
}

export interface InstanceOrder extends OrderFields {
    kind: "drain" | "stop";
    instanceId: string;
    reason: "notice" | "silent" | "surplus";
}

export interface EngineOrder extends OrderFields {
    kind: "load-model" | "load-adapter" | "load-version" | "set-role";
    instanceId: string;
    target: string;
    /** Bytes that the weight store transfers to carry out the order. */
    bytes: number;
}

export type PlacementOrder = StartOrder | InstanceOrder | EngineOrder;

/** Returns the name of the group of instances with the same failure domain, machine class and market. */
export function instanceGroupName(group: Pick<StartOrder, "failureDomain" | "machineClass" | "market">): string {
    return `${group.failureDomain}/${group.machineClass}/${group.market}`;
}
