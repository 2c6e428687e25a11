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

const roundIntervalMs = 500;
const pollTimeoutMs = 1_000;
/** Step time of an engine: 20 ms plus 1.5 ms per request gives 34 slots at a token latency of 71 ms. */
const defaultStepTime: StepTime = { baseMs: 20, perRequestMs: 1.5 };

export interface PlacementDutyDependencies {
    /** Identity of this process, under which it holds the lease. */
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
    /** Overrides of the planner options; `costWeight` always comes from the configuration. */
    options?: Partial<PlacementOptions>;
}

/** Runs placement at the leader of the control group while it holds the duty lease `placement`. */
export class PlacementDuty extends PeriodicComponent {
    readonly name = "placement-duty";
    private readonly jsonClient: JsonClient;
    private readonly platform: PlatformClient;
    private readonly lease: PlacementLease;
    private readonly engineClient: EngineClient;
    private readonly observer: FleetObserver;
    private planning: { key: string; planner: PlacementPlanner; executor: OrderExecutor; } | undefined;
    private prices: readonly InstancePrice[] = [];
    private weightBytes: ReadonlyMap<string, number> = new Map();
    private reportedFencing: number | undefined;
    private lastNoticeSequence = 0;

    constructor(
        private readonly settings: PlacementDutySettings,
        private readonly dependencies: PlacementDutyDependencies,
    ) {
        super(dependencies.clock, roundIntervalMs);
        const { clock, holder, proposer, inFlightCounter } = dependencies;
        this.jsonClient = new JsonClient(clock);
        this.platform = new PlatformClient(this.jsonClient, settings.cloudUrl, settings.weightStoreUrl);
        this.lease = new PlacementLease(holder, proposer, clock);
        this.engineClient = new EngineClient(this.jsonClient, () => clock.now());
        this.observer = new FleetObserver(this.engineClient, inFlightCounter, clock);
    }

    override async close(): Promise<void> {
        await super.close();
        this.jsonClient.close();
    }

    /**
     * Runs one round: acquires or renews the lease, observes the fleet, plans, and executes the orders. Gives no orders
     * if this process is not the leader, no configuration is committed or the lease is not held.
     */
    async runRound(): Promise<void> {
        const { replicatedConfiguration, clock } = this.dependencies;
        const { configuration } = replicatedConfiguration.store;
        if (replicatedConfiguration.readyTerm === undefined || configuration.version === 0) {
            this.planning = undefined;
            return;
        }
        await this.lease.acquireOrRenew(configuration.region);
        const fencing = this.lease.fencingAt(clock.now());
        if (fencing === undefined) {
            return;
        }
        this.reportFencing(fencing);
        const { planner, executor } = this.planningFor(configuration.costWeight);
        const deadline = clock.now() + pollTimeoutMs;
        const [listed, notices] = await Promise.all([
            this.platform.instances(deadline),
            this.platform.notices(this.lastNoticeSequence, deadline),
            this.refreshPricesAndWeights(deadline),
            this.observer.poll(configuration, deadline),
        ]);
        for (const notice of notices) {
            planner.onReclaimNotice(notice.instanceId);
            this.lastNoticeSequence = Math.max(this.lastNoticeSequence, notice.sequence);
        }
        const fleet = await this.observer.buildFleet(configuration, listed, this.weightBytes);
        const classes = this.observer.machineClasses(configuration);
        const instances = fleet.instances.map(instance => ({
            ...instance,
            draining: instance.draining || executor.drainedNonEndpoints.has(instance.id),
        }));
        const orders = planner.plan(
            this.observer.buildDemand(configuration, this.weightBytes),
            this.prices.filter(price => classes.has(price.machineClass)),
            { ...fleet, instances },
            clock.now(),
        );
        await executor.executeAll(configuration, orders);
    }

    /**
     * Reads prices and weight sizes. They change slowly, so after a failure the last values stay in use and drains are
     * not delayed.
     */
    private async refreshPricesAndWeights(deadline: number): Promise<void> {
        const logFailure = (source: string) => (err: unknown): undefined => {
            this.dependencies.log.warn("placement.source-failed", { source, error: String(err) });
            return undefined;
        };
        const [prices, weightBytes] = await Promise.all([
            this.platform.prices(deadline).catch(logFailure("prices")),
            this.platform.weightBytes(deadline).catch(logFailure("weight-store")),
        ]);
        this.prices = prices ?? this.prices;
        this.weightBytes = weightBytes ?? this.weightBytes;
    }

    private reportFencing(fencing: number): void {
        if (fencing !== this.reportedFencing) {
            this.reportedFencing = fencing;
            this.dependencies.log.info("placement.duty-acquired", { fencing });
        }
    }

    protected override async runOnce(): Promise<void> {
        await this.runRound();
    }

    protected override onFailure(err: unknown): void {
        this.dependencies.log.warn("placement.round-failed", { error: String(err) });
    }

    /**
     * Returns the planner and its executor. New ones, without history, are created when the cost weight changes and
     * when this process leads again after it stopped leading.
     */
    private planningFor(costWeight: number) {
        const key = String(costWeight);
        if (this.planning?.key === key) {
            return this.planning;
        }
        const { proposer, clock, random, log } = this.dependencies;
        const options = placementOptions.parse({ ...this.settings.options, costWeight });
        const capacity = new LinearCapacity({}, defaultStepTime);
        const planner = new PlacementPlanner(options, capacity, this.lease, random);
        const { lease, platform, engineClient, observer } = this;
        const executor = new OrderExecutor(planner, lease, proposer, platform, engineClient, observer, clock, log);
        this.lastNoticeSequence = 0;
        this.planning = { key, planner, executor };
        return this.planning;
    }
}
