/**
 * Fraction of the grace time after which the ingress itself answers the requests that have no answer. It is less than
 * `closeFraction`, so that these answers are written before the connections close.
 */
const answerFraction = 7 / 8;
/**
 * Fraction of the grace time after which the remaining connections are closed. The rest is for the other components of
 * the process, and for a signal that is handled late.
 */
const closeFraction = 11 / 12;

/** The planned stop of an ingress: from a signal until the end of the grace time. */
export class PlannedStop {
    private startedAt: number | undefined;
    private readonly dueCallbacks = new Set<() => void>();

    constructor(private readonly graceMs: number) {}

    get begun(): boolean {
        return this.startedAt !== undefined;
    }

    /** Instant at which requests without an answer are answered by the ingress. */
    get answerAt(): number {
        return this.startedAt === undefined ? Infinity : this.startedAt + this.graceMs * answerFraction;
    }

    /** Instant at which streams that have not ended are broken off. */
    get closeAt(): number {
        return this.startedAt === undefined ? Infinity : this.startedAt + this.graceMs * closeFraction;
    }

    begin(now: number): void {
        this.startedAt ??= now;
    }

    /** Calls `callback` when a request without an answer must be answered; returns a function that cancels this. */
    onAnswersDue(callback: () => void): () => void {
        this.dueCallbacks.add(callback);
        return () => this.dueCallbacks.delete(callback);
    }

    /** Ends the requests without an answer if the instant for this has come. */
    advanceTo(now: number): void {
        if (now >= this.answerAt) {
            const callbacks = [...this.dueCallbacks];
            this.dueCallbacks.clear();
            callbacks.forEach(callback => callback());
        }
    }
}
