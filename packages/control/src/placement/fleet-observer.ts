import type { Configuration, Endpoint } from "@lentilramp/configuration";
import { type Demand, type Fleet, type FleetInstance, operationId, type PendingOrder } from "@lentilramp/placement";
import type { Clock } from "@lentilramp/runtime";
import type { InFlightCounter } from "../in-flight-counter.ts";
import type { CloudInstance, EngineClient, EngineReport } from "./platform-client.ts";

/** Token latency if no route has a token gap target: the p95 target of docs/design.md. */
const defaultTokenGapMs = 71;

interface ObservedEngine {
    /** Instant of the last response, or of the first poll if there was none. */
    lastSeenAt: number;
    report: EngineReport | undefined;
}

/** Returns the load orders that the engine accepted and has neither finished nor reported as failed. */
function pendingLoads(
    endpoint: string,
    { state }: EngineReport,
    weightBytes: ReadonlyMap<string, number>,
): PendingOrder[] {
    const loaded = new Set([...state.models, ...state.adapters, state.version]);
    const loads = state.accepted.filter(order => order.kind.startsWith("load") && !loaded.has(order.target));
    const loadsById = new Map(loads.map(order => [operationId(order.kind, endpoint, order.target), order]));
    return [...loadsById].flatMap(([id, { kind, target }]) => {
        const countMatching = (orders: readonly { kind: string; target: string; }[]) =>
            orders.filter(order => order.kind === kind && order.target === target).length;
        return countMatching(loads) > countMatching(state.failed)
            ? [{ operationId: id, bytes: weightBytes.get(target) ?? 0 }]
            : [];
    });
}

/** Builds the planner's inputs from the cloud's instance list, the committed configuration and the engine reports. */
export class FleetObserver {
    private readonly engines = new Map<string, ObservedEngine>();

    constructor(
        private readonly client: EngineClient,
        private readonly inFlightCounter: Pick<InFlightCounter, "count">,
        private readonly clock: Clock,
    ) {}

    reportOf(endpoint: string): EngineReport | undefined {
        return this.engines.get(endpoint)?.report;
    }

    /** Requests reports from all engines of the configuration; an engine that fails keeps its last report. */
    async poll(configuration: Configuration, deadline: number): Promise<void> {
        const endpoints = configuration.endpoints.filter(endpoint => endpoint.kind === "engine");
        const ids = new Set(endpoints.map(endpoint => endpoint.id));
        [...this.engines.keys()].filter(id => !ids.has(id)).forEach(id => this.engines.delete(id));
        await Promise.all(endpoints.map(async endpoint => {
            const observed = this.engines.get(endpoint.id) ?? { lastSeenAt: this.clock.now(), report: undefined };
            this.engines.set(endpoint.id, observed);
            const report = await this.client.report(endpoint, deadline).catch(() => undefined);
            if (report !== undefined) {
                this.engines.set(endpoint.id, { lastSeenAt: report.receivedAt, report });
            }
        }));
    }

    /** Returns the machine classes on which engines of the configuration run; the planner uses no others. */
    machineClasses(configuration: Configuration): Set<string> {
        return new Set(
            configuration.endpoints.filter(endpoint => endpoint.kind === "engine").map(({ machineClass }) =>
                machineClass
            ),
        );
    }

    /**
     * Returns the instances that the planner manages. Active engines that are missing from the cloud's list count as
     * live on-demand instances.
     */
    async buildFleet(
        configuration: Configuration,
        listed: readonly CloudInstance[],
        weightBytes: ReadonlyMap<string, number>,
    ): Promise<Fleet> {
        const engines = configuration.endpoints.filter(endpoint => endpoint.kind === "engine");
        const endpointsById = new Map(engines.map(endpoint => [endpoint.id, endpoint]));
        // The planner must not manage instances of entries and services, even if engines run on the same class.
        const nonEngineIds = new Set([
            ...configuration.entries.map(({ id }) => id),
            ...configuration.endpoints.filter(endpoint => endpoint.kind !== "engine").map(({ id }) => id),
        ]);
        const classes = this.machineClasses(configuration);
        const plannedInstances = listed.filter(instance =>
            instance.state !== "gone" && !nonEngineIds.has(instance.id)
            && (endpointsById.has(instance.id) || classes.has(instance.machineClass))
        );
        const listedIds = new Set(plannedInstances.map(instance => instance.id));
        const unlisted = engines.filter(endpoint => !listedIds.has(endpoint.id) && endpoint.lifecycle === "active");
        const instances = await Promise.all([
            ...plannedInstances.map(instance =>
                this.toFleetInstance(configuration, instance, endpointsById.get(instance.id))
            ),
            ...unlisted.map(endpoint =>
                this.toFleetInstance(configuration, { ...endpoint, market: "on-demand", state: "live" }, endpoint)
            ),
        ]);
        const pendingOrders = engines.flatMap(({ id }) => {
            const report = this.reportOf(id);
            return report === undefined ? [] : pendingLoads(id, report, weightBytes);
        });
        return { instances, pendingOrders };
    }

    /** Returns the demand for slots and weights; models and adapters of unknown size are left out. */
    buildDemand(configuration: Configuration, weightBytes: ReadonlyMap<string, number>): Demand {
        const engines = configuration.endpoints.filter(endpoint => endpoint.kind === "engine");
        const tokenGapsMs = configuration.routes.flatMap(({ target, latencyTarget: { tokenGapMs } }) =>
            target.kind === "engine" && tokenGapMs !== undefined ? [tokenGapMs] : []
        );
        const withBytes = (names: readonly string[]) =>
            [...new Set(names)].flatMap(name => {
                const bytes = weightBytes.get(name);
                return bytes === undefined ? [] : [{ name, bytes }];
            });
        return {
            slots: engines.reduce((sum, { id }) => sum + (this.reportOf(id)?.inFlight ?? 0), 0),
            tokenLatencyMs: tokenGapsMs.length === 0 ? defaultTokenGapMs : Math.min(...tokenGapsMs),
            models: withBytes(configuration.models.map(({ name }) => name)).map(model => {
                const holders = engines.filter(endpoint => endpoint.models.includes(model.name));
                const adapters = holders.flatMap(endpoint => endpoint.adapters.map(({ name }) => name));
                return { ...model, share: holders.length / Math.max(1, engines.length), adapters: withBytes(adapters) };
            }),
            roles: [],
        };
    }

    private async toFleetInstance(
        configuration: Configuration,
        { id, failureDomain, machineClass, market, state }: CloudInstance,
        endpoint: Endpoint | undefined,
    ): Promise<FleetInstance> {
        const observed = this.engines.get(id);
        const engineState = observed?.report?.state;
        const draining = endpoint !== undefined && endpoint.lifecycle !== "active";
        const entryInFlight = draining ? await this.inFlightCounter.count(configuration, "endpoint", id) : undefined;
        return {
            id,
            failureDomain,
            machineClass,
            market,
            state: state === "starting" || state === "leaving" ? state : "live",
            ...(observed === undefined ? {} : { lastSeenAt: observed.lastSeenAt }),
            draining,
            inFlight: Math.max(observed?.report?.inFlight ?? 0, entryInFlight ?? 0),
            engineReported: engineState !== undefined,
            models: engineState?.models ?? [],
            adapters: engineState?.adapters ?? [],
            version: engineState?.version ?? "",
            role: engineState?.role ?? "any",
        };
    }
}
