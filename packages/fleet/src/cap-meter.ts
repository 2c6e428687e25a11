import type { CatalogWorkspace } from "@lentilramp/catalog";
import { type BucketLimits, CapBucket, type CapDecision } from "./cap-bucket.ts";
import { type CapUseCounts, CapUseTotals } from "./cap-use-totals.ts";
import type { ExchangeScope } from "./exchange-topology.ts";
import { SpareCapEstimate } from "./spare-cap-estimate.ts";
import { leaderContactTimeoutMs } from "./sync-timing.ts";

/** How far the total use over all ingresses may exceed a cap in a window. */
export interface CapTolerance {
    /** Permitted excess relative to what the cap allows in the window. */
    overshoot: number;
    windowMs: number;
    /** Permitted excess in units of the cap, in addition to the relative one. */
    units: number;
}

/** Share of the tolerance that absorbs uneven arrivals; the rest covers use by peers that is not reported here yet. */
const localToleranceShare = 0.5;

/**
 * Share of a bucket that large requests leave for small ones, since small ones serve more callers with the same units.
 * The reserve never exceeds the slack, so that requests of any size can use the workspace's burst.
 */
const smallRequestReserveShare = 0.3;
/** Size from which a request counts as large, relative to the size of the bucket. */
const largeRequestShare = 0.02;
/** Share of the silent ingresses' part of a cap that passes to the ingresses in contact with the leader. */
const releasedShare = 0.7;
/** State of the fleet that shares the caps, as seen by one ingress. */
export interface FleetCoverage {
    /** Number of ingresses whose use is reported to this one, including itself. */
    coveredMembers: number;
    /** Number of ingresses that may be running, including this one; 0 if unknown. */
    members: number;
    /** Number of ingresses that have not synced with the leader for the cap release delay. */
    silentMembers: number;
    /** Instant of the leader's last answer; -Infinity before the first one. */
    leaderAnsweredAt: number;
}

/** Returns the units that the bucket of a workspace may hold in addition to the burst. */
function capSlack({ capPerSecond, capBurst }: CatalogWorkspace, tolerance: CapTolerance): number {
    const { overshoot, windowMs, units } = tolerance;
    return localToleranceShare * (overshoot * (capPerSecond * windowMs / 1_000 + capBurst) + units);
}

/** Returns the units that all ingresses together may use in a window; a single unit always may be. */
function windowUnits({ capPerSecond, capBurst }: CatalogWorkspace, tolerance: CapTolerance): number {
    const { overshoot, windowMs, units } = tolerance;
    return Math.max(1, (capPerSecond * windowMs / 1_000 + capBurst) * (1 + overshoot) + units);
}

/**
 * Enforces the caps of workspaces over all ingresses without a remote call per request. Each ingress has one token
 * bucket per workspace and also deducts the use that its peers report. An ingress that receives reports from part of
 * the fleet uses only that part's share of the cap, so that the sides of a network partition together stay within it.
 */
export class CapMeter {
    readonly totals = new CapUseTotals();
    private readonly buckets = new Map<string, CapBucket>();
    private readonly catalogWorkspaces = new Map<string, CatalogWorkspace>();
    private readonly spareCap = new SpareCapEstimate();

    constructor(
        private readonly tolerance: CapTolerance,
        private readonly coverage: () => FleetCoverage,
        private readonly startedAt: number,
    ) {}

    /** Whether the number of ingresses is known; until then no request of a capped workspace is admitted. */
    get fleetSizeKnown(): boolean {
        return this.coverage().members > 0;
    }

    /** Returns the units that a request costs in its workspace. */
    static requestUnits(workspace: CatalogWorkspace, declaredTokens: number | undefined): number {
        return workspace.countsTokens ? declaredTokens ?? workspace.defaultTokens : 1;
    }

    tryUse(workspace: CatalogWorkspace, units: number, now: number): CapDecision {
        if (workspace.capPerSecond <= 0) {
            return { admitted: true };
        }
        const bucket = this.bucket(workspace);
        if (units > windowUnits(workspace, this.tolerance)) {
            // The bucket would admit it when it is full, and then nothing else until the debt is worked off.
            return { admitted: false, retryAt: Infinity, level: bucket.units };
        }
        const limits = this.limits(workspace, this.capShare(now), now);
        const decision = bucket.tryTake(units, { ...limits, reserve: reserveFor(units, limits) }, now);
        if (decision.admitted) {
            this.totals.recordLocalUse(workspace.name, units);
        }
        return decision;
    }

    /** Returns the units of a request that was not sent to any endpoint to the bucket. */
    refund(workspace: CatalogWorkspace, units: number): void {
        if (workspace.capPerSecond > 0) {
            this.buckets.get(workspace.name)?.add(units);
            this.totals.recordLocalUse(workspace.name, -units);
        }
    }

    /** Deducts the growth of a peer's cumulative totals from the buckets; `scope` tells which ingresses they cover. */
    recordPeerUse(peer: string, lifetime: string, counts: CapUseCounts, scope: ExchangeScope, now: number): void {
        const share = this.capShare(now);
        for (const [name, units] of this.totals.mergePeerTotals(peer, lifetime, counts, scope)) {
            const workspace = this.catalogWorkspaces.get(name);
            if (workspace !== undefined) {
                const bucket = this.bucket(workspace);
                bucket.refill(this.limits(workspace, share, now), now);
                bucket.add(-units);
                this.spareCap.recordPeerUse(name, units, now);
            }
        }
    }

    /** Replaces the workspaces whose caps are enforced. */
    setWorkspaces(workspaces: readonly CatalogWorkspace[]): void {
        this.catalogWorkspaces.clear();
        for (const workspace of workspaces) {
            if (workspace.capPerSecond > 0) {
                this.catalogWorkspaces.set(workspace.name, workspace);
            }
        }
    }

    /**
     * Returns the share of each cap that this ingress may use now. Most of the share of a silent minority passes to the
     * ingresses in contact with the leader. An ingress without contact to the leader and to half of the fleet may be
     * part of that minority, so it uses only the rest of its share. This does not apply to a process that has had no
     * answer of a leader since its start, because most likely the whole fleet has just started.
     */
    capShare(now: number): number {
        const { coveredMembers, members, silentMembers, leaderAnsweredAt } = this.coverage();
        if (members === 0) {
            return 0;
        }
        // Loss of peers is detected here because every admission and every report of a peer calls this method.
        this.spareCap.setCoveredMembers(coveredMembers, now);
        if (now - leaderAnsweredAt < leaderContactTimeoutMs(members)) {
            const releasedMembers = silentMembers * 2 < members ? silentMembers * releasedShare : 0;
            return Math.min(1, (coveredMembers + releasedMembers) / members);
        }
        const shareMayBeReleased = coveredMembers * 2 < members && leaderAnsweredAt > -Infinity;
        return Math.min(1, coveredMembers / members) * (shareMayBeReleased ? 1 - releasedShare : 1);
    }

    private limits(workspace: CatalogWorkspace, share: number, now: number): CapLimits {
        const { members, silentMembers } = this.coverage();
        const slack = capSlack(workspace, this.tolerance);
        const capPerMs = workspace.capPerSecond / 1_000;
        // Once the leader counts ingresses as silent, `capShare` reassigns their part and no estimate is needed.
        const sparePerMs = silentMembers > 0 ? 0 : this.spareCap.sparePerMs(workspace.name, capPerMs, members, now);
        return {
            size: (workspace.capBurst + slack) * share,
            slack: slack * share,
            ratePerMs: capPerMs * share + sparePerMs,
        };
    }

    private bucket(workspace: CatalogWorkspace): CapBucket {
        let bucket = this.buckets.get(workspace.name);
        if (bucket === undefined) {
            // Use by peers before the start of this process is unknown, so the bucket begins with one ingress's share.
            const { members } = this.coverage();
            const { size } = this.limits(workspace, members > 0 ? 1 / members : 0, this.startedAt);
            bucket = new CapBucket(size, this.startedAt);
            this.buckets.set(workspace.name, bucket);
        }
        return bucket;
    }
}

interface CapLimits extends BucketLimits {
    /** Part of the size in excess of the burst, in units. */
    slack: number;
}

/** Returns the units that a request of `units` must leave in the bucket. */
function reserveFor(units: number, { size, slack }: CapLimits): number {
    const maxReserve = Math.min(slack, size * smallRequestReserveShare);
    return maxReserve * Math.min(1, units / (size * largeRequestShare));
}
