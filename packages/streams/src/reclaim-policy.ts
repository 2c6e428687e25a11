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
    /** Leading prompt tokens in the prefix cache of the endpoint that would recompute the stream. */
    cachedPromptTokens: number;
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
}

export interface ReclaimStep {
    streamId: string;
    action: "finish" | "export" | "recompute";
    /** Instant at which an export starts, or at which the other actions take effect. */
    startAt: number;
    /** Instant by which the action has ended at the reclaimed endpoint. */
    endAt: number;
    /** Tokens that are computed again when the step succeeds. */
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
    const cached = Math.min(stream.cachedPromptTokens, stream.promptTokens);
    return Math.max(0, stream.promptTokens + stream.producedTokens - stream.uncomputedTokens - cached);
}

/** Tokens in the KV cache of the stream after it has gone on for `elapsedMs`. */
export function kvTokensAfter(stream: ReclaimedStream, elapsedMs: number): number {
    const produced = Math.min(stream.remainingTokens, Math.ceil(elapsedMs / stream.tokenIntervalMs));
    // Prefill of the rest may end while the stream waits for its export.
    const uncomputed = elapsedMs > 0 ? 0 : stream.uncomputedTokens;
    return stream.promptTokens + stream.producedTokens - uncomputed + produced;
}

/** The step that recomputes a stream on another endpoint from now on. */
export function recomputeStep(stream: ReclaimedStream, now: number): ReclaimStep {
    return {
        streamId: stream.id,
        action: "recompute",
        startAt: now,
        endAt: now,
        recomputedTokens: tokensToRecompute(stream),
    };
}
