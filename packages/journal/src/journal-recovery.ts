import { join } from "node:path";
import { TEMPORARY_SUFFIX } from "./atomic-file.ts";
import { CorruptionError, DiskFullError, RestartRequiredError } from "./errors.ts";
import type { FileAccess } from "./file-access.ts";
import { isDiskFull, writeFully } from "./file-access.ts";
import type { NumberedFile } from "./journal-files.ts";
import { decodeSnapshot, segmentFiles, snapshotFiles } from "./journal-files.ts";
import { decodeSegmentHeader, SEGMENT_HEADER_BYTES } from "./record-format.ts";
import type { SegmentHeader } from "./record-format.ts";
import { scanSegment } from "./segment-scan.ts";

export interface JournalRecord {
    index: number;
    payload: Uint8Array;
}

/** An incomplete, unsynced last write that has been truncated. None of its records had been acknowledged. */
export interface TornTail {
    file: string;
    offset: number;
    bytes: number;
    reason: string;
}

/** The content that a restart recovers: the newest snapshot and the records after it. */
export interface JournalContents {
    snapshot: { index: number; payload: Uint8Array; } | undefined;
    records: JournalRecord[];
    tornTail: TornTail | undefined;
}

/** The segment to which further records are appended. */
export interface TailSegment {
    path: string;
    header: SegmentHeader;
    size: number;
}

export interface RecoveredJournal {
    contents: JournalContents;
    tail: TailSegment | undefined;
    lastIndex: number;
}

async function readOrEmpty(files: FileAccess, path: string): Promise<Buffer> {
    const content = await files.readFile(path) ?? new Uint8Array();
    return Buffer.from(content.buffer, content.byteOffset, content.byteLength);
}

async function readSnapshot(files: FileAccess, found: NumberedFile[]): Promise<JournalContents["snapshot"]> {
    const newest = found.at(-1);
    if (newest === undefined) {
        return undefined;
    }
    const payload = decodeSnapshot(newest.path, await readOrEmpty(files, newest.path));
    for (const older of found.slice(0, -1)) {
        await files.remove(older.path);
    }
    return { index: newest.index, payload };
}

/**
 * Removes segments whose records are all in the snapshot, and a last segment with an incomplete header. Returns the
 * remaining segments, and whether the last of them is sealed because such a segment followed it.
 */
async function removeObsoleteSegments(
    files: FileAccess,
    found: NumberedFile[],
    snapshotIndex: number,
): Promise<{ segments: NumberedFile[]; lastIsSealed: boolean; }> {
    let segments = found;
    while (segments[1] !== undefined && segments[1].index <= snapshotIndex + 1) {
        await files.remove((segments[0] as NumberedFile).path);
        segments = segments.slice(1);
    }
    const last = segments.at(-1);
    if (last === undefined) {
        return { segments, lastIsSealed: false };
    }
    const data = await readOrEmpty(files, last.path);
    if (decodeSegmentHeader(data) !== undefined) {
        return { segments, lastIsSealed: false };
    }
    if (data.length > SEGMENT_HEADER_BYTES) {
        throw new CorruptionError(last.path, 0, "segment header does not match");
    }
    // Records are written only after the header is synced, so this segment never contained one.
    await files.remove(last.path);
    return { segments: segments.slice(0, -1), lastIsSealed: true };
}

/**
 * Truncates the tail segment to `size` and rewrites the remaining bytes in place. After a crash or a failed sync, data
 * can be only in the page cache and marked as clean. The rewrite makes the following sync cover this data, and needs no
 * free disk space.
 */
async function rewriteTail(files: FileAccess, path: string, data: Buffer, size: number): Promise<void> {
    const file = await files.open(path);
    try {
        await file.truncate(size);
        await writeFully(file, data.subarray(0, size), 0);
        await file.sync();
    }
    catch (err) {
        throw isDiskFull(err) ? new DiskFullError(path, err) : new RestartRequiredError(path, err);
    }
    finally {
        await file.close().catch(() => undefined);
    }
}

/** Reads a journal folder and truncates a torn tail. Throws CorruptionError when synced data is corrupt or missing. */
export async function recoverJournal(files: FileAccess, folder: string): Promise<RecoveredJournal> {
    // A process that ended after the rename of a snapshot may have left its name unsynced. Without this, a power loss
    // could take the snapshot and leave the removal of the segments that it replaces.
    await files.syncFolder(folder);
    const names = await files.list(folder);
    for (const name of names.filter(candidate => candidate.endsWith(TEMPORARY_SUFFIX))) {
        await files.remove(join(folder, name));
    }
    const snapshot = await readSnapshot(files, snapshotFiles(folder, names));
    const snapshotIndex = snapshot?.index ?? 0;
    const { segments, lastIsSealed } = await removeObsoleteSegments(files, segmentFiles(folder, names), snapshotIndex);
    const records: JournalRecord[] = [];
    let tail: TailSegment | undefined;
    let tornTail: TornTail | undefined;
    let nextIndex = Math.min(segments[0]?.index ?? snapshotIndex + 1, snapshotIndex + 1);
    for (const [i, segment] of segments.entries()) {
        const isLast = i === segments.length - 1;
        const data = await readOrEmpty(files, segment.path);
        const header = decodeSegmentHeader(data);
        if (header === undefined || header.firstIndex !== segment.index) {
            throw new CorruptionError(segment.path, 0, "segment header does not match");
        }
        if (segment.index !== nextIndex) {
            throw new CorruptionError(segment.path, 0, `records ${nextIndex} to ${segment.index - 1} are missing`);
        }
        const scan = scanSegment(segment.path, data, header, !isLast || lastIsSealed);
        for (const payload of scan.payloads) {
            if (nextIndex > snapshotIndex) {
                records.push({ index: nextIndex, payload });
            }
            nextIndex++;
        }
        if (isLast) {
            const size = scan.offsets.at(-1) as number;
            if (scan.damage !== undefined) {
                tornTail = { file: segment.path, offset: size, bytes: data.length - size, reason: scan.damage };
            }
            await rewriteTail(files, segment.path, data, size);
            tail = { path: segment.path, header, size };
        }
    }
    if (nextIndex <= snapshotIndex && tail !== undefined) {
        // The snapshot covers records after the end of the segment, so appends continue in a new segment after it.
        await files.remove(tail.path);
        tail = undefined;
    }
    await files.syncFolder(folder);
    return { contents: { snapshot, records, tornTail }, tail, lastIndex: Math.max(nextIndex - 1, snapshotIndex) };
}
