import { AnswerLengthModel } from "./answer-length-model.ts";

const buckets = 50;

/**
 * Keeps a histogram of the length of ended answers relative to their bounds. Older answers lose weight, so that the
 * histogram follows a change of the workload; the memory is constant.
 */
export class ObservedLengthModel extends AnswerLengthModel {
    private readonly weights = new Array<number>(buckets).fill(0);
    private total = 0;

    /** `memory` is the number of answers after which the weight of an earlier one has fallen to 1/e. */
    constructor(private readonly memory = 2_000) {
        super();
    }

    /** Records an answer that ended by itself, not one that was cancelled. */
    record(length: number, bound: number): void {
        if (bound <= 0) {
            return;
        }
        const keep = 1 - 1 / this.memory;
        for (let i = 0; i < buckets; i++) {
            this.weights[i] = (this.weights[i] ?? 0) * keep;
        }
        const bucket = Math.min(buckets - 1, Math.floor(length / bound * buckets));
        this.weights[bucket] = (this.weights[bucket] ?? 0) + 1;
        this.total = this.total * keep + 1;
    }

    override survival(produced: number, bound: number, more: number): number {
        if (produced + more >= bound) {
            return 0;
        }
        const alive = this.longerThan(produced / bound);
        // Without an answer of this length nothing is known, and the bound is all there is.
        return alive <= 0 ? 1 : Math.min(1, this.longerThan((produced + more) / bound) / alive);
    }

    /** Weight of the answers longer than this share of their bounds; within a bucket they are spread evenly. */
    private longerThan(share: number): number {
        const position = share * buckets;
        const bucket = Math.floor(position);
        let weight = (this.weights[bucket] ?? 0) * (1 - (position - bucket));
        for (let i = bucket + 1; i < buckets; i++) {
            weight += this.weights[i] ?? 0;
        }
        return this.total > 0 ? weight / this.total : 0;
    }
}
