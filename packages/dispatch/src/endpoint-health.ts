export interface HealthOptions {
    /** Outcomes that count, in milliseconds. */
    windowMs: number;
    /** Failures below which an endpoint is never ejected. */
    minFailures: number;
    /** Share of failures above which an endpoint is ejected, when its siblings are below half of it. */
    failureShare: number;
    /** First ejection, in milliseconds; each failed trial doubles it. */
    baseMs: number;
    maxMs: number;
    /** Largest share of a service's endpoints that may be ejected at once. */
    maxShare: number;
}

export const healthDefaults: HealthOptions = {
    windowMs: 3_000,
    minFailures: 2,
    failureShare: 0.3,
    baseMs: 1_000,
    maxMs: 8_000,
    maxShare: 0.5,
};

interface State {
    outcomes: { at: number; ok: boolean; }[];
    ejectedUntil: number;
    ejections: number;
    trialAt: number | undefined;
}

/**
 * Ejects endpoints whose requests fail much more often than those of their siblings, whatever a status check says.
 * After the ejection one request at a time tries the endpoint.
 */
export class EndpointHealth {
    private readonly states = new Map<string, State>();

    constructor(private readonly options: HealthOptions = healthDefaults) {}

    /** Records an outcome that the endpoint answers for; a rejection under load is none. Returns true on ejection. */
    record(endpoint: string, siblings: readonly string[], ok: boolean, now: number): boolean {
        const state = this.state(endpoint);
        state.outcomes = state.outcomes.filter(outcome => now - outcome.at < this.options.windowMs);
        state.outcomes.push({ at: now, ok });
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
        const failures = state.outcomes.filter(outcome => !outcome.ok).length;
        const share = failures / state.outcomes.length;
        if (failures < this.options.minFailures || share < this.options.failureShare) {
            return false;
        }
        const others = siblings.filter(id => id !== endpoint);
        const ejected = others.filter(id => this.isEjected(id, now)).length;
        if (ejected + 1 > siblings.length * this.options.maxShare || this.failureShare(others, now) > share / 2) {
            return false;
        }
        return this.eject(state, now);
    }

    /** Whether a request may be sent there now. */
    usable(endpoint: string, now: number): boolean {
        const state = this.states.get(endpoint);
        if (state === undefined || state.ejections === 0) {
            return true;
        }
        return now >= state.ejectedUntil && (state.trialAt === undefined || now - state.trialAt > this.options.maxMs);
    }

    /** Notes a request sent to an endpoint that had been ejected; it is the trial. */
    dispatched(endpoint: string, now: number): void {
        const state = this.states.get(endpoint);
        if (state !== undefined && state.ejections > 0 && now >= state.ejectedUntil) {
            state.trialAt = now;
        }
    }

    forget(endpoint: string): void {
        this.states.delete(endpoint);
    }

    private isEjected(endpoint: string, now: number): boolean {
        return (this.states.get(endpoint)?.ejectedUntil ?? -Infinity) > now;
    }

    private eject(state: State, now: number): boolean {
        state.ejections++;
        state.ejectedUntil = now
            + Math.min(this.options.maxMs, this.options.baseMs * 2 ** (state.ejections - 1));
        state.outcomes = [];
        return true;
    }

    private failureShare(endpoints: readonly string[], now: number): number {
        const outcomes = endpoints.flatMap(id =>
            (this.states.get(id)?.outcomes ?? []).filter(outcome => now - outcome.at < this.options.windowMs)
        );
        return outcomes.length === 0 ? 0 : outcomes.filter(outcome => !outcome.ok).length / outcomes.length;
    }

    private state(endpoint: string): State {
        const state = this.states.get(endpoint)
            ?? { outcomes: [], ejectedUntil: -Infinity, ejections: 0, trialAt: undefined };
        this.states.set(endpoint, state);
        return state;
    }
}
