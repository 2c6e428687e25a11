import { crc32 } from "node:zlib";
import { CorruptionError } from "./errors.ts";
import type { FileAccess } from "./file-access.ts";
import { decodeRecordHeader, decodeSegmentHeader, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES } from "./record-format.ts";
import type { SegmentHeader } from "./record-format.ts";

export interface SegmentScan {
    payloads: Uint8Array[];
    /** Offset of each record; one more element gives the end of the last valid record. */
    offsets: number[];
    /** Why the scan stopped before the end of the file. */
    damage: string | undefined;
}

function recordDamage(data: Buffer, offset: number, salt: number): string | undefined {
    if (offset + RECORD_HEADER_BYTES > data.length) {
        return "incomplete record header";
    }
    const header = decodeRecordHeader(data, offset, salt);
    if (header === undefined) {
        return "checksum of the record header does not match";
    }
    const start = offset + RECORD_HEADER_BYTES;
    if (start + header.length > data.length) {
        return "incomplete record payload";
    }
    return crc32(data.subarray(start, start + header.length)) === header.payloadCrc
        ? undefined
        : "checksum of the record payload does not match";
}

/**
 * Says whether the record at `offset` had been synced: a later record header states a synced position behind it.
 * Records of one unsynced write can reach the disk in any order, so a later valid record alone proves nothing.
 */
function wasSynced(data: Buffer, offset: number, salt: number): boolean {
    for (let later = offset + 1; later + RECORD_HEADER_BYTES <= data.length; later++) {
        const header = decodeRecordHeader(data, later, salt);
        if (header !== undefined && header.syncedOffset > offset) {
            return true;
        }
    }
    return false;
}

/**
 * Reads the records of a segment. A damaged record that had been synced is refused with an error; damage in the
 * last unsynced write of the last segment is returned as `damage`, to be truncated.
 */
export function scanSegment(file: string, data: Buffer, header: SegmentHeader, sealed: boolean): SegmentScan {
    const payloads: Uint8Array[] = [];
    const offsets = [SEGMENT_HEADER_BYTES];
    let offset = SEGMENT_HEADER_BYTES;
    while (offset < data.length) {
        const damage = recordDamage(data, offset, header.salt);
        if (damage !== undefined) {
            if (sealed || wasSynced(data, offset, header.salt)) {
                throw new CorruptionError(file, offset, damage);
            }
            return { payloads, offsets, damage };
        }
        const start = offset + RECORD_HEADER_BYTES;
        const length = data.readUInt32BE(offset);
        payloads.push(data.subarray(start, start + length));
        offset = start + length;
        offsets.push(offset);
    }
    return { payloads, offsets, damage: undefined };
}

/** Reads a segment whose records are all synced. */
export async function readSegment(
    files: FileAccess,
    path: string,
): Promise<SegmentScan & { path: string; header: SegmentHeader; }> {
    const data = Buffer.from(await files.readFile(path) ?? new Uint8Array());
    const header = decodeSegmentHeader(data);
    if (header === undefined) {
        throw new CorruptionError(path, 0, "segment header does not match");
    }
    return { path, header, ...scanSegment(path, data, header, true) };
}
