import { entryChars, type Write } from "@lentilramp/agreement";

/** Limits of one journal record, in writes and in characters of their content. A larger write has its own record. */
const maxWritesPerRecord = 64;
const maxCharsPerRecord = 1_048_576;

export interface QueueLimits {
    /** Number of writes above which the queue overflows. */
    maxQueuedWrites: number;
    /** Number of characters of their content above which the queue overflows. */
    maxQueuedChars: number;
}

/** Returns the number of characters of a write that can be large. */
function contentChars(write: Write): number {
    switch (write.type) {
        case "save-state":
            return 0;
        case "append":
            return write.entries.reduce((sum, entry) => sum + entryChars(entry), 0);
        case "save-snapshot":
            return write.snapshot.state.length;
    }
}

/**
 * Writes that are not durable yet, in order. A queue that overflows forgets its writes: the state after them is smaller
 * and is stored as a whole instead.
 */
export class WriteQueue {
    private writes: Write[] = [];
    private chars = 0;
    private hasOverflowed = false;

    constructor(private readonly limits: QueueLimits) {}

    get isEmpty(): boolean {
        return this.writes.length === 0;
    }

    /** Whether the state has to be stored instead of the writes. */
    get overflowed(): boolean {
        return this.hasOverflowed;
    }

    push(write: Write): void {
        this.writes.push(write);
        this.chars += contentChars(write);
        this.dropIfTooLong();
    }

    /** Removes and returns the writes of the next journal record. */
    take(): Write[] {
        let chars = 0;
        const end = this.writes.findIndex((write, i) => {
            chars += contentChars(write);
            return i === maxWritesPerRecord || i > 0 && chars > maxCharsPerRecord;
        });
        const batch = this.writes.splice(0, end === -1 ? this.writes.length : end);
        this.chars -= batch.reduce((sum, write) => sum + contentChars(write), 0);
        return batch;
    }

    /** Returns writes that were taken last and could not be stored. */
    putBack(batch: readonly Write[]): void {
        this.writes.unshift(...batch);
        this.chars += batch.reduce((sum, write) => sum + contentChars(write), 0);
        this.dropIfTooLong();
    }

    /** Forgets all writes, because the state after them is being stored. */
    clear(): void {
        this.writes = [];
        this.chars = 0;
        this.hasOverflowed = false;
    }

    /** Forgets all writes until the state after them is stored. */
    overflow(): void {
        this.clear();
        this.hasOverflowed = true;
    }

    private dropIfTooLong(): void {
        const { maxQueuedWrites, maxQueuedChars } = this.limits;
        if (this.hasOverflowed || this.writes.length > maxQueuedWrites || this.chars > maxQueuedChars) {
            this.overflow();
        }
    }
}
