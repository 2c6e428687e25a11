/**
 * Fraction of the grace time after which the ingress itself answers the requests that have no answer. It is less than
 * `closeFraction`, so that these answers are written before the connections close.
 */
const answerFraction = 7 / 8;
/**
 * Multiple of a request's expected time that must be left for it. A request that a stop interrupts may be lost, while a
 * refusal costs its caller little.
 */
const cautionFactor = 2;
/**
 * Fraction of the grace time within which an expected time may decide whether a request is taken. Recent answers bound
 * no later one, and a caller that asks this ingress later may well ask another one.
 */
const estimateFraction = 1 / 4;
/**
 * Fraction of the grace time after which the remaining connections are closed. The rest is for the other components of
 * the process, and for a signal that is handled late.
 */
const closeFraction = 11 / 12;

/** The planned stop of an ingress: from a signal until the end of the grace time. */
export class PlannedStop {
    private startedAt: number | undefined;
    private ended = false;
    private answersDue = false;
    private readonly dueCallbacks = new Set<() => void>();

    constructor(private readonly graceMs: number) {}

    get begun(): boolean {
        return this.startedAt !== undefined;
    }

    /** Instant of the signal; undefined while no stop has begun. */
    get begunAt(): number | undefined {
        return this.startedAt;
    }

    /** Instant at which requests without an answer are answered by the ingress. */
    get answerAt(): number {
        return this.startedAt === undefined ? Infinity : this.startedAt + this.graceMs * answerFraction;
    }

    /** Instant at which streams that have not ended are broken off. */
    get closeAt(): number {
        return this.startedAt === undefined ? Infinity : this.startedAt + this.graceMs * closeFraction;
    }

    begin(startedAt: number): void {
        this.startedAt ??= startedAt;
    }

    /** From now on, no request is taken. */
    stopTaking(): void {
        this.ended = true;
    }

    /** Whether every new request is refused, however short its answer is. */
    takesNone(now: number): boolean {
        return this.ended || now >= this.answerAt;
    }

    /**
     * Whether the answer to a request ends in time. It may take until its deadline if nothing is known about the time
     * that it takes, or the stop has lasted for too long to rely on that.
     */
    leavesTimeFor(req: { deadline: number; expectedMs: number | undefined; }, now: number): boolean {
        const isEarly = this.startedAt === undefined || now < this.startedAt + this.graceMs * estimateFraction;
        const expectedMs = isEarly ? req.expectedMs ?? Infinity : Infinity;
        const endsBy = Math.min(req.deadline, now + expectedMs * cautionFactor);
        return !this.takesNone(now) && endsBy <= this.answerAt;
    }

    /** Calls `callback` when a request without an answer must be answered; returns a function that cancels this. */
    onAnswersDue(callback: () => void): () => void {
        this.dueCallbacks.add(callback);
        return () => this.dueCallbacks.delete(callback);
    }

    /** Waits for `work`, but not longer than until a request without an answer must be answered. */
    async waitFor<T>(work: Promise<T>): Promise<T | "answers due"> {
        let cancel: () => void = () => undefined;
        const due = new Promise<"answers due">(resolve => {
            if (this.answersDue) {
                // What has been received with the head of a request is still read.
                setImmediate(resolve, "answers due");
            }
            else {
                cancel = this.onAnswersDue(() => resolve("answers due"));
            }
        });
        try {
            return await Promise.race([work, due]);
        }
        finally {
            cancel();
        }
    }

    /** Ends the requests without an answer if the instant for this has come. */
    advanceTo(now: number): void {
        if (now >= this.answerAt) {
            this.end();
        }
    }

    /** Takes no more requests, and ends those without an answer. */
    end(): void {
        this.ended = true;
        this.answersDue = true;
        const callbacks = [...this.dueCallbacks];
        this.dueCallbacks.clear();
        callbacks.forEach(callback => callback());
    }
}
