import { z } from "zod";
import type { Endpoint } from "./endpoint-directory.ts";
import { type LimitChange, LimitRegister, type LimitReport, permittedRate } from "./limit-register.ts";
import { LimitTurns, type TurnShare } from "./limit-turns.ts";
import { leaderContactTimeoutMs } from "./sync-timing.ts";

/** Time from the sync that asked for it for which a permit may be used, in milliseconds. */
export const permitLifetimeMs = 1_500;
/** Part of a limit that the ingresses use by turns while no leader grants permits. */
const turnsLimitPart = 0.75;
/**
 * Time that a request must have been sent after the last statement of a limit for its answer to lift the limit, in
 * milliseconds; it covers answers that overtake each other, and the error of instants that other processes reported.
 */
const withdrawalMarginMs = 250;

/** Permits that an ingress asks for at one endpoint, and those that it holds. */
export const permitDemandSchema = z.object({ wanted: z.int().nonnegative(), held: z.int().nonnegative() });
export type PermitDemand = z.infer<typeof permitDemandSchema>;

/** The fields of an endpoint that its limit depends on. */
export type LimitedEndpoint = Pick<Endpoint, "id" | "service" | "startedAt">;

/** Inputs of a decision on the limits of endpoints. */
export interface LimitInputs {
    /** Number of endpoints with a limit, and the sum of their limits in requests per second. */
    limited: number;
    limitPerSecond: number;
    /** Time since the last request for permits that a leader answered, in milliseconds. */
    permitsAskedMs: number | undefined;
}

interface Permits {
    count: number;
    expiresAt: number;
}

/**
 * What one ingress knows of the limits of endpoints, and the permits that it holds to send to them. The leader grants
 * the permits, so that the ingresses together stay within each limit; without a leader they use turns.
 */
export class LimitPermits {
    /** Statements in answers to this ingress; these are reported to the leader. */
    private readonly heard = new LimitRegister();
    /** The newest statements, in answers to this ingress and to others. */
    private readonly known = new LimitRegister();
    private readonly permits = new Map<string, Permits[]>();
    private readonly turns = new LimitTurns();
    /** Requests for each service since the last report. */
    private requests = new Map<string, number>();
    /** Endpoints for which the leader's last answer granted fewer permits than were wanted. */
    private exhausted: ReadonlySet<string> = new Set();
    private answeredAskAt = -Infinity;

    /** `share` returns the state of the fleet, and `requestSync` asks for an early exchange with the leader. */
    constructor(private readonly share: () => TurnShare, private readonly requestSync: () => void) {}

    /**
     * Applies what an answer says of its endpoint's limit; `perSecond` is undefined if it names none. `sentAt` is the
     * instant at which the request was sent. Returns whether the known limit has changed.
     */
    recordAnswer(
        { id, startedAt }: LimitedEndpoint,
        perSecond: number | undefined,
        sentAt: number,
        now: number,
    ): boolean {
        if (perSecond === undefined && this.known.limitOf(id) === undefined) {
            return false;
        }
        const statement = { perSecond, startedAt, at: perSecond === undefined ? sentAt - withdrawalMarginMs : now };
        this.heard.merge(id, statement);
        const changed = this.known.merge(id, statement);
        if (changed) {
            this.requestSync();
        }
        return changed;
    }

    /** Returns the limit of an endpoint in requests per second, or undefined if it has none. */
    limitOf(endpoint: string): number | undefined {
        return this.known.limitOf(endpoint);
    }

    /** Number of endpoints with a limit. */
    get limitedEndpoints(): number {
        return [...this.known.entries()].filter(([, { perSecond }]) => perSecond !== undefined).length;
    }

    /** Whether a request may be sent to an endpoint now. */
    maySend(endpoint: string, now: number): boolean {
        const perSecond = this.known.limitOf(endpoint);
        if (perSecond === undefined) {
            return true;
        }
        return this.inContact(now)
            ? this.held(endpoint, now) > 0
            : this.turns.available(endpoint, turnsRate(perSecond), this.share()) > 0;
    }

    /** Uses a permit or turn for a request that is sent now; `maySend` must hold. */
    recordSend(endpoint: string, now: number): void {
        const perSecond = this.known.limitOf(endpoint);
        if (perSecond === undefined) {
            return;
        }
        if (!this.inContact(now)) {
            this.turns.take(endpoint, turnsRate(perSecond), this.share());
            return;
        }
        const permits = this.permits.get(endpoint)?.find(({ count, expiresAt }) => count > 0 && now < expiresAt);
        if (permits !== undefined) {
            permits.count--;
        }
    }

    /** Counts a request for a service, from which the demand for permits follows. */
    recordRequest(service: string): void {
        this.requests.set(service, (this.requests.get(service) ?? 0) + 1);
    }

    /**
     * Whether a request that arrived at `arrivedAt` and for which no permit is held should wait: the leader has not
     * been asked since, and its last answer was not short of permits. Asks the leader soon in that case.
     */
    shouldWait(endpoints: readonly LimitedEndpoint[], arrivedAt: number, now: number): boolean {
        const mayBeGranted = this.mayBeGranted(endpoints, arrivedAt, now);
        if (mayBeGranted) {
            this.requestSync();
        }
        return mayBeGranted;
    }

    /** Whether the leader may grant a permit to a request that arrived at `arrivedAt`, as far as it has answered. */
    mayBeGranted(endpoints: readonly LimitedEndpoint[], arrivedAt: number, now: number): boolean {
        return this.inContact(now) && this.answeredAskAt < arrivedAt
            && endpoints.some(({ id }) => this.known.limitOf(id) !== undefined && !this.exhausted.has(id));
    }

    /** Returns the inputs of a decision on the limits of endpoints, for the log. */
    describe(endpoints: readonly LimitedEndpoint[], now: number): LimitInputs {
        const limits = endpoints.flatMap(({ id }) => this.known.limitOf(id) ?? []);
        return {
            limited: limits.length,
            limitPerSecond: limits.reduce((sum, perSecond) => sum + perSecond, 0),
            permitsAskedMs: Number.isFinite(this.answeredAskAt) ? Math.round(now - this.answeredAskAt) : undefined,
        };
    }

    /** Returns what this ingress heard itself, as reports for the leader. */
    heardReports(now: number): Record<string, LimitReport> {
        return this.heard.reports(now);
    }

    /**
     * Returns the permits that this ingress wants at each of the limited endpoints, and starts to count anew.
     * `waiting` returns the number of requests that wait for a service.
     */
    takeDemand(
        endpoints: readonly LimitedEndpoint[],
        waiting: (service: string) => number,
        now: number,
    ): Record<string, PermitDemand> {
        const demand: Record<string, PermitDemand> = {};
        for (const { id, service } of endpoints) {
            if (this.known.limitOf(id) !== undefined) {
                const held = this.held(id, now);
                const requests = Math.max(this.requests.get(service) ?? 0, waiting(service));
                demand[id] = { wanted: Math.max(0, requests - held), held };
            }
        }
        this.requests = new Map();
        return demand;
    }

    /**
     * Applies the leader's answer to a sync that was sent at `sentAt` with `demand`. Returns the endpoints whose limits
     * have changed.
     */
    applyAnswer(
        { limits, permits }: {
            limits: Readonly<Record<string, LimitReport>>;
            permits: Readonly<Record<string, number>>;
        },
        demand: Readonly<Record<string, PermitDemand>>,
        sentAt: number,
    ): LimitChange[] {
        this.answeredAskAt = Math.max(this.answeredAskAt, sentAt);
        const changes = this.known.mergeReports(limits, sentAt);
        const expiresAt = sentAt + permitLifetimeMs;
        for (const [id, count] of Object.entries(permits)) {
            const current = (this.permits.get(id) ?? []).filter(entry => entry.count > 0 && entry.expiresAt > sentAt);
            this.permits.set(id, [...current, { count, expiresAt }]);
        }
        this.exhausted = new Set(
            Object.entries(demand).filter(([id, { wanted }]) => (permits[id] ?? 0) < wanted).map(([id]) => id),
        );
        return changes;
    }

    /** Drops what is known of endpoints that are gone or have restarted. */
    retain(endpoints: readonly LimitedEndpoint[]): void {
        this.heard.retain(endpoints);
        for (const id of this.known.retain(endpoints)) {
            this.permits.delete(id);
            this.turns.removeEndpoint(id);
        }
    }

    /** Whether a leader that grants permits has answered recently. */
    private inContact(now: number): boolean {
        return now - this.answeredAskAt < leaderContactTimeoutMs(this.share().members);
    }

    private held(endpoint: string, now: number): number {
        return (this.permits.get(endpoint) ?? [])
            .reduce((sum, { count, expiresAt }) => now < expiresAt ? sum + count : sum, 0);
    }
}

function turnsRate(perSecond: number): number {
    return permittedRate(perSecond) * turnsLimitPart;
}
