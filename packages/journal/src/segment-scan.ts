import { crc32 } from "node:zlib";
import { CorruptionError } from "./errors.ts";
import type { FileAccess } from "./file-access.ts";
import { decodeRecordHeader, decodeSegmentHeader, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES } from "./record-format.ts";
import type { SegmentHeader } from "./record-format.ts";

export interface SegmentScan {
    payloads: Uint8Array[];
    /** Offset of each record; one more element gives the end of the last valid record. */
    offsets: number[];
    /** Reason why the scan stopped before the end of the file, if it did. */
    damage: string | undefined;
}

function findRecordDamage(data: Buffer, offset: number, salt: number): string | undefined {
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
 * Whether the record at `offset` had been synced, which a later record header with a synced offset beyond it shows.
 * Records of one unsynced write can reach the disk in any order, so a later valid record alone proves nothing.
 */
function wasSynced(data: Buffer, offset: number, salt: number): boolean {
    for (let candidate = offset + 1; candidate + RECORD_HEADER_BYTES <= data.length; candidate++) {
        const header = decodeRecordHeader(data, candidate, salt);
        if (header !== undefined && header.syncedOffset > offset) {
            return true;
        }
    }
    return false;
}

/**
 * Reads the records of a segment. Throws CorruptionError for a damaged record that had been synced, which includes each
 * record of a sealed segment. Damage in the last unsynced write is returned as `damage`, to be truncated.
 */
export function scanSegment(file: string, data: Buffer, header: SegmentHeader, sealed: boolean): SegmentScan {
    const payloads: Uint8Array[] = [];
    const offsets = [SEGMENT_HEADER_BYTES];
    let offset = SEGMENT_HEADER_BYTES;
    while (offset < data.length) {
        const damage = findRecordDamage(data, offset, header.salt);
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

/** Reads a segment in which all records are synced. Throws CorruptionError. */
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
