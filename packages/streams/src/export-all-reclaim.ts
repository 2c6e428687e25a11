import type { ExportBandwidth, ReclaimedStream, ReclaimNotice, ReclaimPlan } from "./reclaim-policy.ts";
import { exportMs, ReclaimPolicy, tokensToExport } from "./reclaim-policy.ts";

/** Baseline of the bench: exports every stream in the given order, even if the time is too short. */
export class ExportAllReclaim extends ReclaimPolicy {
    override plan(
        streams: readonly ReclaimedStream[],
        notice: ReclaimNotice,
        bandwidth: ExportBandwidth,
        now: number,
    ): ReclaimPlan {
        let startAt = Math.max(now, bandwidth.busyUntil ?? now);
        const steps = streams.map(stream => {
            const endAt = startAt + exportMs(stream, tokensToExport(stream, startAt - now), bandwidth);
            const step = { streamId: stream.id, action: "export" as const, startAt, endAt, recomputedTokens: 0 };
            startAt = endAt;
            return step;
        });
        return { reclaimAt: notice.reclaimAt, steps };
    }
}
