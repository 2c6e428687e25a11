import type { ReclaimedStream } from "./reclaim-policy.ts";

/** Chooses streams whose KV cache is copied to another failure domain before their endpoint gets a reclaim notice. */
export abstract class PrecopyPolicy {
    /** Handles a reclaim notice for any endpoint. */
    abstract onNotice(now: number): void;

    /** Returns the stream of an endpoint to copy next, or undefined if no copy is worth its traffic now. */
    abstract choose(streams: readonly ReclaimedStream[], now: number): ReclaimedStream | undefined;
}
