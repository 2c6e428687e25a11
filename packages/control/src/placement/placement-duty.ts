import {
    type InstancePrice,
    LinearCapacity,
    type PlacementOptions,
    placementOptions,
    PlacementPlanner,
    type StepTime,
} from "@lentilramp/placement";
import { JsonClient } from "@lentilramp/protocol";
import { type Clock, type EventLog, PeriodicComponent, type RandomSource } from "@lentilramp/runtime";
import type { CommandProposer } from "../command-proposer.ts";
import type { InFlightCounter } from "../in-flight-counter.ts";
import type { ReplicatedConfiguration } from "../replicated-configuration.ts";
import { FleetObserver } from "./fleet-observer.ts";
import { OrderExecutor } from "./order-executor.ts";
import { PlacementLease } from "./placement-lease.ts";
import { EngineClient, PlatformClient } from "./platform-client.ts";

const intervalMs = 500;
const pollMs = 1_000;
/** Step time of an engine; 20 ms and 1.5 ms a request give 34 slots at the promised 71 ms. */
const defaultStep: StepTime = { baseMs: 20, perRequestMs: 1.5 };

export interface PlacementDutyDependencies {
    /** Identity of this process, the holder of the lease. */
    holder: string;
    replicatedConfiguration: Pick<ReplicatedConfiguration, "store" | "readyTerm">;
    proposer: Pick<CommandProposer, "propose">;
    inFlightCounter: Pick<InFlightCounter, "count">;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
}

export interface PlacementDutySettings {
    cloudUrl: string;
    weightStoreUrl?: string | undefined;
    /** `costWeight` is taken from the configuration. */
    options?: Partial<PlacementOptions>;
}

/** Placement at the leader of the control group, under the duty lease `placement`. */
export class PlacementDuty extends PeriodicComponent {
    readonly name = "placement-duty";
    private readonly client: JsonClient;
    private readonly platform: PlatformClient;
    private readonly lease: PlacementLease;
    private readonly engines: EngineClient;
    private readonly observer: FleetObserver;
    private planning: { key: string; planner: PlacementPlanner; executor: OrderExecutor; } | undefined;
    private prices: readonly InstancePrice[] = [];
    private sizes: ReadonlyMap<string, number> = new Map();
    private fencing: number | undefined;
    private lastNotice = 0;

    constructor(
        private readonly settings: PlacementDutySettings,
        private readonly dependencies: PlacementDutyDependencies,
    ) {
        super(dependencies.clock, intervalMs);
        const { clock, holder, proposer, inFlightCounter } = dependencies;
        this.client = new JsonClient(clock);
        this.platform = new PlatformClient(this.client, settings.cloudUrl, settings.weightStoreUrl);
        this.lease = new PlacementLease(holder, proposer, clock);
        this.engines = new EngineClient(this.client, () => clock.now());
        this.observer = new FleetObserver(this.engines, inFlightCounter, clock);
    }

    override async close(): Promise<void> {
        await super.close();
        this.client.close();
    }

    /** One round: hold the lease, observe, plan, give orders. Does nothing at a process that does not lead. */
    async runRound(): Promise<void> {
        const { replicatedConfiguration, clock } = this.dependencies;
        const { configuration } = replicatedConfiguration.store;
        if (replicatedConfiguration.readyTerm === undefined || configuration.version === 0) {
            this.planning = undefined;
            return;
        }
        await this.lease.hold(configuration.region);
        const fencing = this.lease.fencingAt(clock.now());
        if (fencing === undefined) {
            return;
        }
        this.reportFencing(fencing);
        const { planner, executor } = this.plannerFor(configuration.costWeight);
        const deadline = clock.now() + pollMs;
        const [listed, notices] = await Promise.all([
            this.platform.instances(deadline),
            this.platform.notices(this.lastNotice, deadline),
            this.refresh(deadline),
            this.observer.poll(configuration, deadline),
        ]);
        for (const notice of notices) {
            planner.onReclaimNotice(notice.instanceId);
            this.lastNotice = Math.max(this.lastNotice, notice.sequence);
        }
        const fleet = await this.observer.fleet(configuration, listed, this.sizes);
        const classes = this.observer.machineClasses(configuration);
        const instances = fleet.instances.map(instance => ({
            ...instance,
            draining: instance.draining || executor.drainedOutside.has(instance.id),
        }));
        const orders = planner.plan(
            this.observer.demand(configuration, this.sizes),
            this.prices.filter(price => classes.has(price.machineClass)),
            { ...fleet, instances },
            clock.now(),
        );
        await executor.run(configuration, orders);
    }

    /** Prices and sizes change slowly: a failure to read them must not delay a drain. */
    private async refresh(deadline: number): Promise<void> {
        const failed = (source: string) => (err: unknown): undefined => {
            this.dependencies.log.warn("placement.source-failed", { source, error: String(err) });
            return undefined;
        };
        const [prices, sizes] = await Promise.all([
            this.platform.prices(deadline).catch(failed("prices")),
            this.platform.weights(deadline).catch(failed("weight-store")),
        ]);
        this.prices = prices ?? this.prices;
        this.sizes = sizes ?? this.sizes;
    }

    private reportFencing(fencing: number): void {
        if (fencing !== this.fencing) {
            this.fencing = fencing;
            this.dependencies.log.info("placement.duty-acquired", { fencing });
        }
    }

    protected override async runOnce(): Promise<void> {
        await this.runRound();
    }

    protected override onFailure(err: unknown): void {
        this.dependencies.log.warn("placement.round-failed", { error: String(err) });
    }

    /** What was learned is dropped when the process stops leading or the cost weight changes. */
    private plannerFor(costWeight: number) {
        const key = String(costWeight);
        if (this.planning?.key === key) {
            return this.planning;
        }
        const { proposer, clock, random, log } = this.dependencies;
        const options = placementOptions.parse({ ...this.settings.options, costWeight });
        const capacity = new LinearCapacity({}, defaultStep);
        const planner = new PlacementPlanner(options, capacity, this.lease, random);
        const { lease, platform, engines, observer } = this;
        const executor = new OrderExecutor(planner, lease, proposer, platform, engines, observer, clock, log);
        this.lastNotice = 0;
        this.planning = { key, planner, executor };
        return this.planning;
    }
}
