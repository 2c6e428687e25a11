/** What an endpoint made of a request. */
export type EndpointOutcome =
    | "answered"
    /** It answered with a server error of its own; a sound service does so now and then. */
    | "error"
    /** It broke off, stayed silent, could not be reached, or gave an answer that is none. */
    | "broken";

/** What one outcome weighs against an endpoint. */
const outcomeWeights: Readonly<Record<EndpointOutcome, number>> = { answered: 0, error: 1, broken: 2 };

export interface HealthOptions {
    /** Outcomes that count, in milliseconds. */
    windowMs: number;
    /** Weight of failures below which an endpoint is never ejected. */
    minFailureWeight: number;
    /** Share of failures by which an endpoint must exceed its siblings to be ejected. */
    excessFailureShare: number;
    /** First ejection, in milliseconds; each failed trial doubles it. */
    baseEjectionMs: number;
    maxEjectionMs: number;
    /** Largest share of a service's endpoints that may be ejected at once. */
    maxEjectedShare: number;
}

export const healthDefaults: HealthOptions = {
    windowMs: 4_000,
    // Four errors or two broken answers.
    minFailureWeight: 4,
    // Of nine answers of a service that fails one in seven, five are errors in fewer than 1 of 100 windows.
    excessFailureShare: 0.35,
    baseEjectionMs: 1_000,
    maxEjectionMs: 8_000,
    maxEjectedShare: 0.5,
};

interface State {
    outcomes: { at: number; outcome: EndpointOutcome; }[];
    ejectedUntil: number;
    ejections: number;
    trialAt: number | undefined;
    /** The endpoint asked for no request until then; that is no failure. */
    pausedUntil: number;
}

/**
 * Ejects endpoints whose requests fail much more often than those of their siblings, whatever a status check says.
 * After the ejection one request at a time tries the endpoint.
 */
export class EndpointHealth {
    private readonly states = new Map<string, State>();

    constructor(private readonly options: HealthOptions = healthDefaults) {}

    /** Records an outcome that the endpoint answers for; a rejection under load is none. Returns true on ejection. */
    recordOutcome(endpoint: string, siblings: readonly string[], outcome: EndpointOutcome, now: number): boolean {
        const ok = outcome === "answered";
        const state = this.state(endpoint);
        state.outcomes = state.outcomes.filter(({ at }) => now - at < this.options.windowMs);
        state.outcomes.push({ at: now, outcome });
        if (state.trialAt !== undefined) {
            state.trialAt = undefined;
            if (ok) {
                state.ejections = 0;
                state.outcomes = [];
                return false;
            }
            return this.eject(state, now);
        }
        if (ok || now < state.ejectedUntil) {
            return false;
        }
        const weight = state.outcomes.reduce((sum, past) => sum + outcomeWeights[past.outcome], 0);
        const share = state.outcomes.filter(past => past.outcome !== "answered").length / state.outcomes.length;
        if (weight < this.options.minFailureWeight || share < this.options.excessFailureShare) {
            return false;
        }
        const others = siblings.filter(id => id !== endpoint);
        const ejected = others.filter(id => this.isEjected(id, now)).length;
        if (
            ejected + 1 > siblings.length * this.options.maxEjectedShare
            || share < this.failureShare(others, now) + this.options.excessFailureShare
        ) {
            return false;
        }
        return this.eject(state, now);
    }

    /** Whether a request may be sent there now. */
    isUsable(endpoint: string, now: number): boolean {
        const state = this.states.get(endpoint);
        if (state === undefined) {
            return true;
        }
        if (now < state.pausedUntil) {
            return false;
        }
        return state.ejections === 0 || now >= state.ejectedUntil
                && (state.trialAt === undefined || now - state.trialAt > this.options.maxEjectionMs);
    }

    /** Sends nothing to an endpoint until it is ready for more, as it said itself. */
    pause(endpoint: string, until: number): void {
        const state = this.state(endpoint);
        state.pausedUntil = Math.max(state.pausedUntil, until);
    }

    /** The instant from which an endpoint may be sent requests as far as it has said so itself. */
    pausedUntil(endpoint: string): number {
        return this.states.get(endpoint)?.pausedUntil ?? -Infinity;
    }

    /** Notes a request sent to an endpoint that had been ejected; it is the trial. */
    recordDispatch(endpoint: string, now: number): void {
        const state = this.states.get(endpoint);
        if (state !== undefined && state.ejections > 0 && now >= state.ejectedUntil) {
            state.trialAt = now;
        }
    }

    removeEndpoint(endpoint: string): void {
        this.states.delete(endpoint);
    }

    private isEjected(endpoint: string, now: number): boolean {
        return (this.states.get(endpoint)?.ejectedUntil ?? -Infinity) > now;
    }

    private eject(state: State, now: number): boolean {
        state.ejections++;
        state.ejectedUntil = now
            + Math.min(this.options.maxEjectionMs, this.options.baseEjectionMs * 2 ** (state.ejections - 1));
        state.outcomes = [];
        return true;
    }

    private failureShare(endpoints: readonly string[], now: number): number {
        const outcomes = endpoints.flatMap(id =>
            (this.states.get(id)?.outcomes ?? []).filter(({ at }) => now - at < this.options.windowMs)
        );
        return outcomes.length === 0
            ? 0
            : outcomes.filter(({ outcome }) => outcome !== "answered").length / outcomes.length;
    }

    private state(endpoint: string): State {
        const state = this.states.get(endpoint)
            ?? { outcomes: [], ejectedUntil: -Infinity, ejections: 0, trialAt: undefined, pausedUntil: -Infinity };
        this.states.set(endpoint, state);
        return state;
    }
}
