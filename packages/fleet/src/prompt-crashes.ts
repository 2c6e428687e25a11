import {
    accusingRequestCrashes,
    type BlockedPart,
    crashEvidenceMs,
    type CrashReport,
    isRequestKey,
    type RequestSuspects,
    suspectedRequestCrashes,
} from "./crash-evidence.ts";
import { FreshCrashes } from "./crash-news.ts";
import type { EndpointLifetime } from "./endpoint-directory.ts";
import { OwnCrashes } from "./own-crashes.ts";
import { UndecidedLosses } from "./undecided-losses.ts";

/** Number of parts of which the last begun answer is remembered. */
const maxBegunParts = 4_096;
/** The same for requests, hardly any of which come again. */
const maxBegunRequests = 16_384;
/** Number of crashes from which requests with a suspected part are not repeated at another endpoint. */
const unrepeatedPartCrashes = 2;
/** Time in which a new leader learns of all crashes; until then the suspects of the one before it count too. */
const inheritedMs = 3_000;

/** Instants at which answers last began, for a bounded number of keys. */
class BegunAnswers {
    /** In the order of the instants. */
    private readonly begunAt = new Map<string, number>();

    constructor(private readonly maxKeys: number) {}

    record(key: string, now: number): void {
        this.begunAt.delete(key);
        this.begunAt.set(key, now);
        for (const [oldest, at] of this.begunAt) {
            if (this.begunAt.size <= this.maxKeys && now - at < crashEvidenceMs) {
                break;
            }
            this.begunAt.delete(oldest);
        }
    }

    get(key: string): number | undefined {
        return this.begunAt.get(key);
    }
}

/** What one ingress knows of requests and prompt parts that crash endpoints: own evidence, suspects and verdicts. */
export class PromptCrashes {
    private readonly begunParts = new BegunAnswers(maxBegunParts);
    private readonly begunRequests = new BegunAnswers(maxBegunRequests);
    private readonly own = new OwnCrashes();
    private readonly undecided = new UndecidedLosses();
    /** Crashes of the last second, of which the leader may not have heard. */
    readonly fresh = new FreshCrashes();
    /** Evidence of the leader that has answered last; undefined if it has no id. */
    private leader: string | undefined;
    private suspects: Readonly<Record<string, number>> = {};
    private inherited: { suspects: Readonly<Record<string, number>>; until: number; } | undefined;
    private blocked: ReadonlySet<string> = new Set();
    private refused = new Set<string>();

    /** Records that an answer to a request with these suspects has begun. */
    recordBegun(keys: readonly string[], now: number): void {
        for (const key of keys) {
            (isRequestKey(key) ? this.begunRequests : this.begunParts).record(key, now);
        }
    }

    /**
     * Records that a request was lost at `at` by an endpoint that may have crashed; returns the function to be called
     * when that is known. Until then the loss counts for further repeats of the request.
     */
    recordLoss(lifetime: EndpointLifetime, request: string, at: number): () => void {
        return this.undecided.record(lifetime, request, at);
    }

    /** Records the crash at `at` of an endpoint at which this request was waiting for its answer to begin. */
    recordCrash(lifetime: EndpointLifetime, suspects: RequestSuspects, at: number): void {
        this.own.record(lifetime, suspects, at);
        this.fresh.record(lifetime, suspects.request, at);
    }

    /** Returns the crashes that this ingress has seen and of which the leader is not known to have heard. */
    crashReports(now: number): CrashReport[] {
        return this.own.reports(
            now,
            this.leader,
            (key, at) => (this.begunAt(key) ?? -Infinity) > at,
            key => this.suspects[key] !== undefined,
        );
    }

    /**
     * Records that a leader has answered a message with these reports; `leader` identifies its evidence. Returns whether
     * it is a new one, which wants to hear of the earlier crashes soon.
     */
    acknowledge(leader: string | undefined, reports: readonly CrashReport[], now: number): boolean {
        const isNew = this.leader !== leader;
        if (isNew) {
            this.inherited = { suspects: this.suspects, until: now + inheritedMs };
        }
        this.leader = leader;
        if (leader === undefined) {
            return false;
        }
        this.own.acknowledge(leader, reports);
        return isNew && this.crashReports(now).length > 0;
    }

    /** Returns the age in milliseconds of the last begun answer on each suspect, for the leader. */
    begunReports(now: number): Record<string, number> {
        const ages: Record<string, number> = {};
        for (const key of [...Object.keys(this.suspects), ...this.blocked]) {
            const at = this.begunAt(key);
            if (at !== undefined) {
                ages[key] = now - at;
            }
        }
        return ages;
    }

    /** Returns the blocked suspects for which requests were refused since the last call. */
    takeRefused(): string[] {
        const keys = [...this.refused];
        this.refused = new Set();
        return keys;
    }

    /** Applies the suspects of a leader; returns whether there are new ones, on which it wants to hear soon. */
    applySuspects(suspects: Readonly<Record<string, number>>): boolean {
        const hasNew = Object.keys(suspects).some(key =>
            this.suspects[key] === undefined && this.begunAt(key) !== undefined
        );
        this.suspects = suspects;
        return hasNew;
    }

    /** Applies the verdicts of the fleet; returns those that are new and those that have ended. */
    applyBlocked(blocked: readonly Pick<BlockedPart, "part">[]): { added: string[]; ended: string[]; } {
        const before = this.blocked;
        this.blocked = new Set(blocked.map(({ part }) => part));
        const ended = [...before].filter(key => !this.blocked.has(key));
        ended.forEach(key => this.own.forget(key));
        const added = [...this.blocked].filter(key => !before.has(key));
        if (added.length > 0) {
            // The new verdict may explain them; the leader's count says what remains.
            this.fresh.clear();
        }
        return { added, ended };
    }

    /** Number of suspects whose requests are refused. */
    get blockedParts(): number {
        return this.blocked.size;
    }

    /** Returns the suspect for which a request must not be sent, or undefined if it may be. */
    blockingPart(keys: readonly string[]): string | undefined {
        return this.blocked.size === 0 ? undefined : keys.find(key => this.blocked.has(key));
    }

    /** Records that a request was refused for a blocked suspect, so that its verdict stands while such requests come. */
    recordRefusal(key: string): void {
        this.refused.add(key);
    }

    /** Whether a request whose endpoint crashed may be sent to another one. */
    mayRepeat(keys: readonly string[], now: number): boolean {
        return this.blockingPart(keys) === undefined
            && keys.every(key =>
                isRequestKey(key)
                    ? this.countLosses(key, now) < suspectedRequestCrashes
                    : this.countCrashes(key, now) < unrepeatedPartCrashes
            );
    }

    /**
     * Returns the key of a request that has as many crashes as a verdict needs and must not be sent until the fleet has
     * decided, or undefined. Requests that this ingress has seen answered lately are sent.
     */
    withheld(keys: readonly string[], now: number): string | undefined {
        const inherited = this.inherited !== undefined && now < this.inherited.until ? this.inherited.suspects : {};
        return keys.find(key =>
            isRequestKey(key) && Math.max(this.countCrashes(key, now), inherited[key] ?? 0) >= accusingRequestCrashes
            && now - (this.begunAt(key) ?? -Infinity) >= crashEvidenceMs
        );
    }

    /**
     * Number of crashes that accuse a request, with the losses whose cause is not known yet. These count only beside a
     * crash, so that a request is repeated that endpoints lose which live on. A loss in a crash of which another ingress
     * has told is that crash.
     */
    private countLosses(request: string, now: number): number {
        if (this.countCrashes(request, now) === 0) {
            return 0;
        }
        const begunAt = this.begunAt(request) ?? -Infinity;
        const isOwn = (lifetime: EndpointLifetime): boolean => this.own.has(lifetime, request);
        const isKnown = (lifetime: EndpointLifetime): boolean =>
            isOwn(lifetime) || this.fresh.has(lifetime, request, now);
        return Math.max(
            this.countSettled(request) + this.undecided.count(request, begunAt, isOwn),
            this.fresh.count(request, begunAt, now) + this.undecided.count(request, begunAt, isKnown),
        );
    }

    private begunAt(key: string): number | undefined {
        return (isRequestKey(key) ? this.begunRequests : this.begunParts).get(key);
    }

    /** Number of crashes that accuse a suspect, by the leader's count and by those of which it has not heard. */
    private countCrashes(key: string, now: number): number {
        const settled = this.countSettled(key);
        return isRequestKey(key)
            ? Math.max(settled, this.fresh.count(key, this.begunAt(key) ?? -Infinity, now))
            : settled;
    }

    /** The same without what other ingresses have told. */
    private countSettled(key: string): number {
        const counted = this.suspects[key] ?? 0;
        const { reported, unreported } = this.own.count(
            key,
            this.begunAt(key) ?? -Infinity,
            this.leader,
            this.blocked,
        );
        // The crash of an endpoint is seen by many ingresses with the same parts, but only by one with the same request.
        // The leader does not name requests with a single crash.
        return isRequestKey(key)
            ? Math.max(counted, Math.min(1, reported)) + unreported
            : Math.max(counted, unreported);
    }
}
