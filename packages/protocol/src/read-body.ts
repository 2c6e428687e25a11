import type { IncomingMessage } from "node:http";
import { ByteAccumulator } from "./byte-accumulator.ts";
import { clientRequestOf } from "./client-guard.ts";
import type { ReadScheduler, ReadShare } from "./read-scheduler.ts";
import { probeForReset } from "./response-checks.ts";

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
 * Reads the whole body of a response like `readBody`; called when its head arrives. Rejects with an IncompleteBodyError
 * also if the connection of a response without a length was reset. Closes the connection of one that exceeds `limitBytes`, which may
 * never end.
 */
export async function readResponseBody(res: IncomingMessage, limitBytes: number): Promise<Buffer> {
    const wasCut = probeForReset(res);
    try {
        const body = await readBody(res, limitBytes);
        if (await wasCut()) {
            throw new IncompleteBodyError();
        }
        return body;
    }
    catch (err) {
        res.destroy();
        throw err;
    }
}

/**
 * Reads the whole body of a request or response. Rejects with an IncompleteBodyError, or with a BodyTooLargeError if
 * the body exceeds `limitBytes`. The rest of such a body is then discarded without destroying the connection, so that
 * the caller can still read the error response. With a scheduler, the body is read in turns with the others of the
 * process, its discarded rest too. The body of a client's request takes from the memory account of its server; rejects
 * with a ClientRefusedError when it is not to be read further.
 */
export function readBody(message: IncomingMessage, limitBytes: number, scheduler?: ReadScheduler): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const share = scheduler && openShare(message, scheduler);
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
        const client = clientRequestOf(message);
        let isRefused = false;
        client?.beginBody(err => {
            isRefused = true;
            body.take();
            reject(err);
        });
        if (isRefused) {
            return;
        }
        message.on("data", (chunk: Buffer) => {
            if (isRefused) {
                return;
            }
            share?.record(chunk.length, 1);
            tooLarge ||= body.length + chunk.length > limitBytes;
            const heldBytes = body.capacity;
            if (tooLarge) {
                body.take();
                reject(new BodyTooLargeError(limitBytes));
            }
            else {
                body.append(chunk);
            }
            client?.takeBody(body.capacity - heldBytes);
        });
        let hasEnded = false;
        message.on("end", () => {
            hasEnded = true;
            if (message.complete) {
                resolve(body.take());
            }
            else {
                reject(new IncompleteBodyError());
            }
        });
        message.on("error", () => reject(new IncompleteBodyError()));
        message.on("close", () => {
            // The stack trace of an error costs more than all else that is done here for a small body.
            if (!hasEnded) {
                reject(new IncompleteBodyError());
            }
        });
    });
}

/** Opens the share of a message in the reads of the process. */
function openShare(message: IncomingMessage, scheduler: ReadScheduler): ReadShare {
    let isStreamed = false;
    return scheduler.open(() => {
        if (message.complete) {
            return undefined;
        }
        const { socket } = message;
        if (!isStreamed) {
            isStreamed = true;
            // An HTTP server of Node.js passes reads by the socket's stream until that gets a listener. Its callbacks then
            // run after each chunk of a read, not after the read, and resume the socket each time.
            const listener = (): void => undefined;
            socket.on("data", listener).off("data", listener);
        }
        return socket;
    });
}
