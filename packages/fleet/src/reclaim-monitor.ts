import { ReclaimRisk } from "./reclaim-risk.ts";

/** Time until prompts cached by lost engines have been processed again elsewhere, in milliseconds. */
const cacheWarmUpMs = 4_000;

/** Ready replicas of a service in one failure domain. */
export interface ReadyReplicas {
    failureDomain: string;
    onDemand: number;
    reclaimable: number;
}

/** Detects failure domains that lose their reclaimable replicas, and estimates the effects on caches and supply. */
export class ReclaimMonitor {
    private readonly risk = new ReclaimRisk();
    /** Ready reclaimable replicas of each domain at the last observation. */
    private readonly previousReclaimable = new Map<string, number>();
    /** Number of all ready replicas at the last observation. */
    private previousReady = 0;
    /** Share of the engines' cached prompts that recent losses removed, as of the last loss. */
    private lostCacheShare = 0;
    private lastLossAt = -Infinity;
    /** Replicas that remained in each domain after its loss; cleared when the domain shows more. */
    private readonly remainingAfterLoss = new Map<string, number>();

    constructor(private readonly learnsRisk: boolean, private readonly doubtsAfterLoss: boolean) {}

    /**
     * Records the ready replicas. A domain has a loss when its reclaimable replicas drop below half of their previous
     * number, or below half of the number ordered there if that is lower.
     */
    observe(ready: readonly ReadyReplicas[], orderedIn: (failureDomain: string) => number, now: number): void {
        this.risk.advance(now);
        for (const { failureDomain, reclaimable } of ready) {
            const expected = Math.min(orderedIn(failureDomain), this.previousReclaimable.get(failureDomain) ?? 0);
            if (reclaimable < expected / 2) {
                this.recordLoss(failureDomain, expected - reclaimable, reclaimable, now);
            }
            else if (reclaimable > (this.remainingAfterLoss.get(failureDomain) ?? Infinity)) {
                this.remainingAfterLoss.delete(failureDomain);
            }
            this.previousReclaimable.set(failureDomain, reclaimable);
        }
        this.previousReady = ready.reduce((sum, { onDemand, reclaimable }) => sum + onDemand + reclaimable, 0);
    }

    /** Whether a domain may have no reclaimable replicas to supply; after a reclaim, new ones are rarely available. */
    isSupplyDoubtful(failureDomain: string): boolean {
        return this.doubtsAfterLoss && this.remainingAfterLoss.has(failureDomain);
    }

    /** Returns the share of the engines' cached prompts that was lost and has not been processed again yet. */
    coldCacheShare(now: number): number {
        return now - this.lastLossAt < cacheWarmUpMs ? this.lostCacheShare : 0;
    }

    /** Returns the probability that one given domain of `domains` loses its reclaimable replicas within `horizonMs`. */
    reclaimProbability(horizonMs: number, domains: number, now: number): number {
        return this.risk.probabilityWithin(horizonMs, domains, now);
    }

    private recordLoss(failureDomain: string, lostReplicas: number, remainingReplicas: number, now: number): void {
        this.lostCacheShare = Math.min(1, this.coldCacheShare(now) + lostReplicas / Math.max(1, this.previousReady));
        this.lastLossAt = now;
        this.remainingAfterLoss.set(failureDomain, remainingReplicas);
        if (this.learnsRisk) {
            this.risk.recordLoss(now);
        }
    }
}
