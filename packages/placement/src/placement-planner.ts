import type { RandomSource } from "@lentilramp/runtime";
import type { CapacityModel } from "./capacity-model.ts";
import { CheapestClass, type ClassChoice } from "./class-choice.ts";
import { DailyShapeForecast, type DemandForecast } from "./demand-forecast.ts";
import { domainChanges } from "./domain-changes.ts";
import type { DutyLease } from "./duty-lease.ts";
import { InstanceLossDetector } from "./instance-loss-detector.ts";
import { HysteresisMarket, type MarketPolicy } from "./market-policy.ts";
import { operationId } from "./operation-id.ts";
import type { PlacementOptions } from "./options.ts";
import { ReclaimRate } from "./reclaim-rate.ts";
import { ProportionalRoles, type RoleAssignment } from "./role-assignment.ts";
import { SlidingMaximum } from "./sliding-maximum.ts";
import { DomainLossTolerantSpread, type DomainTarget, type SpreadPolicy } from "./spread-policy.ts";
import { StartOrderBuilder } from "./start-order-builder.ts";
import type { Demand, Fleet, FleetInstance, InstanceOrder, InstancePrice, Market, PlacementOrder } from "./types.ts";
import { SequentialWeightLoads, type WeightLoadSchedule } from "./weight-load-schedule.ts";
import { WeightStoreLimiter } from "./weight-store-limiter.ts";

/** Policies of the planner, each of which tests and experiments can replace. */
export interface PlacementPolicies {
    forecast: DemandForecast;
    market: MarketPolicy;
    classes: ClassChoice;
    spread: SpreadPolicy;
    weightLoads: WeightLoadSchedule;
    roles: RoleAssignment;
}

const byId = (a: FleetInstance, b: FleetInstance) => a.id < b.id ? -1 : 1;

/**
 * Decides which instances to run and which weights to load on them. `plan` is called with each observation of the
 * fleet. Its orders are the difference between the observed and the planned fleet, so that a new lease holder can
 * continue without state from its predecessor.
 */
export class PlacementPlanner {
    private readonly reclaimRate: ReclaimRate;
    private readonly lossDetector: InstanceLossDetector;
    private readonly startOrderBuilder = new StartOrderBuilder();
    private readonly weightStore: WeightStoreLimiter;
    private readonly policies: PlacementPolicies;
    private readonly instanceTargets = new Map<string, SlidingMaximum>();
    private readonly drainingSince = new Map<string, number>();
    private fencing: number | undefined;

    constructor(
        private readonly options: PlacementOptions,
        private readonly capacity: CapacityModel,
        private readonly lease: DutyLease,
        random: RandomSource,
        policies: Partial<PlacementPolicies> = {},
    ) {
        this.reclaimRate = new ReclaimRate(options);
        this.lossDetector = new InstanceLossDetector(options, this.reclaimRate);
        this.weightStore = new WeightStoreLimiter(options.weightStoreBytesPerSecond);
        this.policies = {
            forecast: new DailyShapeForecast(),
            market: new HysteresisMarket(options, this.reclaimRate, random),
            classes: new CheapestClass(options, capacity),
            spread: new DomainLossTolerantSpread(options),
            weightLoads: new SequentialWeightLoads(this.weightStore, options.startMs),
            roles: new ProportionalRoles(),
            ...policies,
        };
    }

    onReclaimNotice(instanceId: string): void {
        this.lossDetector.onReclaimNotice(instanceId);
    }

    onStartRefused(failureDomain: string, market: Market, now: number): void {
        this.policies.market.onStartRefused(failureDomain, market, now);
    }

    /** Records that an engine did not accept an order, so that a later plan contains the order again. */
    onOrderFailed(id: string): void {
        this.policies.weightLoads.onOrderFailed(id);
    }

    /** Records that the instance of this start order is already gone. */
    onStartedInstanceGone(id: string): void {
        this.startOrderBuilder.onInstanceGone(id);
    }

    /** Records the observation and returns the orders to give now; none without a valid lease. */
    plan(demand: Demand, prices: readonly InstancePrice[], fleet: Fleet, now: number): PlacementOrder[] {
        this.policies.forecast.observe(demand.slots, now);
        this.lossDetector.update(fleet.instances, now);
        const fencing = this.lease.fencingAt(now);
        if (fencing === undefined) {
            return [];
        }
        if (fencing !== this.fencing) {
            this.fencing = fencing;
            this.weightStore.addPendingTransfers(fleet.pendingOrders.reduce((sum, order) => sum + order.bytes, 0), now);
        }
        const serving = fleet.instances.filter(instance =>
            !instance.draining && !this.lossDetector.isLeaving(instance) && !this.lossDetector.isSilent(instance, now)
        );
        const orders = [
            ...this.drainOrders(fleet.instances, fencing, now),
            ...this.resizeOrders(demand, prices, fleet.instances, serving, fencing, now),
            ...this.stopOrders(fleet.instances, fencing, now),
            ...this.engineOrders(demand, fleet, serving, fencing, now),
        ];
        return orders;
    }

    private drainOrders(instances: readonly FleetInstance[], fencing: number, now: number): InstanceOrder[] {
        return instances.flatMap(instance => {
            const reason = this.lossDetector.isLeaving(instance)
                ? "notice"
                : this.lossDetector.isSilent(instance, now)
                ? "silent"
                : undefined;
            return instance.draining || reason === undefined
                ? []
                : [this.instanceOrder("drain", instance, reason, fencing)];
        });
    }

    /** Stops drained instances, which are never used again, when their requests have ended or `drainMs` has passed. */
    private stopOrders(instances: readonly FleetInstance[], fencing: number, now: number): InstanceOrder[] {
        const draining = instances.filter(instance => instance.draining && !this.lossDetector.isLeaving(instance));
        const drainingIds = new Set(draining.map(instance => instance.id));
        [...this.drainingSince.keys()].filter(id => !drainingIds.has(id)).forEach(id => this.drainingSince.delete(id));
        return draining.flatMap(instance => {
            const since = this.drainingSince.get(instance.id) ?? now;
            this.drainingSince.set(instance.id, since);
            const { minDrainMs, drainMs } = this.options;
            if (now - since < (instance.inFlight > 0 ? drainMs : minDrainMs)) {
                return [];
            }
            this.lossDetector.onStopOrdered(instance.id);
            return [this.instanceOrder("stop", instance, "surplus", fencing)];
        });
    }

    private resizeOrders(
        demand: Demand,
        prices: readonly InstancePrice[],
        allInstances: readonly FleetInstance[],
        serving: readonly FleetInstance[],
        fencing: number,
        now: number,
    ): PlacementOrder[] {
        const { market: marketPolicy, classes, spread, forecast } = this.policies;
        const domains = [...new Set(prices.map(price => price.failureDomain))].sort();
        const largestModelBytes = Math.max(0, ...demand.models.map(model => model.bytes));
        const leadMs = this.options.startMs + this.weightStore.transferMs(largestModelBytes);
        const chooseClass = (domain: string, market: Market) =>
            classes.choose(domain, market, prices, demand.tokenLatencyMs, now);
        const domainConditions = domains.map(failureDomain => {
            const members = serving.filter(instance => instance.failureDomain === failureDomain);
            const reclaimableInstances = members.filter(instance => instance.market === "reclaimable").length;
            this.reclaimRate.observe(failureDomain, reclaimableInstances, now);
            marketPolicy.update(failureDomain, now);
            const canStart = (market: Market) =>
                chooseClass(failureDomain, market) !== undefined && !marketPolicy.backsOff(failureDomain, market, now);
            return {
                failureDomain,
                members,
                canStart,
                usable: members.length > 0 || canStart("reclaimable") || canStart("on-demand"),
                inFallback: marketPolicy.inFallback(failureDomain),
                reclaimsPerInstanceHour: this.reclaimRate.reclaimsPerInstanceHour(failureDomain),
                slotsPerInstance:
                    (chooseClass(failureDomain, "reclaimable") ?? chooseClass(failureDomain, "on-demand"))?.slots
                        ?? 0,
            };
        });
        const targets = spread.targets(forecast.peakSlots(now, now + leadMs), domainConditions, leadMs);
        const pricePerSlot = (instance: FleetInstance) =>
            (prices.find(price =>
                price.failureDomain === instance.failureDomain && price.machineClass === instance.machineClass
                && price.market === instance.market
            )?.pricePerHour ?? 0) / Math.max(1, this.capacity.slots(instance.machineClass, demand.tokenLatencyMs));
        const plannedStarts: { failureDomain: string; machineClass: string; market: Market; }[] = [];
        const surplus: InstanceOrder[] = [];
        domainConditions.forEach((conditions, i) => {
            const target = this.delayShrink(targets[i], conditions.members.length, conditions.inFallback, now);
            const changes = domainChanges({ ...conditions, target, serving: conditions.members, pricePerSlot });
            for (const market of changes.starts) {
                const machineClass = chooseClass(conditions.failureDomain, market)?.machineClass ?? "";
                plannedStarts.push({ failureDomain: conditions.failureDomain, machineClass, market });
            }
            if (changes.surplus !== undefined) {
                surplus.push(this.instanceOrder("drain", changes.surplus, "surplus", fencing));
            }
        });
        const startLimit = this.maxStarts(serving, largestModelBytes);
        const ordinals = new Map<string, number>();
        const startOrders = plannedStarts.slice(0, startLimit).map(group => {
            const groupKey = JSON.stringify(group);
            const ordinal = ordinals.get(groupKey) ?? 0;
            ordinals.set(groupKey, ordinal + 1);
            return this.startOrderBuilder.build(group, allInstances, ordinal, fencing);
        });
        return [...startOrders, ...surplus];
    }

    /**
     * Returns the number of instances that may be started now. An instance that is ready before the weight store can
     * transfer weights to it causes cost without use.
     */
    private maxStarts(serving: readonly FleetInstance[], modelBytes: number): number {
        const awaitingWeights = serving.filter(instance =>
            instance.state === "starting" || instance.models.length === 0
        );
        const transferMs = this.weightStore.transferMs(modelBytes);
        const servableInstances = transferMs === 0
            ? Number.POSITIVE_INFINITY
            : Math.ceil(this.options.startMs / transferMs) + 1;
        return Math.max(0, servableInstances - awaitingWeights.length);
    }

    private delayShrink(
        target: DomainTarget | undefined,
        servingCount: number,
        inFallback: boolean,
        now: number,
    ): DomainTarget {
        if (target === undefined) {
            throw new Error("the spread policy returned no target for a failure domain");
        }
        let instanceTarget = this.instanceTargets.get(target.failureDomain);
        if (instanceTarget === undefined) {
            // A new lease holder has not observed the demand yet, so it keeps the existing instances for the hold time.
            instanceTarget = new SlidingMaximum(this.options.shrinkHoldMs);
            instanceTarget.update(servingCount, now);
            this.instanceTargets.set(target.failureDomain, instanceTarget);
        }
        const instances = instanceTarget.update(target.instances, now);
        return { ...target, instances, onDemandInstances: inFallback ? instances : target.onDemandInstances };
    }

    private engineOrders(
        demand: Demand,
        fleet: Fleet,
        serving: readonly FleetInstance[],
        fencing: number,
        now: number,
    ): PlacementOrder[] {
        const live = serving.filter(instance => instance.state === "live" && instance.engineReported)
            .sort(byId);
        const pendingIds = new Set(fleet.pendingOrders.map(order => order.operationId));
        const domains = [...new Set(live.map(instance => instance.failureDomain))];
        return [
            ...this.policies.weightLoads.nextOrders(demand, live, pendingIds, fencing, now),
            ...domains.flatMap(domain =>
                this.policies.roles.roleOrders(
                    demand.roles,
                    live.filter(instance => instance.failureDomain === domain),
                    fencing,
                )
            ),
        ];
    }

    private instanceOrder(
        kind: InstanceOrder["kind"],
        instance: FleetInstance,
        reason: InstanceOrder["reason"],
        fencing: number,
    ): InstanceOrder {
        return { kind, operationId: operationId(kind, instance.id), fencing, instanceId: instance.id, reason };
    }
}
