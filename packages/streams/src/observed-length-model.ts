import { AnswerLengthModel } from "./answer-length-model.ts";

const bucketCount = 50;

/**
 * Estimates from a histogram of the lengths of completed answers relative to their bounds. The weights decay, so that
 * the histogram follows changes of the workload; the memory use is constant.
 */
export class ObservedLengthModel extends AnswerLengthModel {
    private readonly weights = new Array<number>(bucketCount).fill(0);
    private totalWeight = 0;

    /** `decayAnswers` is the number of answers after which the weight of an earlier answer has decayed to 1/e. */
    constructor(private readonly decayAnswers = 2_000) {
        super();
    }

    /** Records the length of a completed answer. Cancelled answers must not be recorded. */
    record(lengthTokens: number, boundTokens: number): void {
        if (boundTokens <= 0) {
            return;
        }
        const decayFactor = 1 - 1 / this.decayAnswers;
        for (let i = 0; i < bucketCount; i++) {
            this.weights[i] = (this.weights[i] ?? 0) * decayFactor;
        }
        const bucket = Math.min(bucketCount - 1, Math.floor(lengthTokens / boundTokens * bucketCount));
        this.weights[bucket] = (this.weights[bucket] ?? 0) + 1;
        this.totalWeight = this.totalWeight * decayFactor + 1;
    }

    override survival(producedTokens: number, boundTokens: number, furtherTokens: number): number {
        if (producedTokens + furtherTokens >= boundTokens) {
            return 0;
        }
        const longerThanProduced = this.shareLongerThan(producedTokens / boundTokens);
        // Without a recorded answer longer than this one, the answer is assumed to reach its bound.
        return longerThanProduced <= 0
            ? 1
            : Math.min(1, this.shareLongerThan((producedTokens + furtherTokens) / boundTokens) / longerThanProduced);
    }

    /** Returns the share of answers longer than `share` of their bounds, assuming an even spread within a bucket. */
    private shareLongerThan(share: number): number {
        const position = share * bucketCount;
        const bucket = Math.floor(position);
        let weight = (this.weights[bucket] ?? 0) * (1 - (position - bucket));
        for (let i = bucket + 1; i < bucketCount; i++) {
            weight += this.weights[i] ?? 0;
        }
        return this.totalWeight > 0 ? weight / this.totalWeight : 0;
    }
}
