import type { RandomSource } from "@lentilramp/runtime";

export interface EjectionOptions {
    /** Failures in a row after which an endpoint is ejected. */
    consecutiveFailures: number;
    /** First ejection time; each failed trial doubles it. */
    baseEjectionMs: number;
    maxEjectionMs: number;
    /** Largest share of the endpoints that may be ejected at once. */
    maxEjectedShare: number;
    /** A trial request without a result for this long no longer blocks the next one. */
    trialTimeoutMs: number;
}

export const ejectionDefaults: EjectionOptions = {
    consecutiveFailures: 3,
    baseEjectionMs: 2_000,
    maxEjectionMs: 30_000,
    maxEjectedShare: 0.5,
    trialTimeoutMs: 10_000,
};

interface Health {
    failures: number;
    ejections: number;
    /** Set while the endpoint is ejected; from this instant on one trial request at a time is allowed. */
    retryAt: number | undefined;
    trialAt: number | undefined;
}

/**
 * Ejects endpoints that fail repeatedly and lets them return by trial requests. Never ejects more than a share
 * of them, because failures everywhere are more likely a fault of this entry or its links.
 */
export class EjectionTable {
    private readonly health = new Map<string, Health>();

    constructor(private readonly random: RandomSource, private readonly options: EjectionOptions = ejectionDefaults) {}

    /** Replaces the set of endpoints and forgets those that left. */
    setEndpoints(ids: readonly string[]): void {
        const kept = new Map(ids.map(id => [id, this.health.get(id)]));
        this.health.clear();
        for (const [id, health] of kept) {
            this.health.set(id, health ?? { failures: 0, ejections: 0, retryAt: undefined, trialAt: undefined });
        }
    }

    /** Records a dispatch, which is the trial request when the endpoint is ejected. */
    recordDispatch(id: string, now: number): void {
        const health = this.health.get(id);
        if (health?.retryAt !== undefined) {
            health.trialAt = now;
        }
    }

    recordSuccess(id: string): void {
        const health = this.health.get(id);
        if (health !== undefined) {
            Object.assign(health, { failures: 0, ejections: 0, retryAt: undefined, trialAt: undefined });
        }
    }

    recordFailure(id: string, now: number): void {
        const health = this.health.get(id);
        if (health === undefined) {
            return;
        }
        health.failures++;
        if (health.retryAt !== undefined) {
            // Failures of requests sent before the ejection do not prolong it; that of a trial does.
            if (health.trialAt !== undefined) {
                this.eject(health, now);
            }
        }
        else if (health.failures >= this.options.consecutiveFailures && this.mayEject()) {
            this.eject(health, now);
        }
    }

    /** True when a request may be sent to the endpoint now. */
    allowsRequest(id: string, now: number): boolean {
        const health = this.health.get(id);
        if (health?.retryAt === undefined) {
            return true;
        }
        const trialPending = health.trialAt !== undefined && now - health.trialAt < this.options.trialTimeoutMs;
        return now >= health.retryAt && !trialPending;
    }

    private mayEject(): boolean {
        const ejected = [...this.health.values()].filter(health => health.retryAt !== undefined).length;
        return ejected + 1
            <= Math.min(this.health.size - 1, Math.floor(this.health.size * this.options.maxEjectedShare));
    }

    private eject(health: Health, now: number): void {
        const time = Math.min(this.options.maxEjectionMs, this.options.baseEjectionMs * 2 ** health.ejections);
        health.ejections++;
        health.trialAt = undefined;
        // Random by a quarter, so that entries do not send their trials at the same time.
        health.retryAt = now + time * (0.875 + 0.25 * this.random.next());
    }
}
