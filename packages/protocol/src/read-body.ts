import type { IncomingMessage } from "node:http";
import { ByteAccumulator } from "./byte-accumulator.ts";

/** Thrown when a request or response body exceeds the size limit. */
export class BodyTooLargeError extends Error {
    constructor(readonly limitBytes: number) {
        super(`body exceeds ${limitBytes} bytes`);
        this.name = "BodyTooLargeError";
    }
}

/** Thrown when the connection closes before the body is complete. */
export class IncompleteBodyError extends Error {
    constructor() {
        super("connection closed before the body was complete");
        this.name = "IncompleteBodyError";
    }
}

/**
 * Reads the whole body of a response like `readBody`. Closes the connection of one that exceeds `limitBytes`, which may
 * never end.
 */
export async function readResponseBody(res: IncomingMessage, limitBytes: number): Promise<Buffer> {
    try {
        return await readBody(res, limitBytes);
    }
    catch (err) {
        res.destroy();
        throw err;
    }
}

/**
 * Reads the whole body of a request or response. Rejects with an IncompleteBodyError, or with a BodyTooLargeError if
 * the body exceeds `limitBytes`. The rest of such a body is then discarded without destroying the connection, so that
 * the caller can still read the error response.
 */
export function readBody(message: IncomingMessage, limitBytes: number): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const body = new ByteAccumulator();
        let tooLarge = false;
        if (Number(message.headers["content-length"] ?? 0) > limitBytes) {
            message.resume();
            reject(new BodyTooLargeError(limitBytes));
            return;
        }
        if (message.destroyed) {
            // Its events are over.
            reject(new IncompleteBodyError());
            return;
        }
        message.on("data", (chunk: Buffer) => {
            tooLarge ||= body.length + chunk.length > limitBytes;
            if (tooLarge) {
                body.take();
                reject(new BodyTooLargeError(limitBytes));
            }
            else {
                body.append(chunk);
            }
        });
        message.on("end", () => message.complete ? resolve(body.take()) : reject(new IncompleteBodyError()));
        message.on("error", () => reject(new IncompleteBodyError()));
        message.on("close", () => reject(new IncompleteBodyError()));
    });
}
