import type { Catalog } from "@lentilramp/catalog";
import { engineSpeedDefaults } from "@lentilramp/dispatch";
import { noDemand, ReplicaPlanner } from "@lentilramp/fleet";
import type { EndpointSource } from "@lentilramp/ingress";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";
import type { DutyCalls, DutyHolder } from "./duty-calls.ts";
import { DutyLease } from "./duty-lease.ts";
import type { FleetCoordinator } from "./fleet-coordinator.ts";
import { errorMessage, type StewardCore } from "./steward-core.ts";
import type { StewardOptions } from "./steward-options.ts";
import type { UsageReport } from "./steward-state.ts";

const tickMs = 200;
/** Time between two reads of the list of endpoints; with a sync it stays well under the bound for leaving ones. */
const listMs = 450;
const readMs = 1_000;
/** Time after the end of a usage window until the ingresses' counts are complete, in milliseconds. */
const settleMs = 3_000;
/** Time after taking office until a lower number of ingresses is believed, in milliseconds. */
const membersSettleMs = 5_000;
/** Time between two plans of the numbers of replicas. */
const planMs = 400;
/** Relative change of an engine's measured speed from which it is recorded anew. */
const rateChange = 0.15;

/** The duties of the steward in office: reads the list, reports usage, and orders replicas. */
export class PlatformDuties extends PeriodicComponent {
    readonly name = "platform-duties";
    private readonly tenure: DutyLease;
    private readonly planners = new Map<string, ReplicaPlanner>();
    private readonly reported = new Set<number>();
    /** Term and instant in which this steward took office. */
    private office: { term: number; fence: number; since: number; actFrom: number; } | undefined;
    private takingOffice = false;
    private listReadAt = -Infinity;
    private listNumber = 0;
    private listFailed = false;
    private plannedAt = -Infinity;
    private readonly busy = new Set<string>();

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
        this.tenure = new DutyLease(options.dutyLeaseMs, clock.now());
    }

    /** Whether this steward holds the office of the present term. */
    get holdsDuties(): boolean {
        return this.core.state.isLeader && this.office?.term === this.core.state.currentTerm;
    }

    /** Called when leadership changes; takes office without waiting for the next tick. */
    onLeadership(leads: boolean): void {
        if (leads) {
            void this.takeOffice();
        }
        else if (this.office !== undefined) {
            this.log.info("duty.lost", { fence: this.office.fence });
            this.office = undefined;
        }
    }

    protected override async runOnce(): Promise<void> {
        if (!this.core.state.isLeader) {
            return;
        }
        if (!this.holdsDuties) {
            await this.takeOffice();
            return;
        }
        this.coordinator.medianClock.observe(this.options.name, Date.now(), this.clock.now());
        this.spawn("list", () => this.readList());
        this.spawn("members", () => this.recordMembers());
        this.spawn("engine-rates", () => this.recordEngineRates());
        const { office } = this;
        if (office === undefined || this.clock.now() < office.actFrom) {
            return;
        }
        const holder = { name: this.options.name, fence: office.fence };
        if (this.options.reportsUsage) {
            this.spawn("usage", () => this.reportUsage(holder));
        }
        if (this.options.ordersReplicas) {
            this.spawn("replicas", () => this.orderReplicas(holder));
        }
    }

    protected override onFailure(err: unknown): void {
        this.log.info("duty.not-done", { reason: errorMessage(err) });
    }

    /** Runs one duty at a time of each kind, so that a slow platform holds up only that one. */
    private spawn(kind: string, run: () => Promise<void>): void {
        if (this.busy.has(kind)) {
            return;
        }
        this.busy.add(kind);
        run().catch((err: unknown) => this.onFailure(err)).finally(() => this.busy.delete(kind));
    }

    private async takeOffice(): Promise<void> {
        if (this.takingOffice) {
            return;
        }
        this.takingOffice = true;
        try {
            const term = this.core.state.currentTerm;
            // The holder before this entry, which a new leader can learn only when all entries before it are applied.
            const { fence, previousHolder, heldBefore = true } = await this.core.propose({
                type: "office",
                holder: this.options.name,
            });
            const since = this.clock.now();
            const actFrom = this.tenure.earliestActionAt(since, { previousHolder, heldBefore }, this.options.name);
            this.office = { term, fence, since, actFrom };
            // Without it, the first roster would leave out all that could not speak to the leader before.
            this.coordinator.roster.renewAll(since);
            this.log.info("duty.taken", {
                fence,
                term,
                previous: previousHolder,
                waitMs: Math.round(actFrom - since),
            });
        }
        catch (err) {
            this.log.info("duty.not-taken", { reason: errorMessage(err) });
        }
        finally {
            this.takingOffice = false;
        }
    }

    /** Whether a call may be made whose proof of leadership was begun at `provenAt`. */
    private mayCall(provenAt: number, holder: DutyHolder): boolean {
        const may = this.holdsDuties && this.office?.fence === holder.fence
            && this.tenure.isProofFresh(provenAt, this.clock.now());
        if (!may) {
            this.log.info("duty.call-withheld", {
                fence: holder.fence,
                proofAgeMs: Math.round(this.clock.now() - provenAt),
            });
        }
        return may;
    }

    private async readList(): Promise<void> {
        const now = this.clock.now();
        if (now - this.listReadAt < listMs) {
            return;
        }
        this.listReadAt = now;
        try {
            const endpoints = await this.source.read(now + readMs);
            const number = this.core.state.currentTerm * 1_000_000 + ++this.listNumber;
            const changed = this.coordinator.updateEndpointList(endpoints, now, number);
            if (changed || this.listFailed) {
                this.log.info("endpoints.list", {
                    number,
                    endpoints: endpoints.length,
                    ready: endpoints.filter(endpoint => endpoint.ready).length,
                });
            }
            this.listFailed = false;
        }
        catch (err) {
            if (!this.listFailed) {
                this.log.warn("endpoints.list-lost", { reason: errorMessage(err) });
            }
            this.listFailed = true;
        }
    }

    /** Keeps the number of ingresses in the replicated state, for those that start while nobody leads. */
    private async recordMembers(): Promise<void> {
        const count = this.coordinator.roster.countMembers(this.clock.now());
        const settled = this.clock.now() - (this.office?.since ?? Infinity) > membersSettleMs;
        if (count !== this.core.state.ingressCount && (settled || count > this.core.state.ingressCount)) {
            await this.core.propose({ type: "members", count });
        }
    }

    /** Keeps how fast engines read in the replicated state, since a fleet that starts anew has measured nothing. */
    private async recordEngineRates(): Promise<void> {
        for (const { name, engine } of this.catalog()?.services.values() ?? []) {
            const measured = engine === undefined ? undefined : this.coordinator.medianPrefillTokensPerMs(name);
            const recorded = this.core.state.engineRates[name];
            if (
                measured !== undefined
                && (recorded === undefined || Math.abs(measured - recorded) > recorded * rateChange)
            ) {
                await this.core.propose({ type: "engine-rate", service: name, tokensPerMs: measured });
                this.log.info("engine-rate.recorded", { service: name, tokensPerMs: Math.round(measured) });
            }
        }
    }

    private async reportUsage(holder: DutyHolder): Promise<void> {
        const now = this.clock.now();
        const trueMs = this.coordinator.medianClock.timeOfDayMs(now);
        if (trueMs === undefined || now - (this.office?.since ?? now) < settleMs / 2) {
            return;
        }
        const due = this.coordinator.usageWindows.dueWindows(trueMs, settleMs, this.options.usageLateMs);
        for (const window of due) {
            if (this.reported.has(window)) {
                continue;
            }
            const report: UsageReport = { window, counts: this.coordinator.usageWindows.total(window) };
            const provenAt = this.clock.now();
            const outcome = await this.core.propose({ type: "usage", report });
            const decided = outcome.report ?? report;
            if (!this.mayCall(provenAt, holder)) {
                return;
            }
            await this.calls.reportUsage(decided, holder, this.tenure.startCall(this.clock.now()));
            this.reported.add(window);
            this.log.info("usage.reported", {
                window,
                requests: Object.values(decided.counts).reduce((sum, count) => sum + count, 0),
                fence: holder.fence,
            });
        }
        for (const window of this.reported) {
            if (window < (due[0] ?? 0) - 10) {
                this.reported.delete(window);
            }
        }
    }

    private async orderReplicas(holder: DutyHolder): Promise<void> {
        const now = this.clock.now();
        if (now - this.plannedAt < planMs || this.coordinator.listAgeMs > listMs * 4) {
            return;
        }
        this.plannedAt = now;
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
            let provenAt = -Infinity;
            for (const order of orders) {
                try {
                    if (!this.tenure.isProofFresh(provenAt, this.clock.now())) {
                        provenAt = this.clock.now();
                        await this.core.propose({ type: "barrier" });
                    }
                    if (!this.mayCall(provenAt, holder)) {
                        planner.forgetOrder(order);
                        continue;
                    }
                    const deadline = this.tenure.startCall(this.clock.now());
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
}
