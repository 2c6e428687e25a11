import type { CatalogWorkspace } from "@lentilramp/catalog";
import { CapBucket, type CapVerdict } from "./cap-bucket.ts";
import { capSlack, type CapTolerance } from "./cap-meter.ts";

/** Part of each cap that no ingress holds, so that it serves a clump of requests wherever that arrives. */
export const capPoolPart = 0.4;

/**
 * The part of each workspace's cap that the leading steward gives out request by request. Split over many ingresses, a
 * small cap is less than one large request in each of them; in one place it is not.
 */
export class CapPool {
    private readonly buckets = new Map<string, CapBucket>();

    constructor(private readonly tolerance: CapTolerance, private startedAt: number) {}

    /** Starts empty: what the leader before has given out is not known. */
    restart(now: number): void {
        this.startedAt = now;
        this.buckets.clear();
    }

    /** Takes `units` for one request. */
    draw(workspace: CatalogWorkspace, units: number, now: number): CapVerdict {
        const size = (workspace.capBurst + capSlack(workspace, this.tolerance)) * capPoolPart;
        const bucket = this.buckets.get(workspace.name) ?? new CapBucket(0, this.startedAt);
        this.buckets.set(workspace.name, bucket);
        return bucket.take(units, { size, ratePerMs: workspace.capPerSecond * capPoolPart / 1_000 }, now);
    }
}
