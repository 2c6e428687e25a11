/** Outcome of a request at an endpoint. */
export type EndpointOutcome =
    | "answered"
    /** The endpoint answered with a server error; a healthy service does so occasionally. */
    | "error"
    /** The connection broke or stayed silent, the endpoint was unreachable, or the answer was malformed. */
    | "broken";

/** Reason for which no request is sent to an endpoint: its own request, its failures, or the trial after an ejection. */
export type EndpointObstacle = "paused" | "ejected" | "trial-pending";

/**
 * Ids of the endpoints of a service that may be sent to, with or without the one whose outcome is recorded. Where there
 * can be many, they come with an index, so that an outcome does not look at each of them.
 */
export type Siblings = readonly string[] | Pick<ReadonlySet<string>, "size" | "has">;

/** Failure weight of each outcome. */
const outcomeWeights: Readonly<Record<EndpointOutcome, number>> = { answered: 0, error: 1, broken: 2 };

export interface HealthOptions {
    /** Age up to which an outcome counts, in milliseconds. */
    windowMs: number;
    /** Sum of failure weights in the window below which an endpoint is never ejected. */
    minFailureWeight: number;
    /** Smallest share of failures for an ejection, and smallest excess of that share over the siblings' share. */
    excessFailureShare: number;
    /** Duration of the first ejection, in milliseconds; each failed trial doubles it. */
    baseEjectionMs: number;
    /** Longest ejection, and time after which a trial without an outcome is no longer pending, in milliseconds. */
    maxEjectionMs: number;
    /** Largest share of a service's endpoints that may be ejected at the same time. */
    maxEjectedShare: number;
}

export const healthDefaults: HealthOptions = {
    windowMs: 4_000,
    // Four `error` or two `broken` outcomes.
    minFailureWeight: 4,
    // If a service fails one request in seven, five of nine answers are errors in fewer than 1 of 100 windows.
    excessFailureShare: 0.35,
    baseEjectionMs: 1_000,
    maxEjectionMs: 8_000,
    maxEjectedShare: 0.5,
};

interface EndpointState {
    outcomes: { recordedAt: number; outcome: EndpointOutcome; }[];
    /** Instant of the latest outcome; an ejection or a trial may have removed it from `outcomes`. */
    latestAt: number;
    ejectedUntil: number;
    ejectionCount: number;
    trialStartedAt: number | undefined;
    /** Instant until which the endpoint asked to receive no requests; a pause is not a failure. */
    pausedUntil: number;
}

/**
 * Outlier detection: ejects endpoints whose requests fail much more often than those of their siblings, regardless of
 * health checks. After an ejection has expired, one trial request at a time is sent to the endpoint.
 */
export class EndpointHealth {
    private readonly states = new Map<string, EndpointState>();
    /** Endpoints that may be ejected or have outcomes in the window, in the order of their latest outcome. */
    private readonly recent = new Map<string, EndpointState>();

    constructor(private readonly options: HealthOptions = healthDefaults) {}

    /**
     * Records the outcome of a request and returns whether it ejects the endpoint. Only outcomes caused by the endpoint
     * are recorded; a rejection under load is not one of them.
     */
    recordOutcome(endpoint: string, siblings: Siblings, outcome: EndpointOutcome, now: number): boolean {
        const succeeded = outcome === "answered";
        const state = this.stateOf(endpoint);
        this.recordRecent(endpoint, state, now);
        state.outcomes = state.outcomes.filter(({ recordedAt }) => now - recordedAt < this.options.windowMs);
        state.outcomes.push({ recordedAt: now, outcome });
        if (state.trialStartedAt !== undefined) {
            state.trialStartedAt = undefined;
            if (succeeded) {
                state.ejectionCount = 0;
                state.outcomes = [];
                return false;
            }
            return this.eject(state, now);
        }
        if (succeeded || now < state.ejectedUntil) {
            return false;
        }
        const failureWeight = state.outcomes.reduce((sum, past) => sum + outcomeWeights[past.outcome], 0);
        const failureShare = state.outcomes.filter(past => past.outcome !== "answered").length
            / state.outcomes.length;
        if (failureWeight < this.options.minFailureWeight || failureShare < this.options.excessFailureShare) {
            return false;
        }
        const group = "has" in siblings ? siblings : new Set(siblings);
        const others = this.describeOthers(endpoint, group, now);
        if (
            others.ejected + 1 > group.size * this.options.maxEjectedShare
            || failureShare < others.failureShare + this.options.excessFailureShare
        ) {
            return false;
        }
        return this.eject(state, now);
    }

    /** Whether a request may be sent now: the endpoint is neither paused nor ejected, and no trial is pending. */
    isUsable(endpoint: string, now: number): boolean {
        return this.obstacle(endpoint, now) === undefined;
    }

    /** Returns why no request may be sent to an endpoint now; undefined if one may be. */
    obstacle(endpoint: string, now: number): EndpointObstacle | undefined {
        const state = this.states.get(endpoint);
        if (state === undefined) {
            return undefined;
        }
        if (now < state.pausedUntil) {
            return "paused";
        }
        if (state.ejectionCount === 0) {
            return undefined;
        }
        if (now < state.ejectedUntil) {
            return "ejected";
        }
        const { trialStartedAt } = state;
        return trialStartedAt === undefined || now - trialStartedAt > this.options.maxEjectionMs
            ? undefined
            : "trial-pending";
    }

    /** Pauses an endpoint until the instant from which it accepts requests again, as stated by the endpoint. */
    pause(endpoint: string, until: number): void {
        const state = this.stateOf(endpoint);
        state.pausedUntil = Math.max(state.pausedUntil, until);
    }

    /** Returns the end of the endpoint's latest pause, or -Infinity if it has never asked for one. */
    pausedUntil(endpoint: string): number {
        return this.states.get(endpoint)?.pausedUntil ?? -Infinity;
    }

    /** Records that a request was sent; on an endpoint whose ejection has expired, that request is the trial. */
    recordDispatch(endpoint: string, now: number): void {
        const state = this.states.get(endpoint);
        if (state !== undefined && state.ejectionCount > 0 && now >= state.ejectedUntil) {
            state.trialStartedAt = now;
        }
    }

    removeEndpoint(endpoint: string): void {
        this.states.delete(endpoint);
        this.recent.delete(endpoint);
    }

    private eject(state: EndpointState, now: number): boolean {
        state.ejectionCount++;
        state.ejectedUntil = now
            + Math.min(this.options.maxEjectionMs, this.options.baseEjectionMs * 2 ** (state.ejectionCount - 1));
        state.outcomes = [];
        return true;
    }

    /**
     * Returns the number of the siblings of an endpoint that are ejected, and the share of failures in their outcomes. Only
     * those with recent outcomes are looked at: the cost depends on the rate of requests and not on the size of the
     * service.
     */
    private describeOthers(
        endpoint: string,
        siblings: Pick<ReadonlySet<string>, "has">,
        now: number,
    ): { ejected: number; failureShare: number; } {
        let [ejected, failed, count] = [0, 0, 0];
        for (const [id, { outcomes, ejectedUntil }] of this.recent) {
            if (id === endpoint || !siblings.has(id)) {
                continue;
            }
            ejected += ejectedUntil > now ? 1 : 0;
            for (const { recordedAt, outcome } of outcomes) {
                if (now - recordedAt < this.options.windowMs) {
                    count++;
                    failed += outcome === "answered" ? 0 : 1;
                }
            }
        }
        return { ejected, failureShare: count === 0 ? 0 : failed / count };
    }

    private recordRecent(endpoint: string, state: EndpointState, now: number): void {
        state.latestAt = now;
        this.recent.delete(endpoint);
        this.recent.set(endpoint, state);
        // An ejection begins with an outcome.
        const lifetimeMs = Math.max(this.options.windowMs, this.options.maxEjectionMs);
        for (const [id, { latestAt }] of this.recent) {
            if (latestAt + lifetimeMs > now) {
                break;
            }
            this.recent.delete(id);
        }
    }

    private stateOf(endpoint: string): EndpointState {
        const state = this.states.get(endpoint)
            ?? {
                outcomes: [],
                latestAt: -Infinity,
                ejectedUntil: -Infinity,
                ejectionCount: 0,
                trialStartedAt: undefined,
                pausedUntil: -Infinity,
            };
        this.states.set(endpoint, state);
        return state;
    }
}
