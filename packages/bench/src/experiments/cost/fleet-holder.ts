import {
    DutyLease,
    type InstancePrice,
    LinearCapacity,
    placementOptions,
    type PlacementOrder,
    PlacementPlanner,
    type StartOrder,
} from "@lentilramp/placement";
import type { RandomSource } from "@lentilramp/runtime";
import type { CloudFake } from "./cloud-fake.ts";
import type { CostSettings } from "./cost-settings.ts";

class PermanentLease extends DutyLease {
    override fencingAt(): number {
        return 1;
    }
}

/** Decides which instances to hold; the candidate and the baselines differ here only. */
export abstract class FleetHolder {
    abstract readonly name: string;
    abstract plan(cloud: CloudFake, slots: number, now: number): PlacementOrder[];
    onNotice(id: string): void {
        void id;
    }
    onRefused(order: StartOrder, now: number): void {
        void order;
        void now;
    }
    onSpent(order: StartOrder): void {
        void order;
    }
}

/** The planner of the product, with all prices or only some of them. */
export class PlannedHolder extends FleetHolder {
    private readonly planner: PlacementPlanner;

    constructor(
        readonly name: string,
        private readonly settings: CostSettings,
        costWeight: number,
        random: RandomSource,
        private readonly offered: (price: InstancePrice) => boolean = () => true,
    ) {
        super();
        const { weightStoreBytesPerSecond, stepBaseMs, stepPerRequestMs } = settings;
        this.planner = new PlacementPlanner(
            placementOptions.parse({ costWeight, weightStoreBytesPerSecond }),
            new LinearCapacity({}, { baseMs: stepBaseMs, perRequestMs: stepPerRequestMs }),
            new PermanentLease(),
            random,
        );
    }

    override plan(cloud: CloudFake, slots: number, now: number): PlacementOrder[] {
        const { tokenLatencyMs, modelBytes } = this.settings;
        return this.planner.plan(
            {
                slots,
                tokenLatencyMs,
                models: [{ name: "model", bytes: modelBytes, share: 1, adapters: [] }],
                roles: [],
            },
            cloud.prices(now).filter(this.offered),
            { instances: [...cloud.held.values()].map(({ instance }) => instance), pendingOrders: [] },
            now,
        );
    }

    override onNotice(id: string): void {
        this.planner.onReclaimNotice(id);
    }

    override onSpent(order: StartOrder): void {
        this.planner.onStartedInstanceGone(order.operationId);
    }

    override onRefused(order: StartOrder, now: number): void {
        this.planner.onStartRefused(order.failureDomain, order.market, now);
    }
}

/** Holds a constant number of instances, half on demand and half reclaimable, spread over the failure domains. */
export class FixedMixHolder extends FleetHolder {
    readonly name = "fixed mix";
    private starts = 0;

    constructor(private readonly instances: number) {
        super();
    }

    override plan(cloud: CloudFake): PlacementOrder[] {
        const held = [...cloud.held.values()].map(({ instance }) => instance);
        const orders: PlacementOrder[] = held
            .filter(instance => instance.engineReported && instance.models.length === 0)
            .map(instance => ({
                kind: "load-model",
                operationId: `load-${instance.id}`,
                fencing: 1,
                instanceId: instance.id,
                target: "model",
                bytes: 0,
            }));
        for (let i = 0; i < this.instances; i++) {
            const market = i % 2 === 0 ? "on-demand" : "reclaimable";
            const failureDomain = cloud.domains[i % cloud.domains.length] ?? "";
            const wanted = Array.from(Array(this.instances).keys()).filter(j =>
                j % 2 === i % 2 && cloud.domains[j % cloud.domains.length] === failureDomain
            ).length;
            const present = held.filter(instance =>
                instance.market === market && instance.failureDomain === failureDomain
            ).length
                + orders.filter(order =>
                    order.kind === "start" && order.market === market && order.failureDomain === failureDomain
                ).length;
            if (present < wanted) {
                orders.push({
                    kind: "start",
                    operationId: `start-${this.starts++}`,
                    fencing: 1,
                    failureDomain,
                    machineClass: "gpu-m",
                    market,
                });
            }
        }
        return orders;
    }
}
