import { syncIntervalMs, syncTimeoutMs, versionOf } from "@lentilramp/fleet";
import {
    findRollout,
    minLossMs,
    planShare,
    type ProgressCommand,
    type Rollout,
    type RolloutDecision,
    RolloutJudge,
    type RolloutNotice,
    type RolloutNotices,
    type RolloutOptions,
    type RolloutReports,
    type RolloutSituation,
    settleMs,
    type SharePlan,
} from "@lentilramp/rollouts";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";
import type { FleetCoordinator } from "./fleet-coordinator.ts";
import { errorMessage, type StewardCore } from "./steward-core.ts";

const checkIntervalMs = 100;
/** Age of an order, in milliseconds, from which a leader that has no reports on it is not the one that took it. */
const newOrderMs = 2_000;
/** What this leader has handed out for a roll-out. */
interface HandedOut {
    orderedAt: number;
    /** Term in which this steward led. */
    term: number;
    share: number;
    closed: boolean;
    othersMs: number;
    plan: SharePlan;
    /** Instant at which the proof began that this steward leads. */
    provenAt: number;
}

/** The versions of a service in the first list of endpoints that this leader reads after it has seen an order. */
interface FirstList {
    orderedAt: number;
    seenAt: number;
    /** Undefined before that read. */
    listed: string[] | undefined;
}

/** Decides on the running roll-outs at the leader, and says what ingresses are told of all roll-outs. */
export class RolloutDirector extends PeriodicComponent {
    readonly name = "rollouts";
    private readonly judges = new Map<string, { orderedAt: number; judge: RolloutJudge; }>();
    private readonly shares = new Map<string, HandedOut>();
    /** By service, for orders that were made without a recent list. */
    private readonly firstLists = new Map<string, FirstList>();
    /** Term of what is known of the roll-outs; another leader may have decided since an earlier one. */
    private term: number | undefined;

    constructor(
        private readonly core: StewardCore,
        private readonly coordinator: FleetCoordinator,
        private readonly options: RolloutOptions,
        private readonly holdsDuties: () => boolean,
        clock: Clock,
        private readonly log: EventLog,
    ) {
        super(clock, checkIntervalMs);
        coordinator.onListRead = () => this.noteFirstLists();
    }

    /** Number of roll-outs that run. */
    get running(): number {
        return this.runningRollouts.length;
    }

    /** Returns what an ingress is told that knows the state `known`; undefined if there is nothing to tell. */
    notices(known: number | undefined): RolloutNotices | undefined {
        const { revision, services } = this.core.state.rollouts;
        const partial = known === revision;
        const notices = Object.entries(services).filter(([, { state }]) => !partial || state === "running")
            .map(([service, rollout]) => [service, this.notice(service, rollout)] as const);
        return notices.length === 0 ? undefined : { revision, partial, services: Object.fromEntries(notices) };
    }

    private notice(service: string, { state, target, orderedAt, barred, step }: Rollout): RolloutNotice {
        const handedOut = this.shares.get(service);
        const isValid = state === "running" && handedOut?.orderedAt === orderedAt && this.holdsDuties()
            && handedOut.term === this.core.state.currentTerm;
        return {
            state,
            target,
            orderedAt,
            barred,
            step: state === "running" ? step : undefined,
            share: isValid ? handedOut.share : undefined,
            closed: isValid && handedOut.closed,
            ageMs: isValid ? Math.max(0, this.clock.now() - handedOut.provenAt) : 0,
            validMs: isValid ? handedOut.plan.validMs : 0,
            othersMs: isValid ? handedOut.othersMs : undefined,
            part: isValid && handedOut.plan.part < 1 ? handedOut.plan.part : undefined,
            renewMs: isValid ? handedOut.plan.renewMs : undefined,
        };
    }

    private get runningRollouts(): [string, Rollout][] {
        return Object.entries(this.core.state.rollouts.services).filter(([, { state }]) => state === "running");
    }

    protected override async runOnce(): Promise<void> {
        const rollouts = this.holdsDuties() ? this.runningRollouts : [];
        const { currentTerm: term } = this.core.state;
        this.forgetAllBut(new Set(this.term === term ? rollouts.map(([service]) => service) : []));
        this.term = term;
        if (rollouts.length === 0) {
            return;
        }
        this.noteFirstLists();
        const provenAt = this.clock.now();
        // A leader that others have replaced without its knowledge must not hand out shares.
        await this.core.driver.confirmRead();
        for (const [service] of rollouts) {
            const rollout = findRollout(this.core.state.rollouts, service);
            if (rollout?.state === "running" && this.holdsDuties() && this.core.state.currentTerm === term) {
                // A change that cannot be committed does not hold up the other roll-outs.
                await this.direct(service, rollout, provenAt).catch((err: unknown) => this.onFailure(err, service));
            }
        }
    }

    protected override onFailure(err: unknown, service?: string): void {
        this.log.info("rollout.not-decided", { service, reason: errorMessage(err) });
    }

    private forgetAllBut(services: ReadonlySet<string>): void {
        for (const known of [this.judges, this.shares, this.firstLists]) {
            for (const service of known.keys()) {
                if (!services.has(service)) {
                    known.delete(service);
                }
            }
        }
        this.coordinator.rolloutReports.retain(services);
    }

    /**
     * Notes the first list after each order that awaits it: a later one may hold a version that is not part of the
     * roll-out. Called at each read, because a check takes as long as the majority needs to confirm this leader.
     */
    private noteFirstLists(): void {
        const now = this.clock.now();
        for (const [service, { orderedAt, awaitsList }] of this.holdsDuties() ? this.runningRollouts : []) {
            if (awaitsList !== true) {
                continue;
            }
            const known = this.firstLists.get(service);
            const first = known?.orderedAt === orderedAt ? known : { orderedAt, seenAt: now, listed: undefined };
            this.firstLists.set(service, first);
            if (now - this.coordinator.listAgeMs >= first.seenAt) {
                first.listed ??= this.coordinator.endpoints.filter(endpoint => endpoint.service === service)
                    .map(versionOf);
            }
        }
    }

    /** Records the versions of the first list once it has been read. The target gets no share before. */
    private async recordFirstList(service: string, rollout: Rollout): Promise<void> {
        const first = this.firstLists.get(service);
        if (first?.orderedAt === rollout.orderedAt && first.listed !== undefined) {
            const listed = [...new Set(first.listed)];
            await this.propose(service, rollout, { listed });
            this.log.info("rollout.listed", { service, target: rollout.target, versions: listed.join(",") });
        }
    }

    private async direct(service: string, rollout: Rollout, provenAt: number): Promise<void> {
        if (rollout.awaitsList === true) {
            // The reports are collected from now on, as the counts of a later first report say nothing of the rate.
            this.reportsOf(service, rollout);
            await this.recordFirstList(service, rollout);
            return;
        }
        const judge = this.judgeOf(service, rollout);
        const decision = judge.decide(this.situation(service, rollout));
        const { orderedAt, target } = rollout;
        const { share, closed, othersMs } = decision;
        // An ingress that loses contact while everything is moved must not return to endpoints that are about to end.
        // A verdict, and an end that is being committed, hold for the ingresses that sync before that.
        const planned = this.plan(share);
        const plan = closed ? { ...planned, validMs: this.options.rollbackMs } : planned;
        this.shares.set(service, {
            orderedAt,
            term: this.core.state.currentTerm,
            share,
            closed,
            othersMs,
            plan,
            provenAt,
        });
        if (decision.end !== undefined) {
            await this.end(service, rollout, decision);
            return;
        }
        if (decision.step !== undefined) {
            await this.propose(service, rollout, { step: decision.step });
            judge.recordStep(decision.step, this.clock.now());
            this.log.info("rollout.step", { service, target, step: decision.step, ...this.counts(service, rollout) });
        }
    }

    private plan(share: number): SharePlan & { syncMs: number; } {
        const members = this.coordinator.roster.countMembers(this.clock.now());
        const syncMs = syncIntervalMs(members);
        return { ...planShare(share, members, syncMs, this.options.rollbackMs), syncMs };
    }

    private judgeOf(service: string, rollout: Rollout): RolloutJudge {
        const known = this.judges.get(service);
        if (known?.orderedAt === rollout.orderedAt) {
            return known.judge;
        }
        const reports = this.reportsOf(service, rollout);
        const judge = new RolloutJudge(rollout, this.options, reports);
        this.judges.set(service, { orderedAt: rollout.orderedAt, judge });
        return judge;
    }

    private situation(service: string, rollout: Rollout): RolloutSituation {
        const { target, barred, orderedAt } = rollout;
        const { coordinator } = this;
        const now = this.clock.now();
        const reports = this.reportsOf(service, rollout);
        const endpoints = coordinator.endpoints.filter(endpoint => endpoint.service === service);
        const slots = (isCounted: (version: string) => boolean): number =>
            coordinator.readyEndpoints(service).filter(endpoint => isCounted(versionOf(endpoint)))
                .reduce((sum, endpoint) => sum + endpoint.slots, 0);
        const others = endpoints.filter(endpoint => versionOf(endpoint) !== target).map(({ id }) => id);
        const ingresses = coordinator.roster.live(now).map(({ name }) => name);
        const { syncMs, renewMs } = this.plan(1);
        // After a start of all stewards, ingresses go by what was handed out when the fleet had its full size.
        const members = Math.max(coordinator.roster.countMembers(now), this.core.state.ingressCount);
        const lossMs = Math.max(minLossMs, syncTimeoutMs(members));
        return {
            now,
            elapsedMs: Math.max(0, this.timeOfDayMs(now) - orderedAt),
            targetSlots: slots(version => version === target),
            otherSlots: slots(version => version !== target && !barred.includes(version)),
            running: endpoints.reduce((sum, { id }) => sum + coordinator.runningAt(id), 0),
            settleMs: settleMs(rollout.step, syncMs, renewMs),
            heard: reports.heardFrom(ingresses),
            lossMs,
            drained: reports.drained(ingresses, others, now - lossMs),
        };
    }

    private async end(service: string, rollout: Rollout, { end, bad }: RolloutDecision): Promise<void> {
        if (end === undefined) {
            return;
        }
        const { target } = rollout;
        await this.propose(service, rollout, { state: end });
        const counts = this.counts(service, rollout);
        if (end === "completed") {
            this.log.info("rollout.completed", { service, target, ...counts });
        }
        else {
            this.log.warn("rollout.rolled-back", {
                service,
                target,
                route: bad?.route,
                by: bad?.by,
                bad: bad?.bad,
                responses: bad?.responses,
                othersShare: bad?.othersShare.toFixed(3),
                ...counts,
            });
        }
    }

    private counts(service: string, rollout: Rollout): { arrived: number; exposed: number; } {
        const { arrived, exposed } = this.reportsOf(service, rollout);
        return { arrived, exposed };
    }

    private reportsOf(service: string, rollout: Rollout): RolloutReports {
        const now = this.clock.now();
        const isContinued = this.timeOfDayMs(now) - rollout.orderedAt > newOrderMs;
        return this.coordinator.rolloutReports.of(service, rollout, now, isContinued);
    }

    private timeOfDayMs(now: number): number {
        return this.coordinator.medianClock.timeOfDayMs(now) ?? Date.now();
    }

    private async propose(
        service: string,
        { orderedAt }: Rollout,
        change: ProgressCommand["change"],
    ): Promise<void> {
        const at = this.timeOfDayMs(this.clock.now());
        await this.core.propose({ type: "rollout-progress", service, orderedAt, at, change });
    }
}
