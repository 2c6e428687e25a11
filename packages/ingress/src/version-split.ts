import type { SyncAnswer } from "@lentilramp/exchange";
import { type Endpoint, versionOf } from "@lentilramp/fleet";
import {
    canaryToEndMs,
    renewsAlways,
    type RolloutNotice,
    type RolloutReport,
    shareOf,
    VersionResults,
} from "@lentilramp/rollouts";
import type { Clock, Metrics, RandomSource } from "@lentilramp/runtime";

/** Time by which the knowledge of a current follower may be older, in milliseconds: an election timeout. */
const followerLagMs = 900;
/**
 * Time for which other versions may be used after a current follower has said that the canary lasts, in milliseconds.
 * It also holds for a steward that knows no leader, and for a new leader that has not decided yet: neither completes a
 * roll-out within it.
 */
const canaryKnownMs = canaryToEndMs - followerLagMs;

interface KnownRollout {
    notice: RolloutNotice;
    barred: ReadonlySet<string>;
    /** Share that this ingress takes. */
    share: number;
    /**
     * Whether all ingresses take the share 1. Only then are other versions left: of a smaller share, some ingresses may
     * take so much that all their requests may go to the target.
     */
    isWhole: boolean;
    closed: boolean;
    /** Instant from which the share is 0, because the leader has not been heard. */
    validUntil: number;
    /** Instant from which the share, which may be 0, is to be renewed before the next sync; Infinity if it need not be. */
    renewAt: number;
    /** Instant from which other versions may not be used, because the roll-out may have been completed. */
    othersUntil: number;
    /** Whether a leader has last said that nothing may be sent to other versions; it may complete at any time. */
    wasClosed: boolean;
    /** Undefined once the roll-out has ended. */
    results: VersionResults | undefined;
}

/** What holds of a share at an instant. */
type PresentShare = Pick<KnownRollout, "share" | "isWhole" | "closed">;

/** A roll-out with the share that holds now. */
type PresentRollout = KnownRollout & { now: PresentShare & { mayBeOver: boolean; }; };

/** What a steward that answers a sync says of the time for which other versions may be used. */
interface Statement {
    sentAt: number;
    kind: "leader" | "follower" | "no-leader" | "unknown";
}

/** Decides which software versions requests may use, as the stewards say, and counts what becomes of them. */
export class VersionSplit {
    private revision = -1;
    /** Whether a leader has answered since this process started. */
    private leaderHeard = false;
    /** Instant at which the newest question was sent that a leader has answered. */
    private leaderAskedAt = -Infinity;
    private services = new Map<string, KnownRollout>();

    constructor(
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly metrics: Metrics,
        /** Name of this ingress, by which it takes shares that are meant for a part of the ingresses. */
        private readonly name = "",
    ) {}

    /** Applies what a steward said in the answer to a sync that was sent at `sentAt`; an earlier state is ignored. */
    apply(answer: Pick<SyncAnswer, "rollouts" | "leading" | "current" | "leader">, sentAt: number): void {
        const { rollouts: notices, leading } = answer;
        if (notices !== undefined && notices.revision < this.revision) {
            return;
        }
        this.leaderHeard ||= leading;
        if (leading) {
            // Syncs and renewals overlap, so that answers may arrive in another order than the leader decided.
            if (notices?.revision === this.revision && sentAt < this.leaderAskedAt) {
                return;
            }
            this.leaderAskedAt = Math.max(this.leaderAskedAt, sentAt);
        }
        if (notices === undefined || notices.partial && notices.revision !== this.revision) {
            return;
        }
        const statement = { sentAt, kind: this.kindOf(answer) };
        this.revision = notices.revision;
        const before = this.services;
        this.services = new Map([
            ...notices.partial ? before : [],
            ...Object.entries(notices.services).map(([service, notice]) => {
                const known = before.get(service);
                const isSame = known?.notice.orderedAt === notice.orderedAt && known.notice.target === notice.target;
                return [service, this.update(isSame ? known : undefined, notice, statement)] as const;
            }),
        ]);
    }

    /** Number of the state that is known; undefined before the first one. */
    get knownRevision(): number | undefined {
        return this.revision < 0 ? undefined : this.revision;
    }

    private kindOf({ leading, current, leader }: Parameters<VersionSplit["apply"]>[0]): Statement["kind"] {
        if (leading) {
            return "leader";
        }
        if (current === true) {
            return "follower";
        }
        // A process that has heard no leader does not know whether one led until now.
        return leader === undefined && this.leaderHeard ? "no-leader" : "unknown";
    }

    private update(known: KnownRollout | undefined, notice: RolloutNotice, statement: Statement): KnownRollout {
        const { state, target, orderedAt, ageMs, validMs } = notice;
        const barred = new Set(notice.barred);
        if (state !== "running") {
            return {
                notice,
                barred,
                share: 0,
                isWhole: false,
                closed: false,
                validUntil: -Infinity,
                renewAt: Infinity,
                othersUntil: -Infinity,
                wasClosed: false,
                results: undefined,
            };
        }
        const results = known?.results ?? new VersionResults(orderedAt, target);
        const isDecided = notice.share !== undefined;
        const { part = 1, renewMs = Infinity } = notice;
        const share = notice.share === undefined
            ? known?.share ?? 0
            : shareOf(this.name, orderedAt, notice.share, part);
        const renews = share > 0 || renewsAlways(notice.step ?? 0);
        const renewAt = isDecided ? renews ? statement.sentAt + renewMs : Infinity : known?.renewAt ?? Infinity;
        const wasClosed = isDecided ? notice.closed : known?.wasClosed ?? false;
        return {
            notice,
            barred,
            results,
            // Only the leader hands out shares; what it said last holds for its time.
            share,
            isWhole: notice.share === undefined ? known?.isWhole ?? false : notice.share >= 1,
            renewAt,
            closed: isDecided ? notice.closed : known?.closed ?? false,
            validUntil: isDecided ? statement.sentAt - ageMs + validMs : known?.validUntil ?? -Infinity,
            othersUntil: wasClosed ? -Infinity : othersEnd(known?.othersUntil ?? -Infinity, notice, statement),
            wasClosed,
        };
    }

    /** The largest share that holds now, over all services. */
    get largestShare(): number {
        return [...this.services.values()].reduce((max, rollout) => Math.max(max, this.split(rollout).share), 0);
    }

    /** Returns what the leader is told with a sync; undefined while no roll-out runs. */
    reports(): Record<string, RolloutReport> | undefined {
        const reports = [...this.services].flatMap(([service, rollout]) => {
            const { share, closed } = this.split(rollout);
            return rollout.results === undefined ? [] : [[service, rollout.results.report(share, closed)] as const];
        });
        return reports.length === 0 ? undefined : Object.fromEntries(reports);
    }

    /** Instant at which the shares are to be renewed, if no sync brings them before; Infinity if they need not be. */
    get renewAt(): number {
        return [...this.services.values()].reduce((min, { renewAt }) => Math.min(min, renewAt), Infinity);
    }

    /** Records that the leader has answered a sync with these reports. */
    acknowledge(reports: Readonly<Record<string, RolloutReport>> | undefined): void {
        for (const [service, report] of Object.entries(reports ?? {})) {
            this.services.get(service)?.results?.acknowledge(report);
        }
    }

    /** Counts a request of a service that an endpoint has run or may have run; called once for each request. */
    recordArrival(service: string): void {
        this.services.get(service)?.results?.recordArrival();
    }

    /** Returns what decides for one request of a service; called once for each request. */
    forRequest(service: string): RequestVersions {
        return new RequestVersions(() => this.find(service), this.random.next(), this.metrics);
    }

    /** Returns what decides for requests of a service, with the part of them to which it applies; nothing is drawn. */
    outcomes(service: string): { share: number; to?: "target" | "others"; versions: RequestVersions; }[] {
        const versions = (draw: number): RequestVersions =>
            new RequestVersions(() => this.find(service), draw, this.metrics);
        const rollout = this.find(service);
        if (rollout?.notice.state !== "running") {
            return [{ share: 1, versions: versions(0) }];
        }
        const { share } = rollout.now;
        return [
            { share, to: "target" as const, versions: versions(0) },
            { share: 1 - share, to: "others" as const, versions: versions(share) },
        ].filter(outcome => outcome.share > 0);
    }

    /** Counts a response of an endpoint; `timeMs` is undefined for a failure or if it is not known. */
    recordResponse(endpoint: Endpoint, route: string, outcome: "failed" | "answered", timeMs?: number): void {
        const rollout = this.services.get(endpoint.service);
        if (rollout?.results !== undefined) {
            const version = versionOf(endpoint);
            rollout.results.recordResponse(version, route, outcome, timeMs);
            const from = version === rollout.notice.target ? "target" : "other";
            this.metrics.count("rollout_responses", 1, { from, outcome });
        }
    }

    private find(service: string): PresentRollout | undefined {
        const rollout = this.services.get(service);
        const mayBeOver = this.clock.now() >= (rollout?.othersUntil ?? Infinity);
        return rollout && { ...rollout, now: { ...this.split(rollout), mayBeOver } };
    }

    private split({ share, isWhole, closed, validUntil }: KnownRollout): PresentShare {
        return this.clock.now() < validUntil
            ? { share, isWhole, closed }
            : { share: 0, isWhole: false, closed: false };
    }
}

/** Returns the instant until which other versions may be used after a statement, unless they are closed. */
function othersEnd(
    before: number,
    { share, step, ageMs, othersMs = Infinity }: RolloutNotice,
    { sentAt, kind }: Statement,
): number {
    if (share !== undefined) {
        const until = sentAt - ageMs + othersMs;
        // A leader of an earlier build has said no time before.
        return before === Infinity ? until : Math.max(before, until);
    }
    // Later, a leader that the steward does not know of any more may have completed the roll-out.
    const excludesEnd = kind === "leader" || kind === "follower" && step === 0
        || kind === "no-leader" && sentAt < before;
    return excludesEnd ? Math.max(before, sentAt + canaryKnownMs) : before;
}

/** Decides which versions one request may use, at each attempt anew. */
export class RequestVersions {
    constructor(
        private readonly rollout: () => PresentRollout | undefined,
        /** At least 0 and below 1; the request may go to the target while the share is above it. */
        private readonly draw: number,
        private readonly metrics: Metrics,
    ) {}

    /**
     * Whether the request may be sent to an endpoint. `required` is the version that began its stream, which goes on
     * there as long as that version gets any request.
     */
    mayUse(endpoint: Endpoint, required: string | undefined): boolean {
        const rollout = this.rollout();
        const version = versionOf(endpoint);
        if (rollout === undefined || rollout.notice.state !== "running") {
            return rollout?.barred.has(version) !== true;
        }
        const { share, isWhole, closed, mayBeOver } = rollout.now;
        if (version === rollout.notice.target) {
            return this.draw < share || share > 0 && required === version;
        }
        return !mayBeOver && !rollout.barred.has(version) && (!isWhole || !closed && required === version);
    }

    /**
     * Returns the candidates for the first attempt: those of the target, if the request may go there and one of them
     * has a free slot. Otherwise affinity to the old endpoints would keep requests from the target.
     */
    prefer<T extends Endpoint>(candidates: readonly T[], hasFreeSlot: (endpoint: T) => boolean): readonly T[] {
        const version = this.preferredVersion;
        if (version === undefined) {
            return candidates;
        }
        const ofTarget = candidates.filter(endpoint => versionOf(endpoint) === version);
        return ofTarget.some(hasFreeSlot) ? ofTarget : candidates;
    }

    /** The version that the first attempt prefers: the target, if the request may go there; otherwise undefined. */
    get preferredVersion(): string | undefined {
        const rollout = this.rollout();
        return rollout?.notice.state === "running" && this.draw < rollout.now.share ? rollout.notice.target : undefined;
    }

    /** Counts the request as one that has come for the service, whether it will be served or refused. */
    recordAsked(): void {
        this.rollout()?.results?.recordAsked();
    }

    /** Counts a send of the request. */
    recordSend(endpoint: Endpoint): void {
        const rollout = this.rollout();
        if (rollout?.results !== undefined) {
            const version = versionOf(endpoint);
            rollout.results.recordSend(version);
            const to = version === rollout.notice.target ? "target" : "other";
            this.metrics.count("rollout_sends", 1, { to });
        }
    }
}
