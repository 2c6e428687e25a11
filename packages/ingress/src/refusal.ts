import { sendJson } from "@lentilramp/protocol";
import type { ServerResponse } from "node:http";

/** Retry delay of a request that crashes endpoints, in milliseconds; it is refused for minutes. */
export const blockedRetryMs = 60_000;
/** Retry delay of a request on which the fleet is about to decide, in milliseconds. */
export const withheldRetryMs = 1_000;

/** Reason that a caller gets after an unexpected error of this process. */
export const internalErrorReason = "internal error";
/** Retry delay that a caller gets with it, in milliseconds. */
export const internalErrorRetryMs = 100;
/** Retry delay of a request that a stopping ingress refuses, in milliseconds; other ingresses are not affected. */
export const stoppingRetryMs = 20;
/** Retry delay of a request whose caller has closed its sending side, in milliseconds. */
const callerClosedRetryMs = 100;

/** Sends a refusal of this ingress with `retryAfterMs` as its `Retry-After` header, unless that is undefined. */
export function sendRefusal(
    res: ServerResponse,
    status: number,
    reason: string,
    retryAfterMs: number | undefined,
    close: boolean,
): void {
    sendJson(res, status, { error: reason }, {
        ...retryAfterMs === undefined ? {} : { "retry-after": (retryAfterMs / 1_000).toFixed(3) },
        ...close ? { connection: "close" } : {},
    });
}

/**
 * Ends the request of a caller that has closed its sending side. It may have left, so that no work is done for it, or
 * still read, so that it is told what became of its request. An answer that has begun is broken off.
 */
export function answerClosedCaller(res: ServerResponse, mayHaveRun: boolean, close: boolean): void {
    if (res.headersSent) {
        breakOffAnswer(res);
        return;
    }
    const reason = "the caller has closed its sending side";
    sendRefusal(res, mayHaveRun ? 502 : 503, reason, mayHaveRun ? undefined : callerClosedRetryMs, close);
}

/** Closes the connection of an answer that has begun, in a way that shows that it is not complete. */
export function breakOffAnswer(res: ServerResponse): void {
    // Without chunks, the end of the connection may be taken for that of the answer.
    if (!res.chunkedEncoding) {
        res.socket?.resetAndDestroy();
    }
    res.destroy();
}
