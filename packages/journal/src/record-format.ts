import { crc32 } from "node:zlib";

/** Segment header: magic (8), index of the first record (8), salt (4), CRC-32 of the preceding bytes (4). */
export const SEGMENT_HEADER_BYTES = 24;
/**
 * Record header: payload length (4), CRC-32 of the payload (4), bytes of the segment before this record that were
 * not yet synced when it was written (4), CRC-32 of salt, offset and the preceding fields (4).
 */
export const RECORD_HEADER_BYTES = 16;
export const MAX_RECORD_BYTES = 16 * 1024 * 1024;

const segmentMagic = Buffer.from("LRSEGM01", "latin1");

export interface SegmentHeader {
    firstIndex: number;
    /** Random per segment, so that payload bytes cannot be mistaken for a record header. */
    salt: number;
}

export interface RecordHeader {
    length: number;
    payloadCrc: number;
    /** Position in the segment up to which data was synced when the record was written. */
    syncedOffset: number;
}

export function encodeSegmentHeader(header: SegmentHeader): Buffer {
    const data = Buffer.alloc(SEGMENT_HEADER_BYTES);
    segmentMagic.copy(data);
    data.writeBigUInt64BE(BigInt(header.firstIndex), 8);
    data.writeUInt32BE(header.salt, 16);
    data.writeUInt32BE(crc32(data.subarray(0, 20)), 20);
    return data;
}

export function decodeSegmentHeader(data: Buffer): SegmentHeader | undefined {
    if (
        data.length < SEGMENT_HEADER_BYTES || !data.subarray(0, 8).equals(segmentMagic)
        || crc32(data.subarray(0, 20)) !== data.readUInt32BE(20)
    ) {
        return undefined;
    }
    return { firstIndex: Number(data.readBigUInt64BE(8)), salt: data.readUInt32BE(16) };
}

/** Returns the header checksum. It covers the offset, so that a record copied to another position is rejected. */
function headerCrc(header: Buffer, salt: number, offset: number): number {
    const prefix = Buffer.allocUnsafe(12);
    prefix.writeUInt32BE(salt, 0);
    prefix.writeBigUInt64BE(BigInt(offset), 4);
    return crc32(header.subarray(0, 12), crc32(prefix));
}

/** Encodes records to be written at `offset` in one write; everything before `offset` is synced. */
export function encodeBatch(payloads: readonly Uint8Array[], offset: number, salt: number): Buffer {
    const size = payloads.reduce((sum, payload) => sum + RECORD_HEADER_BYTES + payload.length, 0);
    const data = Buffer.allocUnsafe(size);
    let position = 0;
    for (const payload of payloads) {
        const header = data.subarray(position, position + RECORD_HEADER_BYTES);
        header.writeUInt32BE(payload.length, 0);
        header.writeUInt32BE(crc32(payload), 4);
        header.writeUInt32BE(position, 8);
        header.writeUInt32BE(headerCrc(header, salt, offset + position), 12);
        data.set(payload, position + RECORD_HEADER_BYTES);
        position += RECORD_HEADER_BYTES + payload.length;
    }
    return data;
}

/** Returns the record header at `offset`, or undefined when it is incomplete or its checksum does not match. */
export function decodeRecordHeader(data: Buffer, offset: number, salt: number): RecordHeader | undefined {
    if (offset + RECORD_HEADER_BYTES > data.length) {
        return undefined;
    }
    const length = data.readUInt32BE(offset);
    const unsyncedBytes = data.readUInt32BE(offset + 8);
    // These cheap checks come first because the search for later records calls this function for each byte.
    if (length > MAX_RECORD_BYTES || unsyncedBytes > offset) {
        return undefined;
    }
    const header = data.subarray(offset, offset + RECORD_HEADER_BYTES);
    if (headerCrc(header, salt, offset) !== header.readUInt32BE(12)) {
        return undefined;
    }
    return { length, payloadCrc: header.readUInt32BE(4), syncedOffset: offset - unsyncedBytes };
}
