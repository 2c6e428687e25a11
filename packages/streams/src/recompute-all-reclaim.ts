import type { ExportBandwidth, ReclaimedStream, ReclaimNotice, ReclaimPlan } from "./reclaim-policy.ts";
import { ReclaimPolicy, recomputeStep } from "./reclaim-policy.ts";

/** Baseline of the bench: recomputes every stream as soon as the notice arrives. */
export class RecomputeAllReclaim extends ReclaimPolicy {
    override plan(
        streams: readonly ReclaimedStream[],
        notice: ReclaimNotice,
        bandwidth: ExportBandwidth,
        now: number,
    ): ReclaimPlan {
        void bandwidth;
        return { reclaimAt: notice.reclaimAt, steps: streams.map(stream => recomputeStep(stream, now)) };
    }
}
