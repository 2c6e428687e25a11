import type { ExportBandwidth, ReclaimedStream, ReclaimNotice, ReclaimPlan } from "./reclaim-policy.ts";
import { ReclaimPolicy, tokensToRecompute } from "./reclaim-policy.ts";

/** Baseline of the bench: recomputes every stream elsewhere as soon as the notice arrives. */
export class RecomputeAllReclaim extends ReclaimPolicy {
    override plan(
        streams: readonly ReclaimedStream[],
        notice: ReclaimNotice,
        bandwidth: ExportBandwidth,
        now: number,
    ): ReclaimPlan {
        void bandwidth;
        const steps = streams.map(stream => ({
            streamId: stream.id,
            action: "recompute" as const,
            startAt: now,
            endAt: now,
            recomputedTokens: tokensToRecompute(stream),
        }));
        return { reclaimAt: notice.reclaimAt, steps };
    }
}
