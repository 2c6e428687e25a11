import { randomBytes } from "node:crypto";
import type { FileAccess, OpenFile } from "./file-access.ts";
import { writeFully } from "./file-access.ts";
import { segmentPath } from "./journal-files.ts";
import type { RecoveredJournal } from "./journal-recovery.ts";
import { encodeSegmentHeader, SEGMENT_HEADER_BYTES } from "./record-format.ts";

/** The segment to which records are appended. */
export interface CurrentSegment {
    path: string;
    file: OpenFile;
    firstIndex: number;
    salt: number;
    size: number;
}

/** Creates an empty segment and makes its name durable. */
export async function createSegment(files: FileAccess, folder: string, firstIndex: number): Promise<CurrentSegment> {
    const path = segmentPath(folder, firstIndex);
    const salt = randomBytes(4).readUInt32BE();
    const file = await files.open(path);
    try {
        await writeFully(file, encodeSegmentHeader({ firstIndex, salt }), 0);
        await file.sync();
        await files.syncFolder(folder);
    }
    catch (err) {
        await file.close().catch(() => undefined);
        throw err;
    }
    return { path, file, firstIndex, salt, size: SEGMENT_HEADER_BYTES };
}

/** Opens the last segment of a recovered journal, or creates the first one. */
export async function openTail(files: FileAccess, folder: string, recovered: RecoveredJournal): Promise<CurrentSegment> {
    const { tail, lastIndex } = recovered;
    if (tail === undefined) {
        return createSegment(files, folder, lastIndex + 1);
    }
    return { path: tail.path, file: await files.open(tail.path), ...tail.header, size: tail.size };
}
