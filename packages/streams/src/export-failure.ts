import type { ExportBandwidth, ReclaimedStream } from "./reclaim-policy.ts";
import { exportMs, tokensToExport } from "./reclaim-policy.ts";

/** A failed export of a KV cache. */
export interface ExportFailure {
    kind: "cut" | "refused";
    target: string;
    /** Leading tokens of prompt and answer that the target holds now, including the part of the export that arrived. */
    targetCachedTokens: number;
    /** Number of failed exports of this stream so far, including this one. */
    failureCount: number;
}

export type ExportFallback =
    /** Export from token `fromToken` on; 0 stands for the first token that the target does not hold. */
    | { kind: "export-again"; target: string; fromToken: number; }
    /** Resume on `target`, or on any endpoint if undefined, and compute the tokens that the endpoint does not hold. */
    | { kind: "recompute"; target?: string; importedTokens: number; };

const maxFailuresPerStream = 3;

/**
 * Decides how to continue after a failed export. After a cut connection, the export continues to the same target after
 * the tokens that the target kept; a target that refused is not tried again. The export continues only if it ends
 * before `usableUntil`, because the stream produces no tokens meanwhile.
 */
export function decideExportFallback(
    stream: ReclaimedStream,
    failure: ExportFailure,
    otherTargets: readonly string[],
    usableUntil: number,
    bandwidth: ExportBandwidth,
    now: number,
): ExportFallback {
    const isCut = failure.kind === "cut";
    const reusableTokens = isCut && bandwidth.targetsKeepPartial ? failure.targetCachedTokens : 0;
    const target = isCut ? failure.target : otherTargets.find(other => other !== failure.target);
    const arrivedTokens = Math.max(0, reusableTokens - stream.targetCachedTokens);
    const startAt = Math.max(now, bandwidth.busyUntil ?? now);
    const endAt = startAt + exportMs(stream, Math.max(0, tokensToExport(stream, 0) - arrivedTokens), bandwidth);
    if (target === undefined || failure.failureCount >= maxFailuresPerStream || endAt > usableUntil) {
        return reusableTokens > 0
            ? { kind: "recompute", target: failure.target, importedTokens: reusableTokens }
            : { kind: "recompute", importedTokens: 0 };
    }
    return { kind: "export-again", target, fromToken: reusableTokens };
}
