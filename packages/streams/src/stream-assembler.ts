/** What became of a token. */
export type AcceptResult =
    /** Next in order; it is passed on to the caller. */
    | { kind: "released"; offset: number; text: string; }
    /** From an earlier attempt, from a replaced one, or after the end; it is discarded. */
    | { kind: "late"; }
    /** Already released with the same text; it is dropped. */
    | { kind: "repeated"; }
    /** Tokens are missing before this one; the attempt must be cancelled and replaced. */
    | { kind: "gap"; expected: number; got: number; }
    /** Already released with another text, so the continuation belongs to another answer; replace the attempt. */
    | { kind: "mismatch"; offset: number; };

/** Text received by a caller before it came to this entry. */
export interface ReceivedPrefix {
    /** Number of its tokens. */
    offset: number;
    text: string;
}

/**
 * Builds one unbroken answer without repetitions from the output of several attempts. Only the newest attempt
 * counts: an earlier one may still send while its connection is being closed.
 */
export class StreamAssembler {
    private readonly texts: string[] = [];
    private currentAttempt = 0;
    private isReplaced = true;
    private isComplete = false;

    constructor(private readonly prefix: ReceivedPrefix = { offset: 0, text: "" }) {}

    /** Number of the newest attempt; 0 before the first. */
    get attempt(): number {
        return this.currentAttempt;
    }

    /** Offset of the next token. */
    get nextOffset(): number {
        return this.prefix.offset + this.texts.length;
    }

    get complete(): boolean {
        return this.isComplete;
    }

    /** The text from which the answer can be resumed; `offset` is the number of its tokens. */
    received(): ReceivedPrefix {
        return { offset: this.nextOffset, text: this.prefix.text + this.texts.join("") };
    }

    /** Begins the next attempt and returns its number. */
    startAttempt(): number {
        this.isReplaced = false;
        return ++this.currentAttempt;
    }

    accept(attempt: number, offset: number, text: string): AcceptResult {
        if (!this.isCurrent(attempt)) {
            return { kind: "late" };
        }
        if (offset > this.nextOffset) {
            this.isReplaced = true;
            return { kind: "gap", expected: this.nextOffset, got: offset };
        }
        if (offset < this.nextOffset) {
            return this.acceptAgain(offset, text);
        }
        this.texts.push(text);
        return { kind: "released", offset, text };
    }

    /** Records the end of the answer; returns false when it comes from an attempt that no longer counts. */
    finish(attempt: number): boolean {
        if (!this.isCurrent(attempt)) {
            return false;
        }
        this.isComplete = true;
        return true;
    }

    private isCurrent(attempt: number): boolean {
        return attempt === this.currentAttempt && !this.isReplaced && !this.isComplete;
    }

    /** Single tokens of the caller's prefix are unknown, so only tokens released here are compared. */
    private acceptAgain(offset: number, text: string): AcceptResult {
        const known = this.texts[offset - this.prefix.offset];
        if (known !== undefined && known !== text) {
            this.isReplaced = true;
            return { kind: "mismatch", offset };
        }
        return { kind: "repeated" };
    }
}
