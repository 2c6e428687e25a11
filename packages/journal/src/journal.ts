import PQueue from "p-queue";
import { renameTemporaryFile, writeTemporaryFile } from "./atomic-file.ts";
import { createSegment, type CurrentSegment, openTail } from "./current-segment.ts";
import { ClosedError, DiskFullError, RecordTooLargeError, RestartRequiredError } from "./errors.ts";
import type { FileAccess } from "./file-access.ts";
import { isDiskFull, writeFully } from "./file-access.ts";
import type { NumberedFile } from "./journal-files.ts";
import { segmentFiles, segmentPath, snapshotFiles, snapshotParts, snapshotPath } from "./journal-files.ts";
import type { JournalContents } from "./journal-recovery.ts";
import { recoverJournal } from "./journal-recovery.ts";
import { encodeBatch, MAX_RECORD_BYTES, SEGMENT_HEADER_BYTES } from "./record-format.ts";
import { readSegment } from "./segment-scan.ts";

export interface JournalOptions {
    /** Segment size in bytes after which a new segment is started. */
    segmentBytes: number;
    /** Largest number of payload bytes in one write and sync; a larger record is written alone. */
    batchBytes: number;
}

export const defaultJournalOptions: JournalOptions = { segmentBytes: 8 * 1024 * 1024, batchBytes: 1024 * 1024 };

export interface OpenedJournal {
    journal: Journal;
    contents: JournalContents;
}

interface PendingAppend {
    payload: Uint8Array;
    resolve: (index: number) => void;
    reject: (err: unknown) => void;
}

/**
 * An append-only journal with group commit: appends that arrive during a sync are then written and synced together.
 * Operations on the files are serialized.
 */
export class Journal {
    private readonly queue = new PQueue({ concurrency: 1 });
    private pendingAppends: PendingAppend[] = [];
    private failure: RestartRequiredError | ClosedError | undefined;
    /** Completes or undoes a step that failed on a full disk; runs before anything else is written. */
    private pendingRepair: (() => Promise<void>) | undefined;
    private syncCount = 0;
    private savingSnapshot = false;

    private constructor(
        private readonly files: FileAccess,
        private readonly folder: string,
        private readonly options: JournalOptions,
        private segment: CurrentSegment,
        private lastSyncedIndex: number,
        private snapshotIndex: number,
    ) {}

    /** Recovers the folder, which must exist and be locked by this process. */
    static async open(
        files: FileAccess,
        folder: string,
        options: Partial<JournalOptions> = {},
    ): Promise<OpenedJournal> {
        const recovered = await recoverJournal(files, folder);
        const { contents, lastIndex } = recovered;
        const segment = await openTail(files, folder, recovered);
        const resolvedOptions = { ...defaultJournalOptions, ...options };
        const journal = new Journal(files, folder, resolvedOptions, segment, lastIndex, contents.snapshot?.index ?? 0);
        return { journal, contents };
    }

    /** Index of the last synced record; the first record has index 1. */
    get lastIndex(): number {
        return this.lastSyncedIndex;
    }

    /** The error that stopped the journal, or undefined. */
    get stopError(): Error | undefined {
        return this.failure;
    }

    /** Number of syncs of appended records since the journal was opened. */
    get syncs(): number {
        return this.syncCount;
    }

    /**
     * Appends a record and resolves with its index when the record is synced. Rejects with `DiskFullError` (nothing was
     * accepted, and later appends are tried again) or `RestartRequiredError`. A rejected record can still be found
     * after a crash as long as no later record was acknowledged, so a rejection does not prove that the record is
     * absent. The payload must not be modified before the promise settles.
     */
    append(payload: Uint8Array): Promise<number> {
        if (payload.length > MAX_RECORD_BYTES) {
            return Promise.reject(new RecordTooLargeError(payload.length, MAX_RECORD_BYTES));
        }
        return new Promise((resolve, reject) => {
            this.pendingAppends.push({ payload, resolve, reject });
            if (this.pendingAppends.length === 1) {
                this.scheduleCommit();
            }
        });
    }

    /**
     * Writes a snapshot of the state after record `throughIndex`, then removes the segments and snapshots that it
     * supersedes. Appends continue while the snapshot file is written; a second snapshot must wait for the first. The
     * chunks are checksummed and written one at a time, so that a large snapshot does not block the event loop.
     */
    async saveSnapshot(payload: Uint8Array | readonly Uint8Array[], throughIndex: number): Promise<void> {
        if (this.savingSnapshot) {
            throw new Error("a snapshot is being saved");
        }
        this.savingSnapshot = true;
        try {
            await this.writeSnapshot(payload instanceof Uint8Array ? [payload] : payload, throughIndex);
        }
        finally {
            this.savingSnapshot = false;
        }
    }

    /** Removes the records from `index` on, which must come after the snapshot. */
    async truncateFrom(index: number): Promise<void> {
        await this.runExclusively(async () => {
            if (index <= this.snapshotIndex || index > this.lastSyncedIndex + 1) {
                throw new RangeError(
                    `cannot truncate from ${index}, expected ${this.snapshotIndex + 1} to ${this.lastSyncedIndex + 1}`,
                );
            }
            await this.stopOnFailure(async () => {
                await this.removeSegmentsAfter(index);
                const { path, header, offsets } = await readSegment(this.files, this.segment.path);
                const size = offsets[index - header.firstIndex] as number;
                await this.segment.file.truncate(size);
                await this.segment.file.sync();
                this.segment = { path, file: this.segment.file, ...header, size };
            });
            this.lastSyncedIndex = index - 1;
        });
    }

    /** Waits for the appends accepted so far and closes the files. */
    async close(): Promise<void> {
        await this.queue.onIdle();
        this.failure ??= new ClosedError(this.folder);
        await this.segment.file.close();
    }

    private async writeSnapshot(chunks: readonly Uint8Array[], throughIndex: number): Promise<void> {
        if (throughIndex > this.lastSyncedIndex || throughIndex < this.snapshotIndex) {
            throw new RangeError(
                `cannot save a snapshot at ${throughIndex}, expected ${this.snapshotIndex} to ${this.lastSyncedIndex}`,
            );
        }
        if (this.failure !== undefined) {
            throw this.failure;
        }
        // With a new segment, the records before it can be removed as soon as the snapshot is durable.
        await this.runExclusively(() => this.startSegmentUnlessDiskFull());
        const path = snapshotPath(this.folder, throughIndex);
        const temporaryPath = await this.stopIfRequired(() =>
            writeTemporaryFile(this.files, path, snapshotParts(chunks))
        );
        try {
            await this.runExclusively(() => this.publishSnapshot(temporaryPath, path, throughIndex));
        }
        finally {
            await this.files.remove(temporaryPath).catch(() => undefined);
        }
    }

    private async publishSnapshot(temporaryPath: string, path: string, throughIndex: number): Promise<void> {
        if (throughIndex > this.lastSyncedIndex) {
            throw new RangeError(`records up to ${throughIndex} were truncated while the snapshot was written`);
        }
        await this.stopIfRequired(() => renameTemporaryFile(this.files, temporaryPath, path));
        this.snapshotIndex = throughIndex;
        this.pendingRepair = () => this.files.syncFolder(this.folder);
        await this.repair();
        await this.removeSupersededFiles();
    }

    private scheduleCommit(): void {
        void this.queue.add(() => this.commitNextBatch());
    }

    private async runExclusively(run: () => Promise<void>): Promise<void> {
        await this.queue.add(async () => {
            if (this.failure !== undefined) {
                throw this.failure;
            }
            await this.repair();
            await run();
        });
    }

    private takeBatch(): PendingAppend[] {
        let bytes = 0;
        let count = 0;
        while (count < this.pendingAppends.length) {
            bytes += (this.pendingAppends[count] as PendingAppend).payload.length;
            if (count > 0 && bytes > this.options.batchBytes) {
                break;
            }
            count++;
        }
        return this.pendingAppends.splice(0, count);
    }

    private async commitNextBatch(): Promise<void> {
        const batch = this.takeBatch();
        try {
            if (this.failure !== undefined) {
                throw this.failure;
            }
            await this.repair();
            if (this.segment.size >= this.options.segmentBytes) {
                await this.startSegment();
            }
            await this.writeBatch(batch.map(append => append.payload));
            const first = this.lastSyncedIndex + 1;
            this.lastSyncedIndex += batch.length;
            batch.forEach((append, i) => append.resolve(first + i));
        }
        catch (err) {
            batch.forEach(append => append.reject(err));
        }
        if (this.pendingAppends.length > 0) {
            this.scheduleCommit();
        }
    }

    private async writeBatch(payloads: readonly Uint8Array[]): Promise<void> {
        const { file, size, salt, path } = this.segment;
        const data = encodeBatch(payloads, size, salt);
        try {
            await writeFully(file, data, size);
            await file.sync();
        }
        catch (err) {
            // Without truncation, records of the failed write could follow a later, shorter write and be read as valid.
            // Without its sync, they could reappear after a crash in a segment that the next one has sealed.
            throw await this.failWrite(err, path, async () => {
                await file.truncate(size);
                await file.sync();
            });
        }
        this.syncCount++;
        this.segment.size += data.length;
    }

    private async startSegment(): Promise<void> {
        const firstIndex = this.lastSyncedIndex + 1;
        let next: CurrentSegment;
        try {
            next = await createSegment(this.files, this.folder, firstIndex);
        }
        catch (err) {
            const path = segmentPath(this.folder, firstIndex);
            // Without a synced removal, the file could reappear after a crash beside records of the current segment.
            throw await this.failWrite(err, path, async () => {
                await this.files.remove(path);
                await this.files.syncFolder(this.folder);
            });
        }
        const previous = this.segment;
        this.segment = next;
        await previous.file.close();
    }

    /** Starts a new segment. On a full disk, the current one stays in use and is removed after a later snapshot. */
    private async startSegmentUnlessDiskFull(): Promise<void> {
        if (this.segment.size === SEGMENT_HEADER_BYTES) {
            return;
        }
        try {
            await this.startSegment();
        }
        catch (err) {
            if (!(err instanceof DiskFullError) || this.pendingRepair !== undefined) {
                throw err;
            }
        }
    }

    /** Removes what the snapshot replaces. What a full disk does not let go is removed after a later snapshot. */
    private async removeSupersededFiles(): Promise<void> {
        try {
            await this.removeReplacedFiles();
        }
        catch (err) {
            if (!isDiskFull(err)) {
                throw this.stopWith(err);
            }
        }
    }

    private async removeReplacedFiles(): Promise<void> {
        const names = await this.files.list(this.folder);
        const segments = segmentFiles(this.folder, names);
        for (const [i, segment] of segments.entries()) {
            if ((segments[i + 1]?.index ?? Infinity) <= this.snapshotIndex + 1) {
                await this.files.remove(segment.path);
            }
        }
        for (const snapshot of snapshotFiles(this.folder, names)) {
            if (snapshot.index < this.snapshotIndex) {
                await this.files.remove(snapshot.path);
            }
        }
    }

    /**
     * Makes the segment that contains `index` the last one. Later segments are removed from the last one backwards, so
     * that a crash during the removal leaves no gap.
     */
    private async removeSegmentsAfter(index: number): Promise<void> {
        if (this.segment.firstIndex <= index) {
            return;
        }
        await this.segment.file.close();
        const segments = segmentFiles(this.folder, await this.files.list(this.folder));
        while (segments.length > 1 && (segments.at(-1) as NumberedFile).index > index) {
            await this.files.remove((segments.pop() as NumberedFile).path);
            await this.files.syncFolder(this.folder);
        }
        const path = (segments.at(-1) as NumberedFile).path;
        this.segment = { ...this.segment, path, file: await this.files.open(path) };
    }

    private async stopOnFailure(run: () => Promise<void>): Promise<void> {
        try {
            await run();
        }
        catch (err) {
            throw this.stopWith(err);
        }
    }

    private async stopIfRequired<T>(run: () => Promise<T>): Promise<T> {
        try {
            return await run();
        }
        catch (err) {
            throw err instanceof RestartRequiredError ? this.stopWith(err) : err;
        }
    }

    /**
     * Returns the error of a failed write. On a full disk, `repair` removes what the write has left; if that needs space
     * too, it is tried again before the next write. Any other error stops the journal.
     */
    private async failWrite(err: unknown, path: string, repair: () => Promise<void>): Promise<Error> {
        if (!isDiskFull(err)) {
            return this.stopWith(err);
        }
        this.pendingRepair = repair;
        await this.repair();
        return new DiskFullError(path, err);
    }

    private async repair(): Promise<void> {
        try {
            await this.pendingRepair?.();
            this.pendingRepair = undefined;
        }
        catch (err) {
            throw isDiskFull(err) ? new DiskFullError(this.segment.path, err) : this.stopWith(err);
        }
    }

    private stopWith(err: unknown): Error {
        this.failure ??= err instanceof RestartRequiredError ? err : new RestartRequiredError(this.segment.path, err);
        return this.failure;
    }
}
