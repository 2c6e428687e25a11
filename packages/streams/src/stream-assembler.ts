/** Result of passing a token to the assembler. */
export type AcceptResult =
    /** The token is the next in order and is passed on to the caller. */
    | { kind: "released"; offset: number; text: string; }
    /** The token is discarded: its attempt is not the newest or must be replaced, or the answer is complete. */
    | { kind: "late"; }
    /** The token was already released with the same text and is dropped. */
    | { kind: "repeated"; }
    /** Tokens are missing before this token; the attempt must be cancelled and replaced. */
    | { kind: "gap"; expected: number; got: number; }
    /** The token was released with another text, so the attempt continues another answer and must be replaced. */
    | { kind: "mismatch"; offset: number; };

/** Text that a caller received before it resumed the answer at this entry. */
export interface ReceivedPrefix {
    /** Number of tokens in `text`. */
    offset: number;
    text: string;
}

/**
 * Assembles one gapless answer without repetitions from the output of several attempts. Only the newest attempt
 * counts: an earlier one may still send while its connection is being closed.
 */
export class StreamAssembler {
    private readonly texts: string[] = [];
    private currentAttempt = 0;
    private needsNewAttempt = true;
    private isComplete = false;

    constructor(private readonly prefix: ReceivedPrefix = { offset: 0, text: "" }) {}

    /** Number of the newest attempt; 0 before the first. */
    get attempt(): number {
        return this.currentAttempt;
    }

    /** Offset of the next expected token. */
    get nextOffset(): number {
        return this.prefix.offset + this.texts.length;
    }

    get complete(): boolean {
        return this.isComplete;
    }

    /** Returns the text from which the answer can be resumed. */
    received(): ReceivedPrefix {
        return { offset: this.nextOffset, text: this.prefix.text + this.texts.join("") };
    }

    /** Starts the next attempt and returns its number. */
    startAttempt(): number {
        this.needsNewAttempt = false;
        return ++this.currentAttempt;
    }

    accept(attempt: number, offset: number, text: string): AcceptResult {
        if (!this.isCurrent(attempt)) {
            return { kind: "late" };
        }
        if (offset > this.nextOffset) {
            this.needsNewAttempt = true;
            return { kind: "gap", expected: this.nextOffset, got: offset };
        }
        if (offset < this.nextOffset) {
            return this.acceptRepeated(offset, text);
        }
        this.texts.push(text);
        return { kind: "released", offset, text };
    }

    /** Marks the answer as complete; returns false if `attempt` no longer counts. */
    finish(attempt: number): boolean {
        if (!this.isCurrent(attempt)) {
            return false;
        }
        this.isComplete = true;
        return true;
    }

    private isCurrent(attempt: number): boolean {
        return attempt === this.currentAttempt && !this.needsNewAttempt && !this.isComplete;
    }

    /** Compares only tokens released here, because the prefix of the caller is not split into tokens. */
    private acceptRepeated(offset: number, text: string): AcceptResult {
        const releasedText = this.texts[offset - this.prefix.offset];
        if (releasedText !== undefined && releasedText !== text) {
            this.needsNewAttempt = true;
            return { kind: "mismatch", offset };
        }
        return { kind: "repeated" };
    }
}
