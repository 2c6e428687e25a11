/**
 * - `plain`: a call that may be repeated.
 * - `stream`: a generated answer, which is resumed from the received prefix.
 * - `non-idempotent`: a call that must be executed at most once.
 */
export type RequestKind = "plain" | "stream" | "non-idempotent";

/**
 * - `not-sent`: the connection was refused or not made; no byte of the request was sent.
 * - `overloaded`: the endpoint refused the request because of its load (429 or 503).
 * - `connection-lost`: the connection ended or went silent after the request was sent.
 * - `timeout`: no answer by the time allowed to the attempt.
 * - `server-error`: any other answer that blames the endpoint (5xx).
 * - `request-error`: an answer that blames the request (4xx); every endpoint would give it.
 * - `cancelled`: the caller has left.
 */
export type FailureKind =
    | "not-sent"
    | "overloaded"
    | "connection-lost"
    | "timeout"
    | "server-error"
    | "request-error"
    | "cancelled";

/**
 * Says whether a failure may be retried on another endpoint. A non-idempotent call may only when no byte was
 * sent: an endpoint that lost the connection, or even one that answered 503, may have executed it.
 */
export function mayRetry(request: RequestKind, failure: FailureKind): boolean {
    switch (failure) {
        case "not-sent":
            return true;
        case "overloaded":
        case "connection-lost":
        case "timeout":
        case "server-error":
            return request !== "non-idempotent";
        case "request-error":
        case "cancelled":
            return false;
    }
}

/** Says whether a failure is a sign of a fault of the endpoint and counts towards its ejection. */
export function isEndpointFault(failure: FailureKind): boolean {
    switch (failure) {
        case "not-sent":
        case "connection-lost":
        case "timeout":
        case "server-error":
            return true;
        case "overloaded":
        case "request-error":
        case "cancelled":
            return false;
    }
}
