import { PaceMerge } from "@lentilramp/fleet";

/** Time for which the factors of endpoints are reused, in milliseconds, and that for each endpoint with reports. */
const minLifetimeMs = 100;
const lifetimeMsPerEndpoint = 0.1;

/** Factors by which work takes longer at endpoints, from the reports of the ingresses. Used by the leader. */
export class FleetFactors {
    private readonly merge = new PaceMerge();
    private listed = 0;
    private cached: { factors: Record<string, number> | undefined; computedAt: number; } | undefined;

    /** Records the report of an ingress; see `PaceMerge`. */
    record(reports: Parameters<PaceMerge["record"]>[0], now: number): void {
        this.merge.record(reports, now);
    }

    /** Forgets all endpoints except those of the list. */
    retain(endpoints: readonly { id: string; }[]): void {
        this.listed = endpoints.length;
        this.merge.retain(endpoints);
    }

    /**
     * Returns the factors of the endpoints whose pace differs from the usual; undefined if there are none. They are
     * computed at most once in 100 ms, and less often for more than 1,000 endpoints: a fleet of that size syncs less often
     * too, and the cost stays the same part of a core.
     */
    current(now: number): Record<string, number> | undefined {
        const lifetimeMs = Math.max(minLifetimeMs, this.listed * lifetimeMsPerEndpoint);
        if (this.cached === undefined || now - this.cached.computedAt >= lifetimeMs) {
            this.cached = { factors: this.merge.factors(now), computedAt: now };
        }
        return this.cached.factors;
    }
}
