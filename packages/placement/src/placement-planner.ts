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

/** Policies of the planner; a test or an experiment replaces single ones. */
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
 * Decides which instances to hold and what to load on them. Call `plan` at each observation of the fleet. Its orders
 * are the difference to the observed fleet, so that a holder that takes over continues without knowledge of its
 * predecessor.
 */
export class PlacementPlanner {
    private readonly rate: ReclaimRate;
    private readonly watch: InstanceLossDetector;
    private readonly starts = new StartOrderBuilder();
    private readonly ledger: WeightStoreLimiter;
    private readonly policies: PlacementPolicies;
    private readonly held = new Map<string, SlidingMaximum>();
    private readonly drainingSince = new Map<string, number>();
    private fencing: number | undefined;

    constructor(
        private readonly options: PlacementOptions,
        private readonly capacity: CapacityModel,
        private readonly lease: DutyLease,
        random: RandomSource,
        policies: Partial<PlacementPolicies> = {},
    ) {
        this.rate = new ReclaimRate(options);
        this.watch = new InstanceLossDetector(options, this.rate);
        this.ledger = new WeightStoreLimiter(options.weightStoreBytesPerSecond);
        this.policies = {
            forecast: new DailyShapeForecast(),
            market: new HysteresisMarket(options, this.rate, random),
            classes: new CheapestClass(options, capacity),
            spread: new DomainLossTolerantSpread(options),
            weightLoads: new SequentialWeightLoads(this.ledger, options.startMs),
            roles: new ProportionalRoles(),
            ...policies,
        };
    }

    onReclaimNotice(instanceId: string): void {
        this.watch.onNotice(instanceId);
    }

    onStartRefused(failureDomain: string, market: Market, now: number): void {
        this.policies.market.onStartRefused(failureDomain, market, now);
    }

    /** An order to an engine was not accepted; a later plan contains it again. */
    onOrderFailed(id: string): void {
        this.policies.weightLoads.onOrderFailed(id);
    }

    /** The instance of this start order is already gone. */
    onStartedInstanceGone(id: string): void {
        this.starts.onSpent(id);
    }

    /** Learns from the observation and returns the orders to give now; none without a valid lease. */
    plan(demand: Demand, prices: readonly InstancePrice[], fleet: Fleet, now: number): PlacementOrder[] {
        this.policies.forecast.observe(demand.slots, now);
        this.watch.update(fleet.instances, now);
        const fencing = this.lease.fencingAt(now);
        if (fencing === undefined) {
            return [];
        }
        if (fencing !== this.fencing) {
            this.fencing = fencing;
            this.ledger.addPendingTransfers(fleet.pendingOrders.reduce((sum, order) => sum + order.bytes, 0), now);
        }
        const serving = fleet.instances.filter(instance =>
            !instance.draining && !this.watch.leaving(instance) && !this.watch.silent(instance, now)
        );
        const orders = [
            ...this.drains(fleet.instances, fencing, now),
            ...this.changes(demand, prices, fleet.instances, serving, fencing, now),
            ...this.stops(fleet.instances, fencing, now),
            ...this.engineOrders(demand, fleet, serving, fencing, now),
        ];
        return orders;
    }

    private drains(instances: readonly FleetInstance[], fencing: number, now: number): InstanceOrder[] {
        return instances.flatMap(instance => {
            const reason = this.watch.leaving(instance)
                ? "notice"
                : this.watch.silent(instance, now)
                ? "silent"
                : undefined;
            return instance.draining || reason === undefined
                ? []
                : [this.instanceOrder("drain", instance, reason, fencing)];
        });
    }

    /** Instances that were drained are never used again, so they are stopped when their work has ended. */
    private stops(instances: readonly FleetInstance[], fencing: number, now: number): InstanceOrder[] {
        const draining = instances.filter(instance => instance.draining && !this.watch.leaving(instance));
        const ids = new Set(draining.map(instance => instance.id));
        [...this.drainingSince.keys()].filter(id => !ids.has(id)).forEach(id => this.drainingSince.delete(id));
        return draining.flatMap(instance => {
            const since = this.drainingSince.get(instance.id) ?? now;
            this.drainingSince.set(instance.id, since);
            const { minDrainMs, drainMs } = this.options;
            if (now - since < (instance.inFlight > 0 ? drainMs : minDrainMs)) {
                return [];
            }
            this.watch.onStopped(instance.id);
            return [this.instanceOrder("stop", instance, "surplus", fencing)];
        });
    }

    private changes(
        demand: Demand,
        prices: readonly InstancePrice[],
        all: readonly FleetInstance[],
        serving: readonly FleetInstance[],
        fencing: number,
        now: number,
    ): PlacementOrder[] {
        const { market, classes, spread, forecast } = this.policies;
        const domains = [...new Set(prices.map(price => price.failureDomain))].sort();
        const largest = Math.max(0, ...demand.models.map(model => model.bytes));
        const leadMs = this.options.startMs + this.ledger.transferMs(largest);
        const choice = (domain: string, kind: Market) =>
            classes.choose(domain, kind, prices, demand.tokenLatencyMs, now);
        const situations = domains.map(failureDomain => {
            const members = serving.filter(instance => instance.failureDomain === failureDomain);
            const held = members.filter(instance => instance.market === "reclaimable").length;
            this.rate.observe(failureDomain, held, now);
            market.update(failureDomain, now);
            const canStart = (kind: Market) =>
                choice(failureDomain, kind) !== undefined && !market.backsOff(failureDomain, kind, now);
            return {
                failureDomain,
                members,
                canStart,
                usable: members.length > 0 || canStart("reclaimable") || canStart("on-demand"),
                inFallback: market.inFallback(failureDomain),
                reclaimsPerInstanceHour: this.rate.reclaimsPerInstanceHour(failureDomain),
                slotsPerInstance: (choice(failureDomain, "reclaimable") ?? choice(failureDomain, "on-demand"))?.slots
                    ?? 0,
            };
        });
        const targets = spread.targets(forecast.peak(now, now + leadMs), situations, leadMs);
        const pricePerSlot = (instance: FleetInstance) =>
            (prices.find(price =>
                price.failureDomain === instance.failureDomain && price.machineClass === instance.machineClass
                && price.market === instance.market
            )?.pricePerHour ?? 0) / Math.max(1, this.capacity.slots(instance.machineClass, demand.tokenLatencyMs));
        const starts: { failureDomain: string; machineClass: string; market: Market; }[] = [];
        const surplus: InstanceOrder[] = [];
        situations.forEach((situation, i) => {
            const target = this.hold(targets[i], situation.members.length, situation.inFallback, now);
            const changes = domainChanges({ ...situation, target, serving: situation.members, pricePerSlot });
            for (const kind of changes.starts) {
                const machineClass = choice(situation.failureDomain, kind)?.machineClass ?? "";
                starts.push({ failureDomain: situation.failureDomain, machineClass, market: kind });
            }
            if (changes.surplus !== undefined) {
                surplus.push(this.instanceOrder("drain", changes.surplus, "surplus", fencing));
            }
        });
        const allowed = this.startsAllowed(serving, largest);
        const ordinals = new Map<string, number>();
        const startOrders = starts.slice(0, allowed).map(cell => {
            const name = JSON.stringify(cell);
            const ordinal = ordinals.get(name) ?? 0;
            ordinals.set(name, ordinal + 1);
            return this.starts.build(cell, all, ordinal, fencing);
        });
        return [...startOrders, ...surplus];
    }

    /** An instance that is ready before the weight store can serve it only costs money. */
    private startsAllowed(serving: readonly FleetInstance[], bytes: number): number {
        const waiting = serving.filter(instance => instance.state === "starting" || instance.models.length === 0);
        const transferMs = this.ledger.transferMs(bytes);
        const served = transferMs === 0 ? Number.POSITIVE_INFINITY : Math.ceil(this.options.startMs / transferMs) + 1;
        return Math.max(0, served - waiting.length);
    }

    private hold(target: DomainTarget | undefined, present: number, inFallback: boolean, now: number): DomainTarget {
        if (target === undefined) {
            throw new Error("the spread policy gave no target for a failure domain");
        }
        let held = this.held.get(target.failureDomain);
        if (held === undefined) {
            // A new holder has seen no demand yet, so it keeps what its predecessor held for the hold time.
            held = new SlidingMaximum(this.options.shrinkHoldMs);
            held.update(present, now);
            this.held.set(target.failureDomain, held);
        }
        const instances = held.update(target.instances, now);
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
        const known = new Set(fleet.pendingOrders.map(order => order.operationId));
        const domains = [...new Set(live.map(instance => instance.failureDomain))];
        return [
            ...this.policies.weightLoads.nextOrders(demand, live, known, fencing, now),
            ...domains.flatMap(domain =>
                this.policies.roles.changes(
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
