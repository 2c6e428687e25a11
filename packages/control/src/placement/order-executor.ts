import type { Configuration } from "@lentilramp/configuration";
import type { EngineOrder, InstanceOrder, PlacementOrder, PlacementPlanner, StartOrder } from "@lentilramp/placement";
import { PlatformError } from "@lentilramp/protocol";
import type { Clock, EventLog } from "@lentilramp/runtime";
import type { CommandProposer } from "../command-proposer.ts";
import type { FleetObserver } from "./fleet-observer.ts";
import type { PlacementLease } from "./placement-lease.ts";
import type { EngineClient, PlatformClient } from "./platform-client.ts";

/** HTTP status of the cloud API when it has no capacity. */
const noCapacityStatus = 409;
const listTimeoutMs = 1_000;

/** Executes the orders of the planner, each one only while the lease is valid. */
export class OrderExecutor {
    /**
     * Draining instances that are not endpoints of the configuration. They receive no requests, so their drain is not
     * committed to the replicated state.
     */
    readonly drainedNonEndpoints = new Set<string>();

    constructor(
        private readonly planner: PlacementPlanner,
        private readonly lease: PlacementLease,
        private readonly proposer: Pick<CommandProposer, "propose">,
        private readonly platform: PlatformClient,
        private readonly engineClient: EngineClient,
        private readonly observer: FleetObserver,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    /** Executes orders in sequence. A failed order does not block the others; the next plan contains it again. */
    async executeAll(configuration: Configuration, orders: readonly PlacementOrder[]): Promise<void> {
        const startedInstances = new Map<string, string>();
        for (const order of orders) {
            if (this.lease.fencingAt(this.clock.now()) !== order.fencing) {
                return;
            }
            await this.execute(configuration, order, startedInstances).catch((err: unknown) =>
                this.log.warn("placement.order-failed", {
                    kind: order.kind,
                    operation: order.operationId,
                    error: String(err),
                })
            );
        }
        await this.reportGoneInstances(startedInstances);
    }

    private async execute(
        cfg: Configuration,
        order: PlacementOrder,
        startedInstances: Map<string, string>,
    ): Promise<void> {
        switch (order.kind) {
            case "start":
                return await this.start(order, startedInstances);
            case "drain":
                return await this.drain(cfg, order);
            case "stop": {
                const deadline = this.lease.cloudOrderDeadline(order.fencing);
                if (deadline !== undefined) {
                    await this.platform.stop(order.instanceId, deadline);
                    this.drainedNonEndpoints.delete(order.instanceId);
                    this.log.info("placement.stopped", { instance: order.instanceId });
                }
                return;
            }
            default:
                return await this.orderEngine(cfg, order);
        }
    }

    private async start(order: StartOrder, startedInstances: Map<string, string>): Promise<void> {
        const { failureDomain, machineClass, market } = order;
        const deadline = this.lease.cloudOrderDeadline(order.fencing);
        if (deadline === undefined) {
            return;
        }
        try {
            const { id } = await this.platform.start(order, deadline);
            startedInstances.set(order.operationId, id);
            this.log.info("placement.started", { instance: id, failureDomain, machineClass, market });
        }
        catch (err) {
            if (!(err instanceof PlatformError) || err.status !== noCapacityStatus) {
                throw err;
            }
            this.planner.onStartRefused(failureDomain, market, this.clock.now());
            this.log.warn("placement.start-refused", { failureDomain, machineClass, market });
        }
    }

    private async drain(cfg: Configuration, { instanceId, operationId, reason }: InstanceOrder): Promise<void> {
        if (!cfg.endpoints.some(endpoint => endpoint.id === instanceId)) {
            this.drainedNonEndpoints.add(instanceId);
            return;
        }
        const result = await this.proposer.propose({
            type: "drain-endpoint",
            // The store keeps the result of each operation id. The version makes the id differ from that of a drain
            // that was refused before the endpoint was in the configuration.
            operationId: `${operationId}-${cfg.version}`,
            endpoint: instanceId,
        });
        if (!result.ok) {
            throw new Error(`cannot drain endpoint ${instanceId}: ${result.message}`);
        }
        this.log.info("placement.drained", { endpoint: instanceId, reason });
    }

    private async orderEngine(cfg: Configuration, order: EngineOrder): Promise<void> {
        const endpoint = cfg.endpoints.find(candidate => candidate.id === order.instanceId);
        const report = this.observer.reportOf(order.instanceId);
        if (endpoint === undefined || report === undefined) {
            return;
        }
        try {
            const deadline = await this.lease.issueEngineOrder(
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
            await this.engineClient.order(endpoint, order, report, deadline);
        }
        catch (err) {
            this.planner.onOrderFailed(order.operationId);
            throw err;
        }
        this.log.info("placement.ordered", { endpoint: endpoint.id, kind: order.kind, target: order.target });
    }

    /**
     * Reports started instances that are already gone. The cloud API still returns the gone instance for its operation
     * id, so the planner needs a new id to start a replacement.
     */
    private async reportGoneInstances(startedInstances: ReadonlyMap<string, string>): Promise<void> {
        if (startedInstances.size === 0) {
            return;
        }
        const deadline = this.clock.now() + listTimeoutMs;
        const listed = await this.platform.instances(deadline).catch(() => undefined);
        const existingIds = new Set(listed?.filter(({ state }) => state !== "gone").map(({ id }) => id));
        for (const [startOperationId, id] of listed === undefined ? [] : startedInstances) {
            if (!existingIds.has(id)) {
                this.planner.onStartedInstanceGone(startOperationId);
            }
        }
    }
}
