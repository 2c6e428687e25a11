/**
 * Time without progress after which a connection with unread answers is closed, in milliseconds, where the deadlines of
 * its requests are known. Ordinary callers pause for up to several seconds between two reads.
 */
export const unreadAnswerTimeoutMs = 6_000;
/** Time without progress from which the system is asked whether the caller reads, in milliseconds. */
const sampleAfterMs = 1_000;

/** How much of its answers the caller of one connection has taken. */
export interface AnswerProgress {
    /** Bytes of answers that the process holds. */
    unreadBytes: number;
    /** Bytes of answers that the system has taken from the process. */
    takenBytes: number;
    /**
     * Returns the latest deadline of the requests whose answers are due: -Infinity if none has one, Infinity while one of
     * them is running. Only asked if the caller has taken nothing for the whole timeout.
     */
    deadline(): number;
}

/**
 * Decides when a connection ends whose caller does not read. The system takes bytes from the process only once a third
 * of its send buffer is free, 1.4 MB with the largest buffers of Linux, so that a caller that reads 100 KB a second seems
 * to take nothing for 14 s. So the bytes that the caller has not acknowledged decide in the end.
 */
export class UnreadAnswerRule {
    private takenBytes = 0;
    private progressAt: number;
    /** Unacknowledged bytes soon after the last progress. */
    private sample: { bytes: number | undefined; } | undefined;

    constructor(now: number, private readonly timeoutMs = unreadAnswerTimeoutMs) {
        this.progressAt = now;
    }

    /** Looks at the connection; returns whether the unacknowledged bytes of the connection are to be recorded. */
    look({ unreadBytes, takenBytes, deadline }: AnswerProgress, now: number): boolean {
        if (unreadBytes === 0 || takenBytes !== this.takenBytes) {
            this.takenBytes = takenBytes;
            this.recordProgress(now);
            return false;
        }
        const stalledMs = now - this.progressAt;
        if (this.sample === undefined) {
            return stalledMs >= sampleAfterMs;
        }
        return stalledMs >= this.timeoutMs && now - deadline() >= this.timeoutMs;
    }

    /**
     * Records the bytes that the caller has not acknowledged, undefined if the system does not tell, after `look` has
     * asked for them. Returns whether the connection is to be closed.
     */
    recordUnacknowledged(bytes: number | undefined, now: number): boolean {
        const earlier = this.sample;
        if (earlier !== undefined && earlier.bytes === bytes) {
            return true;
        }
        if (earlier !== undefined) {
            this.recordProgress(now);
        }
        this.sample = { bytes };
        return false;
    }

    private recordProgress(now: number): void {
        this.progressAt = now;
        this.sample = undefined;
    }
}
