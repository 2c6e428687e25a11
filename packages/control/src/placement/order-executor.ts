import type { Configuration } from "@lentilramp/configuration";
import type { EngineOrder, InstanceOrder, PlacementOrder, PlacementPlanner, StartOrder } from "@lentilramp/placement";
import { PlatformError } from "@lentilramp/protocol";
import type { Clock, EventLog } from "@lentilramp/runtime";
import type { CommandProposer } from "../command-proposer.ts";
import type { FleetObserver } from "./fleet-observer.ts";
import type { PlacementLease } from "./placement-lease.ts";
import type { EngineClient, PlatformClient } from "./platform-client.ts";

const noCapacity = 409;

/** Carries out the orders of the planner, each only while the lease is valid. */
export class OrderExecutor {
    /** Instances that are no endpoint of the configuration get no work, so they need no committed drain. */
    readonly drainedOutside = new Set<string>();

    constructor(
        private readonly planner: PlacementPlanner,
        private readonly lease: PlacementLease,
        private readonly proposer: Pick<CommandProposer, "propose">,
        private readonly platform: PlatformClient,
        private readonly engines: EngineClient,
        private readonly observer: FleetObserver,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    /** A failed order does not keep the others from being sent; the next plan contains it again. */
    async run(configuration: Configuration, orders: readonly PlacementOrder[]): Promise<void> {
        const started = new Map<string, string>();
        for (const order of orders) {
            if (this.lease.fencingAt(this.clock.now()) !== order.fencing) {
                return;
            }
            await this.execute(configuration, order, started).catch((err: unknown) =>
                this.log.warn("placement.order-failed", {
                    kind: order.kind,
                    operation: order.operationId,
                    error: String(err),
                })
            );
        }
        await this.reportSpent(started);
    }

    private async execute(cfg: Configuration, order: PlacementOrder, started: Map<string, string>): Promise<void> {
        switch (order.kind) {
            case "start":
                return await this.start(order, started);
            case "drain":
                return await this.drain(cfg, order);
            case "stop": {
                const deadline = this.lease.permit(order.fencing);
                if (deadline !== undefined) {
                    await this.platform.stop(order.instanceId, deadline);
                    this.drainedOutside.delete(order.instanceId);
                    this.log.info("placement.stopped", { instance: order.instanceId });
                }
                return;
            }
            default:
                return await this.orderEngine(cfg, order);
        }
    }

    private async start(order: StartOrder, started: Map<string, string>): Promise<void> {
        const { failureDomain, machineClass, market } = order;
        const deadline = this.lease.permit(order.fencing);
        if (deadline === undefined) {
            return;
        }
        try {
            const { id } = await this.platform.start(order, deadline);
            started.set(order.operationId, id);
            this.log.info("placement.started", { instance: id, failureDomain, machineClass, market });
        }
        catch (err) {
            if (!(err instanceof PlatformError) || err.status !== noCapacity) {
                throw err;
            }
            this.planner.onStartRefused(failureDomain, market, this.clock.now());
            this.log.warn("placement.start-refused", { failureDomain, machineClass, market });
        }
    }

    private async drain(cfg: Configuration, { instanceId, operationId, reason }: InstanceOrder): Promise<void> {
        if (!cfg.endpoints.some(endpoint => endpoint.id === instanceId)) {
            this.drainedOutside.add(instanceId);
            return;
        }
        const result = await this.proposer.propose({
            type: "drain-endpoint",
            // Results are kept; with the version, a refusal from before the endpoint was listed is not given again.
            operationId: `${operationId}-${cfg.version}`,
            endpoint: instanceId,
        });
        if (!result.ok) {
            throw new Error(`drain refused: ${result.message}`);
        }
        this.log.info("placement.drained", { endpoint: instanceId, reason });
    }

    private async orderEngine(cfg: Configuration, order: EngineOrder): Promise<void> {
        const endpoint = cfg.endpoints.find(candidate => candidate.id === order.instanceId);
        const report = this.observer.report(order.instanceId);
        if (endpoint === undefined || report === undefined) {
            return;
        }
        try {
            const deadline = await this.lease.issue(
                cfg.region,
                order,
                endpoint.id,
                order.kind,
                endpoint.checksFencing,
            );
            if (deadline === undefined) {
                this.planner.onOrderFailed(order.operationId);
                return;
            }
            await this.engines.order(endpoint, order, report, deadline);
        }
        catch (err) {
            this.planner.onOrderFailed(order.operationId);
            throw err;
        }
        this.log.info("placement.ordered", { endpoint: endpoint.id, kind: order.kind, target: order.target });
    }

    /** The cloud API answers a known operation id also when its instance is gone; the planner then needs another id. */
    private async reportSpent(started: ReadonlyMap<string, string>): Promise<void> {
        if (started.size === 0) {
            return;
        }
        const deadline = this.clock.now() + 1_000;
        const listed = await this.platform.instances(deadline).catch(() => undefined);
        const ids = new Set(listed?.filter(({ state }) => state !== "gone").map(({ id }) => id));
        for (const [operation, id] of listed === undefined ? [] : started) {
            if (!ids.has(id)) {
                this.planner.onStartedInstanceGone(operation);
            }
        }
    }
}
