import type { ExportBandwidth, ReclaimedStream } from "./reclaim-policy.ts";
import { exportMs, tokensToExport } from "./reclaim-policy.ts";

/** How an export failed. */
export interface ExportFailure {
    kind: "cut" | "refused";
    target: string;
    /** Leading tokens of prompt and answer that the target holds now; the part of the KV cache that arrived counts. */
    targetCachedTokens: number;
    /** Failures of this stream so far, with this one. */
    failureCount: number;
}

export type ExportFallback =
    /** Export from the token `fromToken` on; 0 stands for the first token that the target does not hold. */
    | { kind: "export-again"; target: string; fromToken: number; }
    /** Resume on `target`, or on any endpoint when there is none, and compute what it does not hold. */
    | { kind: "recompute"; target?: string; importedTokens: number; };

const maxFailures = 3;

/**
 * Decides what follows a failed export. After a cut the export goes on to the same target behind what it kept; a
 * target that refused is not asked again. The export goes on only when it ends before `usableUntil`, because the
 * stream produces nothing meanwhile.
 */
export function decideExportFallback(
    stream: ReclaimedStream,
    failure: ExportFailure,
    otherTargets: readonly string[],
    usableUntil: number,
    bandwidth: ExportBandwidth,
    now: number,
): ExportFallback {
    const cut = failure.kind === "cut";
    const reusableTokens = cut && bandwidth.targetsKeepPartial ? failure.targetCachedTokens : 0;
    const target = cut ? failure.target : otherTargets.find(other => other !== failure.target);
    const saved = Math.max(0, reusableTokens - stream.targetCachedTokens);
    const startAt = Math.max(now, bandwidth.busyUntil ?? now);
    const endAt = startAt + exportMs(stream, Math.max(0, tokensToExport(stream, 0) - saved), bandwidth);
    if (target === undefined || failure.failureCount >= maxFailures || endAt > usableUntil) {
        return reusableTokens > 0
            ? { kind: "recompute", target: failure.target, importedTokens: reusableTokens }
            : { kind: "recompute", importedTokens: 0 };
    }
    return { kind: "export-again", target, fromToken: reusableTokens };
}
