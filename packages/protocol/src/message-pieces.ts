/** Most bytes that are parsed at once outside of a body of known length; 680 chunks of a byte. */
export const pieceBytes = 4_096;

const lineEnd = "\r\n";
const headEnd = "\r\n\r\n";

/**
 * Returns how many of the bytes go to the parser at once, so that they contain at most one head. `bodyBytesLeft` is
 * undefined outside of a body, and at most 0 within a body of unknown length.
 */
export function pieceLength(bytes: Buffer, bodyBytesLeft: number | undefined): number {
    if (bodyBytesLeft !== undefined && bodyBytesLeft > 0) {
        return Math.min(bytes.length, bodyBytesLeft);
    }
    if (bodyBytesLeft !== undefined) {
        // What contains no line end is part of one chunk.
        const line = bytes.indexOf(lineEnd);
        const part = line < 0 ? bytes.length : line;
        if (part >= pieceBytes) {
            return part;
        }
    }
    const end = (bytes.length > pieceBytes ? bytes.subarray(0, pieceBytes) : bytes).indexOf(headEnd);
    return end < 0 ? Math.min(bytes.length, pieceBytes) : end + headEnd.length;
}
