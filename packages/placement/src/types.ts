/** Instants are milliseconds since the epoch. A slot is one request in progress within the promised latency. */
export type Market = "reclaimable" | "on-demand";

export interface InstancePrice {
    failureDomain: string;
    machineClass: string;
    market: Market;
    pricePerHour: number;
}

/** An instance as the cloud API and the engine on it report it. */
export interface FleetInstance {
    id: string;
    failureDomain: string;
    machineClass: string;
    market: Market;
    state: "starting" | "live" | "leaving";
    /** Last instant at which the engine answered; undefined when none is expected to answer. */
    lastSeenAt?: number;
    /** The committed configuration names the endpoint of this instance as draining. */
    draining: boolean;
    inFlight: number;
    /** The engine has answered, so that what it holds is known. */
    engineReported: boolean;
    models: readonly string[];
    adapters: readonly string[];
    version: string;
    role: string;
}

/** An order that the committed state records and that may still be carried out. */
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
    /** Share of the slots that this model needs, 0 to 1. */
    share: number;
    /** Newest version; undefined when the model has none. */
    version?: string;
    adapters: readonly WeightDemand[];
}

export interface RoleShare {
    role: string;
    share: number;
}

export interface Demand {
    /** Requests in progress or queued now. */
    slots: number;
    /** Longest time between two tokens that is promised, in ms. */
    tokenLatencyMs: number;
    models: readonly ModelDemand[];
    roles: readonly RoleShare[];
}

interface OrderFields {
    /** Derived from what the order intends, so that a repeated order has no second effect. */
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
    /** Bytes that the weight store transfers for it. */
    bytes: number;
}

export type PlacementOrder = StartOrder | InstanceOrder | EngineOrder;

/** Name of a set of like instances. */
export function instanceGroupName(cell: Pick<StartOrder, "failureDomain" | "machineClass" | "market">): string {
    return `${cell.failureDomain}/${cell.machineClass}/${cell.market}`;
}
