import { addTimes } from "./response-times.ts";
import type { Rollout } from "./rollout-book.ts";
import type { RolloutReport, VersionTally } from "./rollout-messages.ts";
import { evidenceSlotMs, VersionEvidence } from "./version-evidence.ts";
import { countResponses } from "./version-results.ts";

/** Time over which the present rate of requests is measured, in milliseconds. */
const rateWindowMs = 10_000;

/** Most responses of a first tally that a new leader takes for recent ones, so that services with few requests have evidence. */
const maxRecentResponses = 3;

/** Counts events by slot of time, for their rate over the last seconds. */
class RateWindow {
    private slots: { index: number; count: number; }[] = [];

    add(count: number, now: number): void {
        const index = Math.floor(now / evidenceSlotMs);
        const last = this.slots.at(-1);
        if (last?.index === index) {
            last.count += count;
            return;
        }
        this.slots.push({ index, count });
        this.slots = this.slots.filter(other => other.index > index - 2 * rateWindowMs / evidenceSlotMs);
    }

    /** Returns the events in a millisecond, over the last seconds since `startedAt`. */
    perMs(startedAt: number, now: number): number {
        const spanMs = Math.min(rateWindowMs, Math.max(evidenceSlotMs, now - startedAt));
        const first = Math.floor((now - spanMs) / evidenceSlotMs);
        return this.slots.filter(({ index }) => index >= first).reduce((sum, { count }) => sum + count, 0) / spanMs;
    }
}

/** What one run of an ingress has reported. */
interface Reporter {
    asked: number;
    arrived: number;
    exposed: number;
    tallies: Map<string, VersionTally>;
}

/** What an ingress obeyed at its last report, and its requests in flight by endpoint. */
interface IngressPosition {
    share: number;
    closed: boolean;
    running: Readonly<Record<string, { running: number; }>>;
}

/** Collects, at the leader, what the ingresses report of one roll-out. */
export class RolloutReports {
    readonly evidence = new VersionEvidence();
    private readonly reporters = new Map<string, Reporter>();
    private readonly positions = new Map<string, IngressPosition>();
    /** Ingresses that have reported the roll-out, in whichever run. */
    private readonly heard = new Set<string>();
    /** Instant of the last sync of each ingress. */
    private readonly contactAt = new Map<string, number>();
    private readonly askedRate = new RateWindow();
    private readonly arrivedRate = new RateWindow();
    private readonly responses: { at: number; count: number; }[] = [];
    private askedCount = 0;
    private arrivedCount = 0;
    private exposedCount = 0;

    constructor(
        readonly orderedAt: number,
        private readonly target: string,
        readonly startedAt: number,
        /** Whether an earlier leader has collected reports, so that the first ones to this leader hold the past as well. */
        private readonly isContinued = false,
    ) {}

    /** Requests that have come for the service since the order, refused ones included. */
    get asked(): number {
        return this.askedCount;
    }

    /** Requests that have reached the service since the order, which endpoints have run or may have run. */
    get arrived(): number {
        return this.arrivedCount;
    }

    /** Requests that were sent to the target. */
    get exposed(): number {
        return this.exposedCount;
    }

    /** Takes a report of the run `lifetime` of an ingress; one that came before, or is older, adds nothing. */
    record(
        ingress: string,
        lifetime: string,
        report: RolloutReport,
        running: IngressPosition["running"],
        now: number,
    ): void {
        if (report.orderedAt !== this.orderedAt) {
            this.recordContact(ingress, now);
            return;
        }
        this.contactAt.set(ingress, now);
        this.positions.set(ingress, { share: report.share, closed: report.closed, running });
        this.heard.add(ingress);
        const known = this.reporters.get(lifetime);
        const reporter = known ?? { asked: 0, arrived: 0, exposed: 0, tallies: new Map() };
        this.reporters.set(lifetime, reporter);
        const asked = Math.max(0, (report.asked ?? report.arrived) - reporter.asked);
        reporter.asked += asked;
        this.askedCount += asked;
        const arrived = Math.max(0, report.arrived - reporter.arrived);
        reporter.arrived += arrived;
        this.arrivedCount += arrived;
        // The first report to a new leader counts all requests since the order, which say nothing of the present rate.
        this.askedRate.add(known === undefined ? 0 : asked, now);
        this.arrivedRate.add(known === undefined ? 0 : arrived, now);
        const exposed = Math.max(0, report.exposed - reporter.exposed);
        reporter.exposed += exposed;
        this.exposedCount += exposed;
        for (const [version, routes] of Object.entries(report.results)) {
            for (const [route, tally] of Object.entries(routes)) {
                this.addTally(reporter, version, route, tally, now);
            }
        }
    }

    /** Returns the requests that come for the service in a millisecond, over the last seconds; refused ones included. */
    askedPerMs(now: number): number {
        return this.askedRate.perMs(this.startedAt, now);
    }

    /** Returns the requests that reach the service in a millisecond, over the last seconds. */
    arrivalsPerMs(now: number): number {
        return this.arrivedRate.perMs(this.startedAt, now);
    }

    /** Returns the responses of the target that were reported after the instant `since`. */
    targetResponses(since: number): number {
        return this.responses.filter(({ at }) => at > since).reduce((sum, { count }) => sum + count, 0);
    }

    /** Returns which of the ingresses in contact have reported the roll-out to this leader. */
    heardFrom(ingresses: readonly string[]): "none" | "some" | "all" {
        const count = ingresses.filter(name => this.heard.has(name)).length;
        return count === 0 ? "none" : count < ingresses.length ? "some" : "all";
    }

    /**
     * Returns whether all of the ingresses let everything go to the target and have nothing in flight at the endpoints
     * `others`: `closed` if no ingress sends anything there either, streams that are resumed included. Ingresses that
     * were in contact after the instant `since` count as well: without contact they may go on at other versions, as may
     * those that an earlier leader had in contact after it.
     */
    drained(
        ingresses: readonly string[],
        others: readonly string[],
        since = Infinity,
    ): "no" | "idle" | "closed" {
        if (ingresses.length === 0 || this.startedAt > since) {
            return "no";
        }
        const lost = [...this.contactAt].filter(([, at]) => at > since).map(([name]) => name);
        const positions = [...new Set([...ingresses, ...lost])].map(name => this.positions.get(name));
        const isIdle = positions.every(position =>
            position !== undefined && position.share >= 1
            && others.every(id => !Object.hasOwn(position.running, id) || (position.running[id]?.running ?? 0) === 0)
        );
        return !isIdle ? "no" : positions.every(position => position?.closed === true) ? "closed" : "idle";
    }

    /** Records the sync of an ingress that does not report the roll-out, for instance because it has started again. */
    recordContact(ingress: string, now: number): void {
        this.contactAt.set(ingress, now);
        this.positions.delete(ingress);
    }

    /** Forgets what all ingresses obeyed, because they are told of a smaller share. */
    forgetPositions(): void {
        this.positions.clear();
    }

    /** Forgets which ingresses send nothing to other versions. */
    forgetClosed(): void {
        this.positions.forEach(position => position.closed = false);
    }

    private addTally(reporter: Reporter, version: string, route: string, tally: VersionTally, now: number): void {
        const key = JSON.stringify([version, route]);
        const before = reporter.tallies.get(key);
        const count = countResponses(tally) - (before === undefined ? 0 : countResponses(before));
        if (count <= 0) {
            return;
        }
        reporter.tallies.set(key, tally);
        if (this.isContinued && before === undefined && count > maxRecentResponses) {
            // Responses of different times would be compared: a fault of all versions weighs most on the one that had
            // most of its requests at that time.
            return;
        }
        const times = new Map<number, number>();
        for (const [bucket, number] of Object.entries(tally.times)) {
            const added = number - (before?.times[bucket] ?? 0);
            if (added > 0) {
                addTimes(times, new Map([[Number(bucket), added]]));
            }
        }
        const isTarget = version === this.target;
        const failed = Math.max(0, tally.failed - (before?.failed ?? 0));
        this.evidence.add(isTarget, route, { failed, times }, now);
        if (isTarget) {
            this.responses.push({ at: now, count });
            if (this.responses.length > 10_000) {
                this.responses.splice(0, 5_000);
            }
        }
    }
}

/** The reports of all services with a running roll-out. */
export class FleetRolloutReports {
    private readonly services = new Map<string, RolloutReports>();

    /** Takes the reports of one sync of an ingress. */
    record(
        ingress: string,
        lifetime: string,
        reports: Readonly<Record<string, RolloutReport>>,
        running: IngressPosition["running"],
        now: number,
    ): void {
        for (const [service, known] of this.services) {
            const report = Object.hasOwn(reports, service) ? reports[service] : undefined;
            if (report === undefined) {
                known.recordContact(ingress, now);
            }
            else {
                known.record(ingress, lifetime, report, running, now);
            }
        }
    }

    /**
     * Returns the reports of a roll-out, which are collected from the first call on; `isContinued` says whether an earlier
     * leader may have collected some.
     */
    of(service: string, { orderedAt, target }: Rollout, now: number, isContinued = false): RolloutReports {
        const known = this.services.get(service);
        if (known?.orderedAt === orderedAt) {
            return known;
        }
        const reports = new RolloutReports(orderedAt, target, now, isContinued);
        this.services.set(service, reports);
        return reports;
    }

    /** Forgets the reports of all services but those that are named. */
    retain(services: ReadonlySet<string>): void {
        for (const service of this.services.keys()) {
            if (!services.has(service)) {
                this.services.delete(service);
            }
        }
    }
}
