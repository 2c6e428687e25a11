import { ReclaimRisk } from "./reclaim-risk.ts";

/** Time in which prompts that were lost with their engines are read again elsewhere, in milliseconds. */
const warmUpMs = 4_000;

/** Ready replicas of a service in one failure domain. */
export interface ReadyReplicas {
    failureDomain: string;
    onDemand: number;
    reclaimable: number;
}

/** Notices domains that lose their reclaimable replicas, and knows what that means for the next seconds. */
export class ReclaimMonitor {
    private readonly risk = new ReclaimRisk();
    /** Ready reclaimable replicas of each domain at the last look. */
    private readonly reclaimableBefore = new Map<string, number>();
    /** All ready replicas at the last look. */
    private heldBefore = 0;
    /** Part of the prompts kept by engines that the losses so far took, and the instant of the last one. */
    private lostPart = 0;
    private lostAt = -Infinity;
    /** Domains that lost theirs and have shown no others yet, with the number that was left. */
    private readonly leftAfterLoss = new Map<string, number>();

    constructor(private readonly learnsRisk: boolean, private readonly doubts: boolean) {}

    /** Takes what is held; a drop of a domain's reclaimable replicas below those `ordered` there is a loss. */
    observe(held: readonly ReadyReplicas[], ordered: (failureDomain: string) => number, now: number): void {
        this.risk.advance(now);
        for (const { failureDomain, reclaimable } of held) {
            const before = Math.min(ordered(failureDomain), this.reclaimableBefore.get(failureDomain) ?? 0);
            if (reclaimable < before / 2) {
                this.noteLoss(failureDomain, before - reclaimable, reclaimable, now);
            }
            else if (reclaimable > (this.leftAfterLoss.get(failureDomain) ?? Infinity)) {
                this.leftAfterLoss.delete(failureDomain);
            }
            this.reclaimableBefore.set(failureDomain, reclaimable);
        }
        this.heldBefore = held.reduce((sum, { onDemand, reclaimable }) => sum + onDemand + reclaimable, 0);
    }

    /** Whether new reclaimable replicas in a domain are doubtful: what was just taken back is rarely to be had again. */
    isSupplyDoubtful(failureDomain: string): boolean {
        return this.doubts && this.leftAfterLoss.has(failureDomain);
    }

    /** Part of the prompts kept by engines that is lost and not yet read again. */
    coldCacheShare(now: number): number {
        return now - this.lostAt < warmUpMs ? this.lostPart : 0;
    }

    /** Probability that a given domain of `domains` loses its reclaimable replicas within a time. */
    reclaimProbability(horizonMs: number, domains: number, now: number): number {
        return this.risk.probabilityWithin(horizonMs, domains, now);
    }

    private noteLoss(failureDomain: string, lost: number, left: number, now: number): void {
        this.lostPart = Math.min(1, this.coldCacheShare(now) + lost / Math.max(1, this.heldBefore));
        this.lostAt = now;
        this.leftAfterLoss.set(failureDomain, left);
        if (this.learnsRisk) {
            this.risk.recordLoss(now);
        }
    }
}
