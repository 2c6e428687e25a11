/** A stream on an endpoint that is about to be reclaimed. */
export interface ReclaimedStream {
    id: string;
    promptTokens: number;
    /** Number of answer tokens produced so far. */
    producedTokens: number;
    /** Tokens of prompt and answer that the endpoint has not prefilled yet; 0 once it produces tokens. */
    uncomputedTokens: number;
    /** Maximum number of tokens still to be produced. */
    remainingTokens: number;
    /** Expected time between two tokens. */
    tokenIntervalMs: number;
    /** KV cache size of one token. */
    kvBytesPerToken: number;
    /**
     * Leading tokens of prompt and answer that the target endpoint holds, in its prefix cache or from an earlier copy.
     * These tokens are neither exported nor recomputed.
     */
    targetCachedTokens: number;
    /** Instant by which the answer must be complete. */
    deadline: number;
    /** Whether another endpoint has room for the KV cache. */
    canExport: boolean;
}

export interface ReclaimNotice {
    /** Instant at which the endpoint is reclaimed. */
    reclaimAt: number;
}

export interface ExportBandwidth {
    /** Rate shared by all exports of the endpoint. */
    bytesPerSecond: number;
    /** Instant at which the exports in progress end; undefined if there are none. */
    busyUntil?: number;
    /** Whether targets keep the leading tokens of a KV cache of which only a part arrives. */
    targetsKeepPartial: boolean;
}

export interface ReclaimStep {
    streamId: string;
    action: "finish" | "export" | "recompute";
    /** Instant at which the step starts. The stream continues on its endpoint until then. */
    startAt: number;
    /** Instant by which the step has ended on the reclaimed endpoint. */
    endAt: number;
    /** Tokens that are recomputed if the step succeeds, as expected at the time of planning. */
    recomputedTokens: number;
}

/** Plan with one step for each stream. Exports are made one after the other, in the order of the steps. */
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

/** Returns the number of tokens that another endpoint recomputes if the stream is moved now without an export. */
export function tokensToRecompute(stream: ReclaimedStream): number {
    return Math.max(
        0,
        stream.promptTokens + stream.producedTokens - stream.uncomputedTokens - stream.targetCachedTokens,
    );
}

/** Returns the number of tokens to export if the stream continues for `elapsedMs` before its export starts. */
export function tokensToExport(stream: ReclaimedStream, elapsedMs: number): number {
    const newTokens = Math.min(stream.remainingTokens, Math.ceil(elapsedMs / stream.tokenIntervalMs));
    // The prefill may complete while the stream waits for its export.
    const prefillTokens = elapsedMs > 0 ? stream.uncomputedTokens : 0;
    return tokensToRecompute(stream) + prefillTokens + newTokens;
}

/** Returns the time in milliseconds to export `tokens` tokens of the stream. */
export function exportMs(stream: ReclaimedStream, tokens: number, bandwidth: ExportBandwidth): number {
    return tokens * stream.kvBytesPerToken / bandwidth.bytesPerSecond * 1_000;
}
