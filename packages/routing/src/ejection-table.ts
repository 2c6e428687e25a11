import type { RandomSource } from "@lentilramp/runtime";

export interface EjectionOptions {
    /** Number of consecutive failures after which an endpoint is ejected. */
    consecutiveFailures: number;
    /** Duration of the first ejection; each failed trial doubles the duration. */
    baseEjectionMs: number;
    maxEjectionMs: number;
    /** Maximum share of the endpoints that may be ejected at the same time. */
    maxEjectedShare: number;
    /** Time after which a trial request without a result no longer blocks the next trial. */
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
    consecutiveFailures: number;
    ejectionCount: number;
    /** Instant from which one trial request at a time is allowed; undefined unless the endpoint is ejected. */
    trialAllowedAt: number | undefined;
    /** Instant at which the last trial request was sent; undefined before the first trial of an ejection. */
    trialSentAt: number | undefined;
}

/**
 * Ejects endpoints after consecutive failures and restores them after a successful trial request. Limits the share of
 * ejected endpoints, because failures of most endpoints more likely result from a fault of this entry or its links.
 */
export class EjectionTable {
    private readonly healthById = new Map<string, Health>();

    constructor(private readonly random: RandomSource, private readonly options: EjectionOptions = ejectionDefaults) {}

    /** Replaces the set of endpoints and drops the state of removed endpoints. */
    setEndpoints(ids: readonly string[]): void {
        const kept = new Map(ids.map(id => [id, this.healthById.get(id)]));
        this.healthById.clear();
        for (const [id, health] of kept) {
            this.healthById.set(
                id,
                health
                    ?? { consecutiveFailures: 0, ejectionCount: 0, trialAllowedAt: undefined, trialSentAt: undefined },
            );
        }
    }

    /** Records a dispatch, which counts as a trial request while the endpoint is ejected. */
    recordDispatch(id: string, now: number): void {
        const health = this.healthById.get(id);
        if (health?.trialAllowedAt !== undefined) {
            health.trialSentAt = now;
        }
    }

    recordSuccess(id: string): void {
        const health = this.healthById.get(id);
        if (health !== undefined) {
            Object.assign(health, {
                consecutiveFailures: 0,
                ejectionCount: 0,
                trialAllowedAt: undefined,
                trialSentAt: undefined,
            });
        }
    }

    recordFailure(id: string, now: number): void {
        const health = this.healthById.get(id);
        if (health === undefined) {
            return;
        }
        health.consecutiveFailures++;
        if (health.trialAllowedAt !== undefined) {
            // Only a failed trial prolongs the ejection, not requests that were in flight before it.
            if (health.trialSentAt !== undefined) {
                this.eject(health, now);
            }
        }
        else if (health.consecutiveFailures >= this.options.consecutiveFailures && this.canEjectAnother()) {
            this.eject(health, now);
        }
    }

    /** Whether a request may be sent to the endpoint now. */
    allowsRequest(id: string, now: number): boolean {
        const health = this.healthById.get(id);
        if (health?.trialAllowedAt === undefined) {
            return true;
        }
        const trialPending = health.trialSentAt !== undefined && now - health.trialSentAt < this.options.trialTimeoutMs;
        return now >= health.trialAllowedAt && !trialPending;
    }

    private canEjectAnother(): boolean {
        const ejected = [...this.healthById.values()].filter(health => health.trialAllowedAt !== undefined).length;
        return ejected + 1
            <= Math.min(this.healthById.size - 1, Math.floor(this.healthById.size * this.options.maxEjectedShare));
    }

    private eject(health: Health, now: number): void {
        const durationMs = Math.min(
            this.options.maxEjectionMs,
            this.options.baseEjectionMs * 2 ** health.ejectionCount,
        );
        health.ejectionCount++;
        health.trialSentAt = undefined;
        // Jitter over a quarter of the duration keeps the entries from sending their trials at the same time.
        health.trialAllowedAt = now + durationMs * (0.875 + 0.25 * this.random.next());
    }
}
