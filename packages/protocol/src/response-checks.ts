import type { IncomingMessage } from "node:http";

const minFinalStatus = 200;
const maxFinalStatus = 599;

/** Whether a status is one of a final response; the parser of Node.js accepts 000 to 999. */
export function isFinalStatus(status: number | undefined): status is number {
    return status !== undefined && status >= minFinalStatus && status <= maxFinalStatus;
}

/**
 * Watches a response that ends with its connection, since it states no length; called when its head arrives. Node.js
 * reports a reset as an error of the request and still completes the response. It reports one that is read together with
 * data as a normal end, and only a write on the socket distinguishes the two.
 * The returned function resolves with whether the body was cut; it is called when the body has ended.
 */
export function probeForReset(res: IncomingMessage): () => Promise<boolean> {
    const { headers, socket } = res;
    let probe: Promise<boolean> | undefined;
    let failed = false;
    if (!res.destroyed && headers["content-length"] === undefined && headers["transfer-encoding"] === undefined) {
        // The other side ignores an empty line between requests, and this one has closed its side of the connection.
        const onEnd = (): void => {
            probe = new Promise(resolve => socket.write("\r\n", err => resolve(Boolean(err))));
        };
        // Runs before the listener of Node.js, which closes the writable side of the socket.
        socket.prependOnceListener("end", onEnd);
        const onError = (): void => {
            failed = true;
        };
        socket.prependOnceListener("error", onError);
        res.once("close", () => socket.off("end", onEnd).off("error", onError));
    }
    return async () => failed || await (probe ?? false);
}
