import { BoundLengthModel } from "./answer-length-model.ts";
import type { AnswerLengthModel } from "./answer-length-model.ts";
import { PrecopyPolicy } from "./precopy-policy.ts";
import type { ReclaimedStream } from "./reclaim-policy.ts";
import { tokensToRecompute } from "./reclaim-policy.ts";

export interface PrecopyAfterNoticeOptions {
    /** Time after a notice in which another wave is expected. */
    windowMs: number;
    /** A copy is made for streams that are expected to go on for this time. */
    horizonMs: number;
    /** Smallest number of tokens for which a copy is made; smaller ones are exported fast enough after a notice. */
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
 * Reclaims come in waves, so copies are made for a time after each notice and not otherwise: the traffic between
 * failure domains costs money. The stream with the largest expected number of tokens to recompute is copied first.
 */
export class PrecopyAfterNotice extends PrecopyPolicy {
    private readonly options: PrecopyAfterNoticeOptions;
    private until = -Infinity;

    constructor(options: Partial<PrecopyAfterNoticeOptions> = {}) {
        super();
        this.options = { ...defaultPrecopyAfterNoticeOptions, ...options };
    }

    override onNotice(now: number): void {
        this.until = Math.max(this.until, now + this.options.windowMs);
    }

    override choose(streams: readonly ReclaimedStream[], now: number): ReclaimedStream | undefined {
        if (now >= this.until) {
            return undefined;
        }
        let best: ReclaimedStream | undefined;
        let bestLoss = 0;
        for (const stream of streams) {
            const tokens = tokensToRecompute(stream);
            const loss = tokens * this.survival(stream);
            if (stream.canExport && tokens >= this.options.minTokens && loss > bestLoss) {
                best = stream;
                bestLoss = loss;
            }
        }
        return best;
    }

    private survival(stream: ReclaimedStream): number {
        const more = this.options.horizonMs / stream.tokenIntervalMs;
        const bound = stream.producedTokens + stream.remainingTokens;
        return this.options.lengthModel.survival(stream.producedTokens, bound, more);
    }
}
