import type { IncomingMessage } from "node:http";

/** A request or answer body is larger than allowed. */
export class BodyTooLargeError extends Error {
    constructor(readonly limitBytes: number) {
        super(`body exceeds ${limitBytes} bytes`);
        this.name = "BodyTooLargeError";
    }
}

/** The peer closed the connection before the body was complete. */
export class IncompleteBodyError extends Error {
    constructor() {
        super("connection closed before the body was complete");
        this.name = "IncompleteBodyError";
    }
}

/**
 * Reads a whole body of at most `limitBytes`. The rest of a larger body is discarded rather than the connection
 * destroyed, so that the caller can still read the refusal.
 */
export function readBody(message: IncomingMessage, limitBytes: number): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const parts: Buffer[] = [];
        let size = 0;
        if (Number(message.headers["content-length"] ?? 0) > limitBytes) {
            message.resume();
            reject(new BodyTooLargeError(limitBytes));
            return;
        }
        message.on("data", (part: Buffer) => {
            size += part.length;
            if (size > limitBytes) {
                parts.length = 0;
                reject(new BodyTooLargeError(limitBytes));
            }
            else {
                parts.push(part);
            }
        });
        message.on("end", () => message.complete ? resolve(Buffer.concat(parts)) : reject(new IncompleteBodyError()));
        message.on("error", () => reject(new IncompleteBodyError()));
        message.on("close", () => reject(new IncompleteBodyError()));
    });
}
