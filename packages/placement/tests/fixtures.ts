import {
    type Demand,
    DutyLease,
    type Fleet,
    type FleetInstance,
    type InstancePrice,
    LinearCapacity,
    placementOptions,
    type PlacementOrder,
    PlacementPlanner,
} from "@lentilramp/placement";
import { SeededRandom } from "@lentilramp/runtime";

export const domains = ["a", "b", "c"];
/** 20 ms + 1 ms x slots <= 50 ms gives 30 slots per instance. */
export const capacity = new LinearCapacity({ accelerator: { baseMs: 20, perRequestMs: 1 } });
export const slotsPerInstance = 30;

export const prices: InstancePrice[] = domains.flatMap(failureDomain => [
    { failureDomain, machineClass: "accelerator", market: "reclaimable" as const, pricePerHour: 3.5 },
    { failureDomain, machineClass: "accelerator", market: "on-demand" as const, pricePerHour: 10 },
]);

export function demandOf(slots: number, overrides: Partial<Demand> = {}): Demand {
    return { slots, tokenLatencyMs: 50, models: [], roles: [], ...overrides };
}

export function instanceOf(id: string, overrides: Partial<FleetInstance> = {}): FleetInstance {
    return {
        id,
        failureDomain: "a",
        machineClass: "accelerator",
        market: "reclaimable",
        state: "live",
        draining: false,
        inFlight: 0,
        engineReported: true,
        models: [],
        adapters: [],
        version: "",
        role: "any",
        ...overrides,
    };
}

export class TestLease extends DutyLease {
    fencing: number | undefined = 1;

    override fencingAt(): number | undefined {
        return this.fencing;
    }
}

export function plannerOf(options: object = {}, lease = new TestLease(), seed = 1): PlacementPlanner {
    const parsedOptions = placementOptions.parse({ weightStoreBytesPerSecond: 1e12, ...options });
    return new PlacementPlanner(parsedOptions, capacity, lease, new SeededRandom(seed));
}

/** Simulated fleet that carries out orders at once and counts starts and stops. Starts are live after `startMs`. */
export class TestFleet {
    instances: (FleetInstance & { readyAt: number; })[] = [];
    readonly operations = new Map<string, string>();
    /** Operation ids of start orders that were repeated after their instance was gone. */
    startsOfGoneInstances: string[] = [];
    starts = 0;
    stops = 0;

    constructor(private readonly startMs = 60_000) {}

    view(now: number): Fleet {
        for (const instance of this.instances) {
            if (instance.state === "starting" && instance.readyAt <= now) {
                instance.state = "live";
            }
        }
        return { instances: this.instances.map(instance => ({ ...instance })), pendingOrders: [] };
    }

    apply(
        orders: readonly PlacementOrder[],
        now: number,
        refuse: (order: PlacementOrder) => boolean = () => false,
    ): PlacementOrder[] {
        const refused: PlacementOrder[] = [];
        for (const order of orders) {
            if (refuse(order)) {
                refused.push(order);
            }
            else if (order.kind === "start" && !this.operations.has(order.operationId)) {
                const id = `i-${this.operations.size}`;
                this.operations.set(order.operationId, id);
                const { failureDomain, machineClass, market } = order;
                this.instances.push({
                    ...instanceOf(id, { failureDomain, machineClass, market, state: "starting" }),
                    readyAt: now + this.startMs,
                });
                this.starts++;
            }
            else if (order.kind === "start") {
                const id = this.operations.get(order.operationId);
                this.startsOfGoneInstances.push(
                    ...this.instances.some(item => item.id === id) ? [] : [order.operationId],
                );
            }
            else if (order.kind === "drain") {
                this.instances.filter(({ id }) => id === order.instanceId).forEach(item => item.draining = true);
            }
            else if (order.kind === "stop") {
                this.instances = this.instances.filter(({ id }) => id !== order.instanceId);
                this.stops++;
            }
        }
        return refused;
    }

    servingSlotsOutside(failureDomain: string): number {
        return this.instances.filter(item => item.failureDomain !== failureDomain && !item.draining).length
            * slotsPerInstance;
    }
}
