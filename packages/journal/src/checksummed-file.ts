import { crc32 } from "node:zlib";
import { CorruptionError } from "./errors.ts";

const headerBytes = 8;
const trailerBytes = 4;

/** Yields the parts of a file that is written as a whole: magic (4 bytes), payload length (4), payload, CRC-32 (4). */
export function* encodeChecksummed(magic: string, chunks: readonly Uint8Array[]): Iterable<Uint8Array> {
    const header = Buffer.allocUnsafe(headerBytes);
    header.write(magic, 0, 4, "latin1");
    header.writeUInt32BE(chunks.reduce((sum, chunk) => sum + chunk.length, 0), 4);
    yield header;
    let crc = crc32(header);
    for (const chunk of chunks) {
        crc = crc32(chunk, crc);
        yield chunk;
    }
    const trailer = Buffer.allocUnsafe(trailerBytes);
    trailer.writeUInt32BE(crc, 0);
    yield trailer;
}

/** Returns the payload of a file that `encodeChecksummed` wrote. Throws CorruptionError. */
export function decodeChecksummed(file: string, magic: string, content: Uint8Array): Uint8Array {
    const data = Buffer.from(content.buffer, content.byteOffset, content.byteLength);
    if (data.length < headerBytes + trailerBytes || data.toString("latin1", 0, 4) !== magic) {
        throw new CorruptionError(file, 0, "file is too short or its magic does not match");
    }
    const end = data.length - trailerBytes;
    if (end - headerBytes !== data.readUInt32BE(4)) {
        throw new CorruptionError(file, 4, "payload length does not match the file size");
    }
    if (crc32(data.subarray(0, end)) !== data.readUInt32BE(end)) {
        throw new CorruptionError(file, headerBytes, "checksum does not match");
    }
    return data.subarray(headerBytes, end);
}
