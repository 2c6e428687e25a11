import { join } from "node:path";
import { decodeChecksummed, encodeChecksummed } from "./checksummed-file.ts";

const indexDigits = 16;
const snapshotMagic = "LRSN";
const segmentNamePattern = /^segment-(\d+)$/;
const snapshotNamePattern = /^snapshot-(\d+)$/;

export interface NumberedFile {
    path: string;
    index: number;
}

/** A segment is named by the index of its first record. */
export function segmentPath(folder: string, firstIndex: number): string {
    return join(folder, `segment-${String(firstIndex).padStart(indexDigits, "0")}`);
}

/** A snapshot is named by the index of the last record that it includes. */
export function snapshotPath(folder: string, index: number): string {
    return join(folder, `snapshot-${String(index).padStart(indexDigits, "0")}`);
}

function numberedFiles(folder: string, names: readonly string[], pattern: RegExp): NumberedFile[] {
    return names.flatMap(name => {
        const index = pattern.exec(name)?.[1];
        return index === undefined ? [] : [{ path: join(folder, name), index: Number(index) }];
    }).sort((a, b) => a.index - b.index);
}

export function segmentFiles(folder: string, names: readonly string[]): NumberedFile[] {
    return numberedFiles(folder, names, segmentNamePattern);
}

export function snapshotFiles(folder: string, names: readonly string[]): NumberedFile[] {
    return numberedFiles(folder, names, snapshotNamePattern);
}

export function snapshotParts(chunks: readonly Uint8Array[]): Iterable<Uint8Array> {
    return encodeChecksummed(snapshotMagic, chunks);
}

export function decodeSnapshot(file: string, content: Uint8Array): Uint8Array {
    return decodeChecksummed(file, snapshotMagic, content);
}
