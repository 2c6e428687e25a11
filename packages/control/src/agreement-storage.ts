import { applyWrite, type StoredState, type Write } from "@lentilramp/agreement";
import { type DataFolder, DiskFullError, type Journal, type JournalContents } from "@lentilramp/journal";
import { decode, encode } from "@msgpack/msgpack";
import { setTimeout as sleep } from "node:timers/promises";

/** Writes after which the whole stored state is written as one snapshot, which bounds a restart. */
const writesPerSnapshot = 1_000;

/** Writes that go into one journal record at most. */
const writesPerRecord = 64;
/** Pause before writes that found no room on the disk are tried again, in milliseconds. */
const fullDiskPauseMs = 100;

function encodeRecord(value: unknown): Uint8Array {
    return encode(value, { ignoreUndefined: true });
}

function recover(contents: JournalContents, initial: StoredState): { state: StoredState; writes: number; } {
    let writes = 0;
    let state = contents.snapshot === undefined ? initial : decode(contents.snapshot.payload) as StoredState;
    for (const record of contents.records) {
        const decoded = decode(record.payload) as Write | Write[];
        for (const write of Array.isArray(decoded) ? decoded : [decoded]) {
            state = applyWrite(state, write);
            writes++;
        }
    }
    return { state, writes };
}

interface WaitingSync {
    /** Number of the write that must be durable. */
    write: number;
    resolve: () => void;
    reject: (err: unknown) => void;
}

/**
 * Durable log, term and vote of the agreement member. Writes that wait for the disk share one journal record, so that
 * either all of them or none is found after a restart. A full disk delays writes; nothing is lost or reordered.
 */
export class AgreementStorage {
    private writesSinceSnapshot: number;
    private pending: Write[] = [];
    private accepted = 0;
    private durable = 0;
    private waiting: WaitingSync[] = [];
    private flushing: Promise<void> | undefined;
    private failure: unknown;
    private closing = false;

    private constructor(private readonly journal: Journal, private current: StoredState, writes: number) {
        this.writesSinceSnapshot = writes;
    }

    /** Recovers the stored state; `initial` is that of a member that has stored nothing. */
    static async open(folder: DataFolder, initial: StoredState): Promise<AgreementStorage> {
        const { journal, contents } = await folder.openJournal("agreement");
        const { state, writes } = recover(contents, initial);
        return new AgreementStorage(journal, state, writes);
    }

    get stored(): StoredState {
        return this.current;
    }

    /** Queues a write; `sync` waits for it. */
    write(write: Write): void {
        this.current = applyWrite(this.current, write);
        this.pending.push(write);
        this.accepted++;
        this.flushing ??= this.flush();
    }

    /** Resolves when all writes queued so far are durable; rejects when the storage has failed. */
    async sync(): Promise<void> {
        if (this.failure !== undefined) {
            throw this.failure;
        }
        if (this.durable < this.accepted) {
            await new Promise<void>((resolve, reject) => {
                this.waiting.push({ write: this.accepted, resolve, reject });
            });
        }
    }

    async close(): Promise<void> {
        this.closing = true;
        await this.flushing;
        await this.journal.close();
    }

    private async flush(): Promise<void> {
        // Lets the writes of one step share a record.
        await Promise.resolve();
        while (this.pending.length > 0 && this.failure === undefined) {
            const group = this.pending.slice(0, writesPerRecord);
            try {
                await this.journal.append(encodeRecord(group));
                this.writesSinceSnapshot += group.length;
                this.pending.splice(0, group.length);
                this.settle(this.durable + group.length);
                await this.compactIfDue();
            }
            catch (err) {
                if (!(err instanceof DiskFullError) || this.closing) {
                    this.fail(err);
                }
                else {
                    await sleep(fullDiskPauseMs);
                }
            }
        }
        // In the same turn in which no write is left, so that the next one starts a new flush.
        this.flushing = undefined;
    }

    private settle(durable: number): void {
        this.durable = durable;
        const done = this.waiting.filter(waiting => waiting.write <= durable);
        this.waiting = this.waiting.filter(waiting => waiting.write > durable);
        for (const { resolve } of done) {
            resolve();
        }
    }

    private fail(err: unknown): void {
        this.failure = err;
        const waiting = this.waiting;
        this.waiting = [];
        for (const { reject } of waiting) {
            reject(err);
        }
    }

    /** Writes the whole state as a snapshot once enough records have gathered and no write is on its way. */
    private async compactIfDue(): Promise<void> {
        if (this.writesSinceSnapshot < writesPerSnapshot || this.pending.length > 0) {
            return;
        }
        const state = encodeRecord(this.current);
        await this.journal.saveSnapshot(state, this.journal.lastIndex);
        this.writesSinceSnapshot = 0;
    }
}
