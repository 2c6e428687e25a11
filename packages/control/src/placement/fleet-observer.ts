import type { Configuration, Endpoint } from "@lentilramp/configuration";
import { type Demand, type Fleet, type FleetInstance, operationId, type PendingOrder } from "@lentilramp/placement";
import type { Clock } from "@lentilramp/runtime";
import type { InFlightCounter } from "../in-flight-counter.ts";
import type { CloudInstance, EngineClient, EngineReport } from "./platform-client.ts";

/** Used while no route states a token gap; the target p95 of docs/design.md. */
const defaultTokenGapMs = 71;

interface ObservedEngine {
    /** Instant of the last answer, or of the first question. */
    seenAt: number;
    report: EngineReport | undefined;
}

function pendingOf(endpoint: string, { state }: EngineReport, sizes: ReadonlyMap<string, number>): PendingOrder[] {
    const done = new Set([...state.models, ...state.adapters, state.version]);
    const loads = state.accepted.filter(order => order.kind.startsWith("load") && !done.has(order.target));
    const ids = new Map(loads.map(order => [operationId(order.kind, endpoint, order.target), order]));
    return [...ids].flatMap(([id, { kind, target }]) => {
        const count = (orders: readonly { kind: string; target: string; }[]) =>
            orders.filter(order => order.kind === kind && order.target === target).length;
        return count(loads) > count(state.failed) ? [{ operationId: id, bytes: sizes.get(target) ?? 0 }] : [];
    });
}

/** Builds fleet and demand from the cloud's list, the committed configuration and the reports of the engines. */
export class FleetObserver {
    private readonly engines = new Map<string, ObservedEngine>();

    constructor(
        private readonly client: EngineClient,
        private readonly inFlightCounter: Pick<InFlightCounter, "count">,
        private readonly clock: Clock,
    ) {}

    report(endpoint: string): EngineReport | undefined {
        return this.engines.get(endpoint)?.report;
    }

    /** Asks all engines of the configuration. */
    async poll(configuration: Configuration, deadline: number): Promise<void> {
        const endpoints = configuration.endpoints.filter(endpoint => endpoint.kind === "engine");
        const ids = new Set(endpoints.map(endpoint => endpoint.id));
        [...this.engines.keys()].filter(id => !ids.has(id)).forEach(id => this.engines.delete(id));
        await Promise.all(endpoints.map(async endpoint => {
            const before = this.engines.get(endpoint.id) ?? { seenAt: this.clock.now(), report: undefined };
            this.engines.set(endpoint.id, before);
            const report = await this.client.report(endpoint, deadline).catch(() => undefined);
            if (report !== undefined) {
                this.engines.set(endpoint.id, { seenAt: report.receivedAt, report });
            }
        }));
    }

    /** Machine classes on which engines of the configuration run; the planner uses no other. */
    machineClasses(configuration: Configuration): Set<string> {
        return new Set(
            configuration.endpoints.filter(endpoint => endpoint.kind === "engine").map(({ machineClass }) =>
                machineClass
            ),
        );
    }

    async fleet(
        configuration: Configuration,
        listed: readonly CloudInstance[],
        sizes: ReadonlyMap<string, number>,
    ): Promise<Fleet> {
        const engines = configuration.endpoints.filter(endpoint => endpoint.kind === "engine");
        const byId = new Map(engines.map(endpoint => [endpoint.id, endpoint]));
        // Instances of entries and services are not the planner's, whatever their class is.
        const others = new Set([
            ...configuration.entries.map(({ id }) => id),
            ...configuration.endpoints.filter(endpoint => endpoint.kind !== "engine").map(({ id }) => id),
        ]);
        const classes = this.machineClasses(configuration);
        const owned = listed.filter(instance =>
            instance.state !== "gone" && !others.has(instance.id)
            && (byId.has(instance.id) || classes.has(instance.machineClass))
        );
        const listedIds = new Set(owned.map(instance => instance.id));
        const unlisted = engines.filter(endpoint => !listedIds.has(endpoint.id) && endpoint.lifecycle === "active");
        const instances = await Promise.all([
            ...owned.map(instance => this.instance(configuration, instance, byId.get(instance.id))),
            ...unlisted.map(endpoint =>
                this.instance(configuration, { ...endpoint, market: "on-demand", state: "live" }, endpoint)
            ),
        ]);
        const pendingOrders = engines.flatMap(({ id }) => {
            const report = this.report(id);
            return report === undefined ? [] : pendingOf(id, report, sizes);
        });
        return { instances, pendingOrders };
    }

    demand(configuration: Configuration, sizes: ReadonlyMap<string, number>): Demand {
        const engines = configuration.endpoints.filter(endpoint => endpoint.kind === "engine");
        const gaps = configuration.routes.flatMap(({ target, latencyTarget: { tokenGapMs } }) =>
            target.kind === "engine" && tokenGapMs !== undefined ? [tokenGapMs] : []
        );
        const sized = (names: readonly string[]) =>
            [...new Set(names)].flatMap(name => {
                const bytes = sizes.get(name);
                return bytes === undefined ? [] : [{ name, bytes }];
            });
        return {
            slots: engines.reduce((sum, { id }) => sum + (this.report(id)?.inFlight ?? 0), 0),
            tokenLatencyMs: gaps.length === 0 ? defaultTokenGapMs : Math.min(...gaps),
            models: sized(configuration.models.map(({ name }) => name)).map(model => {
                const holders = engines.filter(endpoint => endpoint.models.includes(model.name));
                const adapters = holders.flatMap(endpoint => endpoint.adapters.map(({ name }) => name));
                return { ...model, share: holders.length / Math.max(1, engines.length), adapters: sized(adapters) };
            }),
            roles: [],
        };
    }

    private async instance(
        configuration: Configuration,
        { id, failureDomain, machineClass, market, state }: CloudInstance,
        endpoint: Endpoint | undefined,
    ): Promise<FleetInstance> {
        const seen = this.engines.get(id);
        const engine = seen?.report?.state;
        const draining = endpoint !== undefined && endpoint.lifecycle !== "active";
        const surveyed = draining ? await this.inFlightCounter.count(configuration, "endpoint", id) : undefined;
        return {
            id,
            failureDomain,
            machineClass,
            market,
            state: state === "starting" || state === "leaving" ? state : "live",
            ...(seen === undefined ? {} : { lastSeenAt: seen.seenAt }),
            draining,
            inFlight: Math.max(seen?.report?.inFlight ?? 0, surveyed ?? 0),
            engineReported: engine !== undefined,
            models: engine?.models ?? [],
            adapters: engine?.adapters ?? [],
            version: engine?.version ?? "",
            role: engine?.role ?? "any",
        };
    }
}
