/** Estimates the probability that the answer of a stream continues for a given number of tokens. */
export abstract class AnswerLengthModel {
    /**
     * Returns the probability that more than `furtherTokens` tokens follow in an answer that has `producedTokens` and
     * may have at most `boundTokens`.
     */
    abstract survival(producedTokens: number, boundTokens: number, furtherTokens: number): number;
}

/** Assumes that every answer reaches its maximum length. */
export class BoundLengthModel extends AnswerLengthModel {
    override survival(producedTokens: number, boundTokens: number, furtherTokens: number): number {
        return producedTokens + furtherTokens < boundTokens ? 1 : 0;
    }
}
