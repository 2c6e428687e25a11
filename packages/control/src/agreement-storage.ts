import { applyWrite, type StoredState, type Write } from "@lentilramp/agreement";
import { type DataFolder, DiskFullError, type Journal, type JournalContents } from "@lentilramp/journal";
import type { Clock, EventLog } from "@lentilramp/runtime";
import { decode, encode } from "@msgpack/msgpack";
import { type QueueLimits, WriteQueue } from "./write-queue.ts";

/** Limits of the storage; the defaults bound the recovery time, and the memory while the disk is full. */
export interface AgreementStorageLimits extends QueueLimits {
    /** Number of writes after which the stored state is written as a snapshot. */
    writesPerSnapshot: number;
    /**
     * Number of bytes in the journal after which the stored state is written as a snapshot. If the last snapshot was
     * larger, the next one is written after as many bytes as it had.
     */
    bytesPerSnapshot: number;
    /** Number of writes after which a snapshot that failed is tried again. */
    writesPerRetry: number;
}

const defaultLimits: AgreementStorageLimits = {
    writesPerSnapshot: 1_000,
    bytesPerSnapshot: 4 * 1_048_576,
    writesPerRetry: 100,
    maxQueuedWrites: 10_000,
    maxQueuedChars: 16 * 1_048_576,
};

/** Delay before writes that failed because the disk was full are retried. */
const fullDiskRetryMs = 100;

function encodeRecord(value: unknown): Uint8Array {
    return encode(value, { ignoreUndefined: true });
}

/** What a journal holds beside its snapshot. */
interface JournalUse {
    writes: number;
    bytes: number;
    snapshotBytes: number;
}

function recoverState(contents: JournalContents, initial: StoredState): { state: StoredState; use: JournalUse; } {
    let writes = 0;
    let bytes = 0;
    let state = contents.snapshot === undefined ? initial : decode(contents.snapshot.payload) as StoredState;
    for (const record of contents.records) {
        bytes += record.payload.length;
        const decoded = decode(record.payload) as Write | Write[];
        for (const write of Array.isArray(decoded) ? decoded : [decoded]) {
            state = applyWrite(state, write);
            writes++;
        }
    }
    return { state, use: { writes, bytes, snapshotBytes: contents.snapshot?.payload.length ?? 0 } };
}

interface PendingSync {
    /** Number of writes, counted since the storage was opened, that must be durable. */
    writeNumber: number;
    resolve: () => void;
    reject: (err: unknown) => void;
}

/**
 * Durable log, term and vote of the agreement member. Queued writes share a journal record, so that a restart recovers
 * either all writes of the record or none of them. A full disk delays writes but neither drops nor reorders them; when
 * many have queued up, the state after them is stored instead.
 */
export class AgreementStorage {
    private writesSinceSnapshot: number;
    private bytesSinceSnapshot: number;
    /** Numbers of writes and bytes since the snapshot at which the next one is due. */
    private snapshotDueAt: { writes: number; bytes: number; };
    private readonly queue: WriteQueue;
    private acceptedCount = 0;
    private durableCount = 0;
    private pendingSyncs: PendingSync[] = [];
    private currentFlush: Promise<void> | undefined;
    private failure: unknown;
    private closing = false;
    /** Instant since which the disk has refused the next write; undefined while it accepts writes. */
    private fullSince: number | undefined;

    private constructor(
        private readonly journal: Journal,
        private state: StoredState,
        use: JournalUse,
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly limits: AgreementStorageLimits,
    ) {
        this.writesSinceSnapshot = use.writes;
        this.bytesSinceSnapshot = use.bytes;
        this.snapshotDueAt = snapshotDue(limits, use.snapshotBytes);
        this.queue = new WriteQueue(limits);
    }

    /** Recovers the stored state; `initial` is the state of a member that has not stored anything. */
    static async open(
        folder: DataFolder,
        initial: StoredState,
        clock: Clock,
        log: EventLog,
        limits: AgreementStorageLimits = defaultLimits,
    ): Promise<AgreementStorage> {
        const { journal, contents } = await folder.openJournal("agreement");
        const { state, use } = recoverState(contents, initial);
        return new AgreementStorage(journal, state, use, clock, log, limits);
    }

    get stored(): StoredState {
        return this.state;
    }

    /** Queues a write; `sync` waits until the write is durable. */
    write(write: Write): void {
        this.state = applyWrite(this.state, write);
        this.queue.push(write);
        this.acceptedCount++;
        this.currentFlush ??= this.flush();
    }

    /** Resolves once all writes queued before the call are durable; rejects if the storage has failed. */
    async sync(): Promise<void> {
        if (this.failure !== undefined) {
            throw this.failure;
        }
        if (this.durableCount < this.acceptedCount) {
            await new Promise<void>((resolve, reject) => {
                this.pendingSyncs.push({ writeNumber: this.acceptedCount, resolve, reject });
            });
        }
    }

    async close(): Promise<void> {
        this.closing = true;
        await this.currentFlush;
        await this.journal.close();
    }

    private async flush(): Promise<void> {
        // Defers the first append, so that the writes of one step share a record.
        await Promise.resolve();
        while (this.durableCount < this.acceptedCount && this.failure === undefined) {
            const waiting = this.acceptedCount - this.durableCount;
            try {
                await (this.queue.overflowed ? this.storeState() : this.storeBatch());
                this.reportRoom(waiting);
                await this.compactIfDue();
            }
            catch (err) {
                if (!(err instanceof DiskFullError) || this.closing) {
                    this.markFailed(err);
                }
                else {
                    this.reportFullDisk(err);
                    await this.clock.sleepUntil(this.clock.now() + fullDiskRetryMs);
                }
            }
        }
        // Reset in the same turn in which the queue was found empty, so that the next write starts a new flush.
        this.currentFlush = undefined;
    }

    private async storeBatch(): Promise<void> {
        const batch = this.queue.take();
        const record = encodeRecord(batch);
        try {
            await this.journal.append(record);
        }
        catch (err) {
            this.queue.putBack(batch);
            throw err;
        }
        this.writesSinceSnapshot += batch.length;
        this.bytesSinceSnapshot += record.length;
        this.markDurable(this.durableCount + batch.length);
    }

    private async storeState(): Promise<void> {
        const count = this.acceptedCount;
        this.queue.clear();
        const encodedState = encodeRecord(this.state);
        try {
            await this.journal.saveSnapshot(encodedState, this.journal.lastIndex);
        }
        catch (err) {
            this.queue.overflow();
            throw err;
        }
        this.onSnapshotStored(encodedState.length);
        this.markDurable(count);
    }

    private reportFullDisk(err: DiskFullError): void {
        if (this.fullSince === undefined) {
            this.fullSince = this.clock.now();
            this.log.warn("agreement.disk-full", { error: String(err) });
        }
    }

    private reportRoom(waiting: number): void {
        if (this.fullSince !== undefined) {
            this.log.info("agreement.disk-has-room", {
                fullMs: Math.round(this.clock.now() - this.fullSince),
                writes: waiting,
            });
            this.fullSince = undefined;
        }
    }

    private markDurable(durableCount: number): void {
        this.durableCount = durableCount;
        const completed = this.pendingSyncs.filter(sync => sync.writeNumber <= durableCount);
        this.pendingSyncs = this.pendingSyncs.filter(sync => sync.writeNumber > durableCount);
        for (const { resolve } of completed) {
            resolve();
        }
    }

    private markFailed(err: unknown): void {
        this.failure = err;
        const pendingSyncs = this.pendingSyncs;
        this.pendingSyncs = [];
        for (const { reject } of pendingSyncs) {
            reject(err);
        }
    }

    /**
     * Writes a snapshot of the state if enough writes have accumulated and no write is queued. One that fails, for
     * example because it does not fit on the disk, holds up no writes unless it has stopped the journal.
     */
    private async compactIfDue(): Promise<void> {
        const { writes, bytes } = this.snapshotDueAt;
        const isDue = this.writesSinceSnapshot >= writes || this.bytesSinceSnapshot >= bytes;
        if (!isDue || this.durableCount < this.acceptedCount) {
            return;
        }
        const encodedState = encodeRecord(this.state);
        try {
            await this.journal.saveSnapshot(encodedState, this.journal.lastIndex);
            this.onSnapshotStored(encodedState.length);
        }
        catch (err) {
            if (this.journal.stopError !== undefined) {
                throw err;
            }
            this.snapshotDueAt = { writes: this.writesSinceSnapshot + this.limits.writesPerRetry, bytes: Infinity };
            this.log.warn("agreement.snapshot-failed", { error: String(err) });
        }
    }

    private onSnapshotStored(bytes: number): void {
        this.writesSinceSnapshot = 0;
        this.bytesSinceSnapshot = 0;
        this.snapshotDueAt = snapshotDue(this.limits, bytes);
    }
}

/** Returns the numbers of writes and bytes after which a snapshot is due that follows one of `snapshotBytes`. */
function snapshotDue(
    { writesPerSnapshot, bytesPerSnapshot }: AgreementStorageLimits,
    snapshotBytes: number,
): { writes: number; bytes: number; } {
    return { writes: writesPerSnapshot, bytes: Math.max(bytesPerSnapshot, snapshotBytes) };
}
