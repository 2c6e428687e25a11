import { BoundLengthModel } from "./answer-length-model.ts";
import type { AnswerLengthModel } from "./answer-length-model.ts";
import { PrecopyPolicy } from "./precopy-policy.ts";
import type { ReclaimedStream } from "./reclaim-policy.ts";
import { tokensToRecompute } from "./reclaim-policy.ts";

export interface PrecopyAfterNoticeOptions {
    /** Time after a notice in which another wave of reclaims is expected. */
    windowMs: number;
    /** Streams are weighted by the probability that they continue for this time. */
    horizonMs: number;
    /** Minimum number of tokens for which a copy is made; fewer tokens are exported fast enough after a notice. */
    minTokens: number;
    lengthModel: AnswerLengthModel;
}

export const defaultPrecopyAfterNoticeOptions: PrecopyAfterNoticeOptions = {
    windowMs: 60_000,
    horizonMs: 8_000,
    minTokens: 256,
    lengthModel: new BoundLengthModel(),
};

/**
 * Copies only for some time after each notice, because reclaims come in waves and traffic between failure domains costs
 * money. The stream with the largest expected number of tokens to recompute is copied first.
 */
export class PrecopyAfterNotice extends PrecopyPolicy {
    private readonly options: PrecopyAfterNoticeOptions;
    private activeUntil = -Infinity;

    constructor(options: Partial<PrecopyAfterNoticeOptions> = {}) {
        super();
        this.options = { ...defaultPrecopyAfterNoticeOptions, ...options };
    }

    override onNotice(now: number): void {
        this.activeUntil = Math.max(this.activeUntil, now + this.options.windowMs);
    }

    override choose(streams: readonly ReclaimedStream[], now: number): ReclaimedStream | undefined {
        if (now >= this.activeUntil) {
            return undefined;
        }
        let best: ReclaimedStream | undefined;
        let bestExpectedTokens = 0;
        for (const stream of streams) {
            const tokens = tokensToRecompute(stream);
            const expectedTokens = tokens * this.survival(stream);
            if (stream.canExport && tokens >= this.options.minTokens && expectedTokens > bestExpectedTokens) {
                best = stream;
                bestExpectedTokens = expectedTokens;
            }
        }
        return best;
    }

    private survival(stream: ReclaimedStream): number {
        const furtherTokens = this.options.horizonMs / stream.tokenIntervalMs;
        const boundTokens = stream.producedTokens + stream.remainingTokens;
        return this.options.lengthModel.survival(stream.producedTokens, boundTokens, furtherTokens);
    }
}
