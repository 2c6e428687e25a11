import { crc32 } from "node:zlib";
import { CorruptionError } from "./errors.ts";

const headerBytes = 12;

/** Adds magic (4), payload length (4) and CRC-32 (4) to the content of a file that is written as a whole. */
export function encodeChecked(magic: string, payload: Uint8Array): Buffer {
    const data = Buffer.allocUnsafe(headerBytes + payload.length);
    data.write(magic, 0, 4, "latin1");
    data.writeUInt32BE(payload.length, 4);
    data.set(payload, headerBytes);
    data.writeUInt32BE(crc32(payload, crc32(data.subarray(0, 8))), 8);
    return data;
}

export function decodeChecked(file: string, magic: string, content: Uint8Array): Uint8Array {
    const data = Buffer.from(content.buffer, content.byteOffset, content.byteLength);
    if (data.length < headerBytes || data.toString("latin1", 0, 4) !== magic) {
        throw new CorruptionError(file, 0, "header does not match");
    }
    const payload = data.subarray(headerBytes);
    if (payload.length !== data.readUInt32BE(4)) {
        throw new CorruptionError(file, 4, "length does not match");
    }
    if (crc32(payload, crc32(data.subarray(0, 8))) !== data.readUInt32BE(8)) {
        throw new CorruptionError(file, headerBytes, "checksum does not match");
    }
    return payload;
}
