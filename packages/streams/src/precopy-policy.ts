import type { ReclaimedStream } from "./reclaim-policy.ts";

/** Chooses streams whose KV cache is copied to another failure domain before any notice for their endpoint. */
export abstract class PrecopyPolicy {
    /** Reports a reclaim notice for any endpoint. */
    abstract onNotice(now: number): void;

    /** The stream of an endpoint to copy next, or undefined when none is worth its bytes now. */
    abstract choose(streams: readonly ReclaimedStream[], now: number): ReclaimedStream | undefined;
}
