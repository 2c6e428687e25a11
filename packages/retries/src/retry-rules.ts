/**
 * Kind of a request, which determines how it may be retried.
 *
 * - `plain`: an idempotent call.
 * - `stream`: a generated answer, which is resumed after the received prefix.
 * - `non-idempotent`: a call that must be executed at most once.
 */
export type RequestKind = "plain" | "stream" | "non-idempotent";

/**
 * Kind of a failed attempt.
 *
 * - `not-sent`: the connection was refused or could not be established; no byte of the request was sent.
 * - `overloaded`: the endpoint rejected the request because of its load (429 or 503).
 * - `connection-lost`: the connection closed or became silent after the request was sent.
 * - `timeout`: no answer within the timeout of the attempt.
 * - `server-error`: any other answer that indicates a fault of the endpoint (5xx).
 * - `request-error`: an answer that indicates a fault of the request (4xx), which every endpoint would give.
 * - `cancelled`: the caller disconnected.
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
 * Whether a failed attempt may be retried on another endpoint. A non-idempotent call may be retried only if no byte was
 * sent: an endpoint whose connection was lost, or even one that answered 503, may have executed the call.
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

/** Whether a failure indicates a fault of the endpoint and counts towards its ejection. */
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
