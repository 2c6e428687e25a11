import { CapBucket } from "./cap-bucket.ts";
import type { EndpointLifetime } from "./endpoint-directory.ts";
import type { PermitDemand } from "./limit-permits.ts";
import { LimitRegister, permittedRate } from "./limit-register.ts";

/** Permits that collect while nobody asks, as a constant and as the time in which the limit allows them. */
const burstPermits = 2;
const burstMs = 250;
/** Permits of an endpoint whose limit has just become known. */
const firstPermits = 1;
/** Part of the silent ingresses' share of a limit that they may use by turns and that is kept back for them. */
const keptBackPart = 0.5;

/** The ingresses among which a limit is divided. */
export interface LimitedFleet {
    /** Number of ingresses that may be running. */
    members: number;
    /** Number of those that are not in contact with the leader. */
    silent: number;
}

/** Divides the limits of endpoints among the ingresses in permits. Used by the leader. */
export class LimitAllocator {
    readonly statements = new LimitRegister();
    private readonly buckets = new Map<string, CapBucket>();

    /**
     * Returns the number of permits for an ingress at an endpoint: those that it wants as far as the limit allows, and
     * its part of those that nobody uses. Returns 0 for an endpoint without a limit.
     */
    grant(endpoint: string, { wanted, held }: PermitDemand, { members, silent }: LimitedFleet, now: number): number {
        const limit = this.statements.limitOf(endpoint);
        if (limit === undefined) {
            return 0;
        }
        const perSecond = permittedRate(limit) * (1 - keptBackPart * silent / Math.max(1, members));
        const limits = { size: burstPermits + perSecond * burstMs / 1_000, ratePerMs: perSecond / 1_000 };
        const bucket = this.buckets.get(endpoint) ?? new CapBucket(firstPermits, now);
        this.buckets.set(endpoint, bucket);
        bucket.refill(limits, now);
        const unused = Math.floor(bucket.units / Math.max(1, members)) - held;
        return bucket.takeUpTo(Math.max(wanted, unused, 0));
    }

    /** Drops what is known of endpoints that are gone or have restarted. */
    retain(endpoints: readonly EndpointLifetime[]): void {
        this.statements.retain(endpoints).forEach(id => this.buckets.delete(id));
    }
}
