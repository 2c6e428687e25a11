import type { CatalogWorkspace } from "@lentilramp/catalog";
import { type BucketLimits, CapBucket, type CapDecision } from "./cap-bucket.ts";
import { type CapUseCounts, CapUseTotals } from "./cap-use-totals.ts";
import type { ExchangeScope } from "./exchange-topology.ts";
import { SpareCapEstimate } from "./spare-cap-estimate.ts";
import { leaderContactTimeoutMs } from "./sync-timing.ts";

/** By how much the use of a cap over all ingresses may exceed the cap in a window. */
export interface CapTolerance {
    /** Relative to what the cap allows in the window. */
    overshoot: number;
    windowMs: number;
    /** In units of the cap. */
    units: number;
}

/** Part of the tolerance that absorbs uneven arrivals; the rest covers what the others use before it is heard of. */
const usedTolerance = 0.5;

/**
 * Part of a bucket that large requests leave to small ones, which serve more callers for the same units. It is taken
 * from the slack only, so that the burst of a workspace is there for whatever it sends.
 */
const smallReservePart = 0.3;
/** Units from which a request counts as large, relative to the bucket. */
const largeRequestPart = 0.02;
/** Part of what silent ingresses may use that is handed to those in contact with the leader. */
const releasedPart = 0.7;
/** What an ingress knows of the fleet over which a cap holds. */
export interface FleetCoverage {
    /** Ingresses of which the use is known here, this one included. */
    coveredMembers: number;
    /** Ingresses that may be at work, this one included; 0 when not known. */
    members: number;
    /** Ingresses that the leader has not heard of for long. */
    silentMembers: number;
    /** Instant of the last answer of the leader. */
    leaderAnsweredAt: number;
}

/** Units beyond the burst that the bucket of a workspace may hold. */
function capSlack({ capPerSecond, capBurst }: CatalogWorkspace, tolerance: CapTolerance): number {
    const { overshoot, windowMs, units } = tolerance;
    return usedTolerance * (overshoot * (capPerSecond * windowMs / 1_000 + capBurst) + units);
}

/**
 * Enforces the caps of workspaces over all ingresses without a call for a request. Each ingress has one bucket a
 * workspace from which it also takes what the others say that they have used. An ingress that hears of a part of the
 * fleet only uses that part of the cap, so that parts that do not hear of each other never use more than the whole.
 */
export class CapMeter {
    readonly totals = new CapUseTotals();
    private readonly buckets = new Map<string, CapBucket>();
    private readonly catalogWorkspaces = new Map<string, CatalogWorkspace>();
    private readonly lost = new SpareCapEstimate();

    constructor(
        private readonly tolerance: CapTolerance,
        private readonly coverage: () => FleetCoverage,
        private readonly startedAt: number,
    ) {}

    /** Whether the number of ingresses is known; without it nothing can be admitted. */
    get fleetSizeKnown(): boolean {
        return this.coverage().members > 0;
    }

    /** Units of a request under the rule of its workspace. */
    static requestUnits(workspace: CatalogWorkspace, declaredTokens: number | undefined): number {
        return workspace.countsTokens ? declaredTokens ?? workspace.plainTokens : 1;
    }

    tryUse(workspace: CatalogWorkspace, units: number, now: number): CapDecision {
        if (workspace.capPerSecond <= 0) {
            return { admitted: true };
        }
        const limits = this.limits(workspace, this.part(now), now);
        const verdict = this.bucket(workspace).tryTake(units, { ...limits, reserve: reserveFor(units, limits) }, now);
        if (verdict.admitted) {
            this.totals.recordLocalUse(workspace.name, units);
        }
        return verdict;
    }

    /** Gives back units of a request that was not sent to any endpoint. */
    refund(workspace: CatalogWorkspace, units: number): void {
        if (workspace.capPerSecond > 0) {
            this.buckets.get(workspace.name)?.add(units);
            this.totals.recordLocalUse(workspace.name, -units);
        }
    }

    /** Takes the sums that a peer told, which contain what its scope says. */
    recordPeerUse(peer: string, lifetime: string, counts: CapUseCounts, scope: ExchangeScope, now: number): void {
        const capShare = this.part(now);
        for (const [name, units] of this.totals.mergePeerTotals(peer, lifetime, counts, scope)) {
            const workspace = this.catalogWorkspaces.get(name);
            if (workspace !== undefined) {
                const bucket = this.bucket(workspace);
                bucket.refill(this.limits(workspace, capShare, now), now);
                bucket.add(-units);
                this.lost.recordPeerUse(name, units, now);
            }
        }
    }

    /** Takes the caps in force. */
    setWorkspaces(workspaces: readonly CatalogWorkspace[]): void {
        this.catalogWorkspaces.clear();
        for (const workspace of workspaces) {
            if (workspace.capPerSecond > 0) {
                this.catalogWorkspaces.set(workspace.name, workspace);
            }
        }
    }

    /**
     * Part of each cap that this ingress may use at present. What a silent minority may use is mostly handed to those
     * in contact with the leader; one that no longer hears the leader nor half of the fleet may belong to that minority.
     * A process that has not heard a leader since its start has more likely started together with the whole fleet.
     */
    part(now: number): number {
        const { coveredMembers, members, silentMembers, leaderAnsweredAt } = this.coverage();
        if (members === 0) {
            return 0;
        }
        // A loss is noticed here, because every use and every message asks for the part.
        this.lost.setCoveredMembers(coveredMembers, now);
        if (now - leaderAnsweredAt < leaderContactTimeoutMs(members)) {
            const released = silentMembers * 2 < members ? silentMembers * releasedPart : 0;
            return Math.min(1, (coveredMembers + released) / members);
        }
        const mayBeReleased = coveredMembers * 2 < members && leaderAnsweredAt > -Infinity;
        return Math.min(1, coveredMembers / members) * (mayBeReleased ? 1 - releasedPart : 1);
    }

    private limits(workspace: CatalogWorkspace, part: number, now: number): CapLimits {
        const { members, silentMembers } = this.coverage();
        const slack = capSlack(workspace, this.tolerance);
        const capPerMs = workspace.capPerSecond / 1_000;
        // Once the leader has handed the part of the silent ones on, there is nothing left to assume.
        const spare = silentMembers > 0 ? 0 : this.lost.sparePerMs(workspace.name, capPerMs, members, now);
        return {
            size: (workspace.capBurst + slack) * part,
            slack: slack * part,
            ratePerMs: capPerMs * part + spare,
        };
    }

    private bucket(workspace: CatalogWorkspace): CapBucket {
        let bucket = this.buckets.get(workspace.name);
        if (bucket === undefined) {
            // What the others had used before the start is not known, so a new process begins with its own part.
            const { members } = this.coverage();
            const { size } = this.limits(workspace, members > 0 ? 1 / members : 0, this.startedAt);
            bucket = new CapBucket(size, this.startedAt);
            this.buckets.set(workspace.name, bucket);
        }
        return bucket;
    }
}

interface CapLimits extends BucketLimits {
    /** Part of the size that lies beyond the burst. */
    slack: number;
}

/** Units that a request of `units` must leave in the bucket. */
function reserveFor(units: number, { size, slack }: CapLimits): number {
    const most = Math.min(slack, size * smallReservePart);
    return most * Math.min(1, units / (size * largeRequestPart));
}
