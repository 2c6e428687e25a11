import type { CatalogWorkspace } from "@lentilramp/catalog";
import { CapBucket, type CapVerdict } from "./cap-bucket.ts";

/** Part of a workspace's cap that one ingress may use. */
export interface CapShare {
    /** Between 0 and 1. */
    share: number;
    /** Instant from which only `floor` is left. */
    expiresAt: number;
    /** The part that stays when the share has expired. */
    floor: number;
}

/** By how much the use of a cap over all ingresses may exceed the cap in a window. */
export interface CapTolerance {
    /** Relative to what the cap allows in the window. */
    overshoot: number;
    windowMs: number;
    /** In units of the cap. */
    units: number;
}

/** Part of the tolerance that is used to absorb uneven arrivals; the rest covers shares that are being moved. */
const usedTolerance = 0.5;

/** Units beyond the burst that all buckets of a workspace may hold together. */
export function capSlack({ capPerSecond, capBurst }: CatalogWorkspace, tolerance: CapTolerance): number {
    const { overshoot, windowMs, units } = tolerance;
    return usedTolerance * (overshoot * (capPerSecond * windowMs / 1_000 + capBurst) + units);
}

/** Enforces this ingress's part of each workspace's cap with one token bucket a workspace. */
export class CapMeter {
    constructor(private readonly tolerance: CapTolerance = { overshoot: 0, windowMs: 0, units: 0 }) {}

    private readonly buckets = new Map<string, CapBucket>();
    private readonly shares = new Map<string, CapShare>();
    private readonly asked = new Map<string, number>();

    setShare(workspace: string, share: CapShare): void {
        this.shares.set(workspace, share);
    }

    /** Takes a floor for workspaces of which no share is known. */
    offerFloor(workspaces: readonly string[], floor: number): void {
        for (const workspace of workspaces) {
            if (!this.shares.has(workspace)) {
                this.shares.set(workspace, { share: floor, floor, expiresAt: Infinity });
            }
        }
    }

    get knowsAny(): boolean {
        return this.shares.size > 0;
    }

    /** Units of a request under the rule of its workspace. */
    static units(workspace: CatalogWorkspace, declaredTokens: number | undefined): number {
        return workspace.countsTokens ? declaredTokens ?? workspace.plainTokens : 1;
    }

    tryUse(workspace: CatalogWorkspace, units: number, now: number): CapVerdict {
        this.asked.set(workspace.name, (this.asked.get(workspace.name) ?? 0) + units);
        if (workspace.capPerSecond <= 0) {
            return { admitted: true };
        }
        const share = this.shareOf(workspace.name, now);
        const size = (workspace.capBurst + capSlack(workspace, this.tolerance)) * share;
        // A process that starts has used nothing; while it was away, neither had the one before it.
        const bucket = this.buckets.get(workspace.name) ?? new CapBucket(size, now);
        this.buckets.set(workspace.name, bucket);
        return bucket.take(units, { size, ratePerMs: workspace.capPerSecond * share / 1_000 }, now);
    }

    /** Gives back units of a request that was not sent to any endpoint. */
    refund(workspace: CatalogWorkspace, units: number): void {
        this.buckets.get(workspace.name)?.giveBack(units);
    }

    /** Units asked for since the last call, by workspace. */
    takeAsked(): Record<string, number> {
        const asked = Object.fromEntries(this.asked);
        this.asked.clear();
        return asked;
    }

    private shareOf(workspace: string, now: number): number {
        const share = this.shares.get(workspace);
        if (share === undefined) {
            return 0;
        }
        return now < share.expiresAt ? share.share : share.floor;
    }
}
