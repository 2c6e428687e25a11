/** Estimates from the answers that have ended how likely a stream is to go on for a number of tokens. */
export abstract class AnswerLengthModel {
    /** Probability that an answer of at most `bound` tokens, of which `produced` exist, has more than `more` to come. */
    abstract survival(produced: number, bound: number, more: number): number;
}

/** Assumes that every answer reaches its bound. */
export class BoundLengthModel extends AnswerLengthModel {
    override survival(produced: number, bound: number, more: number): number {
        return produced + more < bound ? 1 : 0;
    }
}
