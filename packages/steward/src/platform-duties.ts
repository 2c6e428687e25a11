import type { Catalog } from "@lentilramp/catalog";
import { engineSpeedDefaults } from "@lentilramp/dispatch";
import type { EndpointSource } from "@lentilramp/exchange";
import {
    type Endpoint,
    endpointsOfKnownVersions,
    noDemand,
    ReplicaPlanner,
    updateVersionHistory,
    type VersionHistory,
} from "@lentilramp/fleet";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";
import { attemptLives } from "./attempt-lives.ts";
import type { DutyCalls, DutyHolder } from "./duty-calls.ts";
import { DutyLease } from "./duty-lease.ts";
import type { FleetCoordinator } from "./fleet-coordinator.ts";
import { lowersRollout } from "./rollout-replicas.ts";
import { errorMessage, type StewardCore } from "./steward-core.ts";
import type { StewardOptions } from "./steward-options.ts";
import type { UsageReport } from "./steward-state.ts";

const tickMs = 200;
/**
 * Interval between two reads of the list of endpoints, in milliseconds. Together with a sync interval it is well below
 * the time within which requests must stop going to a leaving endpoint.
 */
const listReadIntervalMs = 450;
const listReadTimeoutMs = 1_000;
/** Time for which a list waits until its new versions are recorded, in milliseconds; it goes out without them then. */
const recordWaitMs = 300;
/** Time after the end of a usage window until the counts of the ingresses are complete, in milliseconds. */
const usageSettleMs = 3_000;
/** Time after assuming the duties until a decrease in the number of ingresses is recorded, in milliseconds. */
const membersSettleMs = 5_000;
/** Interval between two replica plans, in milliseconds. */
const planIntervalMs = 400;
/** Smallest relative change of a service's measured prompt speed that is recorded. */
const minRateChange = 0.15;
/** Factor between the terms in list numbers, so that lists of a later leader have higher numbers. */
const listNumbersPerTerm = 1_000_000;
/** Number of windows for which a sent report stays recorded after it is no longer due. */
const retainedReportedWindows = 10;

/** Performs the duties of the leader: reads the list of endpoints, reports usage, and orders replicas. */
export class PlatformDuties extends PeriodicComponent {
    readonly name = "platform-duties";
    private readonly lease: DutyLease;
    private readonly planners = new Map<string, ReplicaPlanner>();
    private readonly reportedWindows = new Set<number>();
    /** Term, fencing number and instants of the duties that this steward assumed last. */
    private assignment: { term: number; fence: number; assumedAt: number; earliestActionAt: number; } | undefined;
    private assumingDuties = false;
    private listReadAt = -Infinity;
    private listNumber = 0;
    private listReadFailed = false;
    /** Term in which the versions were last updated from the list. */
    private versionsTerm: number | undefined;
    private recordedVersions: VersionHistory | undefined;
    private lastPlanAt = -Infinity;
    /** Services of which the last plan kept replicas until their replacements are ready. */
    private readonly holdingServices = new Set<string>();
    private readonly runningDuties = new Set<string>();

    constructor(
        private readonly core: StewardCore,
        private readonly coordinator: FleetCoordinator,
        private readonly source: EndpointSource,
        private readonly calls: DutyCalls,
        private readonly catalog: () => Catalog | undefined,
        private readonly options: StewardOptions,
        clock: Clock,
        private readonly log: EventLog,
    ) {
        super(clock, tickMs);
        this.lease = new DutyLease(options.dutyLeaseMs, clock.now());
    }

    /** Whether this steward has assumed the duties in the current term. */
    get holdsDuties(): boolean {
        return this.core.state.isLeader && this.assignment?.term === this.core.state.currentTerm;
    }

    /** Handles a change of leadership; assumes the duties without waiting for the next tick. */
    onLeadership(leads: boolean): void {
        if (leads) {
            void this.assumeDuties();
        }
        else if (this.assignment !== undefined) {
            this.log.info("duty.lost", { fence: this.assignment.fence });
            this.assignment = undefined;
        }
    }

    protected override async runOnce(): Promise<void> {
        if (!this.core.state.isLeader) {
            return;
        }
        if (!this.holdsDuties) {
            await this.assumeDuties();
            return;
        }
        this.coordinator.medianClock.observe(this.options.name, Date.now(), this.clock.now());
        this.runExclusively("list", () => this.readList());
        this.runExclusively("members", () => this.recordMembers());
        this.runExclusively("engine-rates", () => this.recordEngineRates());
        this.runExclusively("versions", () => this.recordVersions());
        const { assignment } = this;
        if (assignment === undefined || this.clock.now() < assignment.earliestActionAt) {
            return;
        }
        const holder = { name: this.options.name, fence: assignment.fence };
        if (this.options.reportsUsage) {
            this.runExclusively("usage", () => this.reportUsage(holder));
        }
        if (this.options.ordersReplicas) {
            this.runExclusively("replicas", () => this.orderReplicas(holder));
        }
    }

    protected override onFailure(err: unknown): void {
        this.log.info("duty.not-done", { reason: errorMessage(err) });
    }

    /** Runs a duty unless its previous run is still in progress, so that a slow call delays only duties of its kind. */
    private runExclusively(kind: string, run: () => Promise<void>): void {
        if (this.runningDuties.has(kind)) {
            return;
        }
        this.runningDuties.add(kind);
        run().catch((err: unknown) => this.onFailure(err)).finally(() => this.runningDuties.delete(kind));
    }

    private async assumeDuties(): Promise<void> {
        if (this.assumingDuties) {
            return;
        }
        this.assumingDuties = true;
        try {
            const term = this.core.state.currentTerm;
            // The result names the holder before this entry, which is final only once all earlier entries are applied.
            const { fence, previousHolder, heldBefore = true } = await this.core.propose({
                type: "office",
                holder: this.options.name,
            });
            const assumedAt = this.clock.now();
            const earliestActionAt = this.lease.earliestActionAt(
                assumedAt,
                { previousHolder, heldBefore },
                this.options.name,
            );
            this.assignment = { term, fence, assumedAt, earliestActionAt };
            this.planners.forEach(planner => planner.takeOver());
            // Otherwise the first roster would omit all ingresses that could not sync while there was no leader.
            this.coordinator.roster.renewAll(assumedAt);
            this.log.info("duty.taken", {
                fence,
                term,
                previous: previousHolder,
                waitMs: Math.round(earliestActionAt - assumedAt),
            });
        }
        catch (err) {
            this.log.info("duty.not-taken", { reason: errorMessage(err) });
        }
        finally {
            this.assumingDuties = false;
        }
    }

    /** Whether the holder may make a call, given a proof of leadership that began at `proofStartedAt`. */
    private mayCall(proofStartedAt: number, holder: DutyHolder): boolean {
        const allowed = this.holdsDuties && this.assignment?.fence === holder.fence
            && this.lease.isProofFresh(proofStartedAt, this.clock.now());
        if (!allowed) {
            this.log.info("duty.call-withheld", {
                fence: holder.fence,
                proofAgeMs: Math.round(this.clock.now() - proofStartedAt),
            });
        }
        return allowed;
    }

    private async readList(): Promise<void> {
        const now = this.clock.now();
        if (now - this.listReadAt < listReadIntervalMs) {
            return;
        }
        this.listReadAt = now;
        try {
            const read = await this.source.read(now + listReadTimeoutMs);
            const term = this.core.state.currentTerm;
            this.updateVersions(read);
            const endpoints = await this.recordedEndpoints(read);
            if (!this.holdsDuties || this.core.state.currentTerm !== term) {
                return;
            }
            const number = term * listNumbersPerTerm + ++this.listNumber;
            const changed = this.coordinator.updateEndpointList(endpoints, now, number);
            if (changed || this.listReadFailed) {
                this.log.info("endpoints.list", {
                    number,
                    endpoints: endpoints.length,
                    ready: endpoints.filter(endpoint => endpoint.ready).length,
                });
            }
            this.listReadFailed = false;
        }
        catch (err) {
            if (!this.listReadFailed) {
                this.log.warn("endpoints.list-lost", { reason: errorMessage(err) });
            }
            this.listReadFailed = true;
        }
    }

    /**
     * Returns the endpoints whose versions are recorded in the replicated state, after an attempt to record new ones. The
     * list of the next leader may be older than this one, so that it has to know of each version that ingresses may use.
     */
    private async recordedEndpoints(endpoints: readonly Endpoint[]): Promise<readonly Endpoint[]> {
        const { core, clock } = this;
        const recorded = (): readonly Endpoint[] => endpointsOfKnownVersions(core.state.versions, endpoints);
        if (recorded().length < endpoints.length) {
            await Promise.race([
                this.recordVersions().catch((err: unknown) => this.onFailure(err)),
                clock.sleepUntil(clock.now() + recordWaitMs),
            ]);
        }
        return recorded();
    }

    /** Takes note of the versions in a list before ingresses get it. */
    private updateVersions(endpoints: readonly Endpoint[]): void {
        const { core, coordinator, clock } = this;
        const now = coordinator.medianClock.timeOfDayMs(clock.now()) ?? Date.now();
        // Without a catalog, no stream has begun before.
        const first = { since: core.state.catalog === undefined ? 0 : now, isComplete: true, services: {} };
        const known = this.versionsTerm === core.state.currentTerm ? coordinator.versions : undefined;
        const before = known ?? core.state.versions ?? first;
        const lives = attemptLives(this.catalog());
        const lifeMs = (service: string): number => lives.get(service) ?? 0;
        coordinator.versions = updateVersionHistory(before, endpoints, lifeMs, now) ?? before;
        this.versionsTerm = core.state.currentTerm;
    }

    /** Records the versions in the replicated state for the next leader. */
    private async recordVersions(): Promise<void> {
        const { core, coordinator: { versions }, versionsTerm } = this;
        if (versions !== undefined && versionsTerm === core.state.currentTerm && versions !== this.recordedVersions) {
            await core.propose({ type: "versions", history: versions });
            this.recordedVersions = versions;
        }
    }

    /** Records the number of ingresses in the replicated state for those that start while there is no leader. */
    private async recordMembers(): Promise<void> {
        const count = this.coordinator.roster.countMembers(this.clock.now());
        const settled = this.clock.now() - (this.assignment?.assumedAt ?? Infinity) > membersSettleMs;
        if (count !== this.core.state.ingressCount && (settled || count > this.core.state.ingressCount)) {
            await this.core.propose({ type: "members", count });
        }
    }

    /** Records the measured prompt speeds in the replicated state, since a restarted fleet has no measurements. */
    private async recordEngineRates(): Promise<void> {
        for (const { name, engine } of this.catalog()?.services.values() ?? []) {
            const measured = engine === undefined ? undefined : this.coordinator.medianPrefillTokensPerMs(name);
            const recorded = this.core.state.engineRates[name];
            if (
                measured !== undefined
                && (recorded === undefined || Math.abs(measured - recorded) > recorded * minRateChange)
            ) {
                await this.core.propose({ type: "engine-rate", service: name, tokensPerMs: measured });
                this.log.info("engine-rate.recorded", { service: name, tokensPerMs: Math.round(measured) });
            }
        }
    }

    private async reportUsage(holder: DutyHolder): Promise<void> {
        const now = this.clock.now();
        const timeOfDayMs = this.coordinator.medianClock.timeOfDayMs(now);
        if (timeOfDayMs === undefined || now - (this.assignment?.assumedAt ?? now) < usageSettleMs / 2) {
            return;
        }
        const due = this.coordinator.usageWindows.dueWindows(timeOfDayMs, usageSettleMs, this.options.usageLateMs);
        for (const window of due) {
            if (this.reportedWindows.has(window)) {
                continue;
            }
            const report: UsageReport = { window, counts: this.coordinator.usageWindows.total(window) };
            const proofStartedAt = this.clock.now();
            const outcome = await this.core.propose({ type: "usage", report });
            const finalReport = outcome.report ?? report;
            if (!this.mayCall(proofStartedAt, holder)) {
                return;
            }
            await this.calls.reportUsage(finalReport, holder, this.lease.startCall(this.clock.now()));
            this.reportedWindows.add(window);
            this.log.info("usage.reported", {
                window,
                requests: Object.values(finalReport.counts).reduce((sum, count) => sum + count, 0),
                fence: holder.fence,
            });
        }
        for (const window of this.reportedWindows) {
            if (window < (due[0] ?? 0) - retainedReportedWindows) {
                this.reportedWindows.delete(window);
            }
        }
    }

    private async orderReplicas(holder: DutyHolder): Promise<void> {
        const now = this.clock.now();
        if (now - this.lastPlanAt < planIntervalMs || this.coordinator.listAgeMs > listReadIntervalMs * 4) {
            return;
        }
        this.lastPlanAt = now;
        const demand = this.coordinator.totalDemand();
        for (const service of this.catalog()?.services.values() ?? []) {
            const { scaling, engine } = service;
            if (scaling === undefined || engine === undefined) {
                continue;
            }
            const planner = this.planners.get(service.name)
                ?? new ReplicaPlanner(service.name, this.options.plannerPolicy);
            this.planners.set(service.name, planner);
            planner.observeDemand(demand.get(service.name) ?? noDemand(), now);
            const endpoints = this.coordinator.endpoints.filter(endpoint => endpoint.service === service.name);
            const capacity = {
                slots: engine.slots,
                prefillPerSecond: 1_000
                    * (this.core.state.engineRates[service.name] ?? engineSpeedDefaults.prefillTokensPerMs),
            };
            const orders = planner.plan(endpoints, scaling, this.options.failureDomains, capacity, now);
            this.logHeldReplicas(planner, service.name);
            let proofStartedAt = -Infinity;
            for (const order of orders) {
                if (lowersRollout(order, endpoints, this.core.state.rollouts)) {
                    planner.forgetOrder(order);
                    continue;
                }
                try {
                    if (!this.lease.isProofFresh(proofStartedAt, this.clock.now())) {
                        proofStartedAt = this.clock.now();
                        await this.core.propose({ type: "barrier" });
                    }
                    if (!this.mayCall(proofStartedAt, holder)) {
                        planner.forgetOrder(order);
                        continue;
                    }
                    const deadline = this.lease.startCall(this.clock.now());
                    const outcome = await this.calls.orderReplicas(order, holder, deadline);
                    if (outcome === "accepted") {
                        planner.recordAccepted(order);
                    }
                    else {
                        planner.recordRefused(order, now);
                    }
                    this.log.info("replicas.ordered", { ...order, outcome, needed: planner.neededEngines(capacity) });
                }
                catch (err) {
                    planner.forgetOrder(order);
                    this.log.info("replicas.order-failed", { ...order, reason: errorMessage(err) });
                }
            }
        }
    }
    /** Logs that a plan began or ceased to keep replicas until their replacements are ready. */
    private logHeldReplicas(planner: ReplicaPlanner, service: string): void {
        const held = planner.heldReplicas;
        if (held.length > 0 !== this.holdingServices.has(service)) {
            this.log.info(held.length > 0 ? "replicas.held" : "replicas.held-no-more", {
                service,
                kept: held.reduce((sum, { kept }) => sum + kept, 0),
                planned: held.reduce((sum, { planned }) => sum + planned, 0),
                failureDomains: held.map(({ failureDomain }) => failureDomain).join(",") || undefined,
            });
        }
        if (held.length > 0) {
            this.holdingServices.add(service);
        }
        else {
            this.holdingServices.delete(service);
        }
    }
}
