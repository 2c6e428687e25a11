/** A stream on an endpoint that is about to be reclaimed. */
export interface ReclaimedStream {
    id: string;
    promptTokens: number;
    /** Tokens of the answer produced so far. */
    producedTokens: number;
    /** Tokens of prompt and answer that the endpoint has not prefilled yet; 0 once it produces tokens. */
    uncomputedTokens: number;
    /** Upper bound of the tokens still to be produced. */
    remainingTokens: number;
    /** Time between two tokens. */
    tokenIntervalMs: number;
    /** Size of the KV cache of one token. */
    kvBytesPerToken: number;
    /**
     * Leading tokens of prompt and answer that the endpoint which takes over holds, in its prefix cache or from an
     * earlier copy; they are neither exported nor recomputed.
     */
    targetCachedTokens: number;
    /** Instant by which the answer must be complete. */
    deadline: number;
    /** False when no other endpoint has room for the KV cache. */
    canExport: boolean;
}

export interface ReclaimNotice {
    /** Instant at which the endpoint goes away. */
    reclaimAt: number;
}

export interface ExportBandwidth {
    /** Rate that all exports of the endpoint share. */
    bytesPerSecond: number;
    /** Instant at which the exports in progress end, when there are any. */
    busyUntil?: number;
    /** Whether targets keep the leading tokens of a KV cache that arrives in part. */
    targetsKeepPartial: boolean;
}

export interface ReclaimStep {
    streamId: string;
    action: "finish" | "export" | "recompute";
    /** Instant at which the step starts. A stream goes on in place until then. */
    startAt: number;
    /** Instant by which the step has ended at the reclaimed endpoint. */
    endAt: number;
    /** Tokens that are computed again when the step succeeds, as far as known now. */
    recomputedTokens: number;
}

/** One step for each stream. Exports are in the order in which they are made, one after the other. */
export interface ReclaimPlan {
    reclaimAt: number;
    steps: readonly ReclaimStep[];
}

/** Decides what happens to each stream of an endpoint between notice and reclaim. */
export abstract class ReclaimPolicy {
    abstract plan(
        streams: readonly ReclaimedStream[],
        notice: ReclaimNotice,
        bandwidth: ExportBandwidth,
        now: number,
    ): ReclaimPlan;
}

/** Tokens that another endpoint computes again when the stream is recomputed now. */
export function tokensToRecompute(stream: ReclaimedStream): number {
    return Math.max(
        0,
        stream.promptTokens + stream.producedTokens - stream.uncomputedTokens - stream.targetCachedTokens,
    );
}

/** Tokens to export when the stream goes on for `elapsedMs` before its export starts. */
export function tokensToExport(stream: ReclaimedStream, elapsedMs: number): number {
    const produced = Math.min(stream.remainingTokens, Math.ceil(elapsedMs / stream.tokenIntervalMs));
    // Prefill of the rest may end while the stream waits for its export.
    const uncomputed = elapsedMs > 0 ? stream.uncomputedTokens : 0;
    return tokensToRecompute(stream) + uncomputed + produced;
}

/** Time to export a number of tokens of the stream. */
export function exportMs(stream: ReclaimedStream, tokens: number, bandwidth: ExportBandwidth): number {
    return tokens * stream.kvBytesPerToken / bandwidth.bytesPerSecond * 1_000;
}
