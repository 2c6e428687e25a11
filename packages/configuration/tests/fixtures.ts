import {
    type Command,
    type Configuration,
    type ConfigurationInput,
    configurationSchema,
    ConfigurationStore,
} from "@lentilramp/configuration";

/** Returns an endpoint of kind `service` that serves "booking". */
export function serviceEndpoint(id: string, port = 7000) {
    return {
        id,
        kind: "service" as const,
        host: "127.0.0.1",
        port,
        failureDomain: "a",
        services: ["booking"],
        machineClass: "small",
    };
}

export function exampleConfiguration(overrides: Partial<ConfigurationInput> = {}): Configuration {
    return configurationSchema.parse({
        region: "no-west",
        costWeight: 0.3,
        failureDomains: [{ id: "a", region: "no-west" }, { id: "b", region: "no-west" }],
        links: [{ from: "a", to: "b", oneWayDelayMs: 4, relativeCost: 3 }],
        services: [{ name: "booking", operations: [{ name: "reserve", idempotent: false, latencyPromiseMs: 300 }] }],
        workspaces: [{ id: "oslo", share: 0.5, weights: { high: 4, normal: 2, low: 1 } }],
        endpoints: [serviceEndpoint("hire-1", 7001), serviceEndpoint("hire-2", 7002)],
        ...overrides,
    });
}

/** Applies commands to a store at ascending indexes, with the epoch and clock of one leader. */
export class StoreDriver {
    index = 0;
    epoch = 1;

    constructor(public at = 1_000_000, public store = new ConfigurationStore()) {}

    get time() {
        return { epoch: this.epoch, at: this.at };
    }

    apply(command: Command) {
        this.index = Math.max(this.index, this.store.index) + 1;
        return this.store.apply(command, this.index);
    }

    propose(operationId: string, baseVersion: number, configuration: Configuration) {
        return this.apply({ type: "propose", operationId, time: this.time, baseVersion, configuration });
    }

    drain(operationId: string, endpoint: string) {
        return this.apply({ type: "drain-endpoint", operationId, time: this.time, endpoint });
    }

    handOver(
        step: "planned" | "draining" | "released" | "transferred",
        id: string,
        more: { operationId?: string; kind?: "endpoint" | "service"; sinceAppliedMs?: number; inFlight?: number; } = {},
    ) {
        const operationId = `${step}-${id}-${this.index}`;
        return this.apply({ type: "hand-over", operationId, time: this.time, kind: "endpoint", id, step, ...more });
    }

    acquire(holder: string, operationId = `acquire-${holder}-${this.index}`) {
        const duty = { region: "no-west", duty: "placement", holder, leaseMs: 1_000 };
        return this.apply({ type: "duty-acquire", operationId, time: this.time, ...duty });
    }

    order(holder: string, fencing: number, validForMs = 5_000) {
        const duty = { region: "no-west", duty: "placement", holder, fencing };
        const order = { endpoint: "hire-1", action: "load-model", validForMs };
        const operationId = `order-${this.index}`;
        return this.apply({ type: "order-issue", operationId, time: this.time, ...duty, ...order });
    }
}

/** Returns a driver whose store has `exampleConfiguration` as version 1. */
export function startedDriver(store?: ConfigurationStore): StoreDriver {
    const driver = new StoreDriver(1_000_000, store);
    driver.propose("first", 0, exampleConfiguration());
    return driver;
}
