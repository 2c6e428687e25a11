import type { ExportBandwidth, ReclaimedStream, ReclaimNotice } from "./reclaim-policy.ts";
import { kvTokensAfter } from "./reclaim-policy.ts";

/** How an export failed. An engine keeps nothing of a truncated KV cache, so no part of it can be used. */
export interface ExportFailure {
    kind: "cut" | "refused";
    target: string;
    /** Failures of this stream so far, with this one. */
    failures: number;
}

export type ExportFallback =
    /** Export the whole KV cache again, to this target. */
    | { kind: "export-again"; target: string; }
    /** Resume from the received prefix on another endpoint. */
    | { kind: "recompute"; };

const maxFailures = 3;
const marginMs = 200;

/**
 * Decides what follows a failed export. A target that refused is not asked again; after a cut the same target may be
 * used. The export is repeated only when it ends before the reclaim, because a second failure costs the time that a
 * recomputation needs.
 */
export function afterExportFailure(
    stream: ReclaimedStream,
    failure: ExportFailure,
    targets: readonly string[],
    notice: ReclaimNotice,
    bandwidth: ExportBandwidth,
    now: number,
): ExportFallback {
    const target = targets.find(other => failure.kind === "cut" || other !== failure.target);
    const startAt = Math.max(now, bandwidth.busyUntil ?? now);
    const bytes = kvTokensAfter(stream, startAt - now) * stream.kvBytesPerToken;
    const endAt = startAt + bytes / bandwidth.bytesPerSecond * 1_000;
    if (target === undefined || failure.failures >= maxFailures || endAt > notice.reclaimAt - marginMs) {
        return { kind: "recompute" };
    }
    return { kind: "export-again", target };
}
