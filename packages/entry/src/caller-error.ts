import { sendJson } from "@lentilramp/protocol";
import type { ServerResponse } from "node:http";

/** Execution state of a request as reported to the caller; docs/design.md defines the values. */
export type RunState = "not-run" | "undecided" | "unknown" | "partial" | "in-progress" | "completed";

/** Error types in answers to callers. They are part of the stable interface; docs/callers.md lists them. */
export type CallerErrorType =
    | "malformed-request"
    | "body-too-large"
    | "missing-header"
    | "unknown-workspace"
    | "unknown-model"
    | "unknown-service"
    | "unknown-operation"
    | "key-required"
    | "invalid-key"
    | "key-reused"
    | "deadline-expired"
    | "deadline-unreachable"
    | "overloaded"
    | "draining"
    | "no-permit"
    | "caller-closed"
    | "no-endpoint"
    | "endpoint-failed"
    | "endpoint-rejected"
    | "outcome-unknown"
    | "in-progress"
    | "not-run"
    | "stream-cut"
    | "answer-not-kept"
    | "resume-mismatch";

/** Error that is sent to the caller as the final answer. */
export class CallerError extends Error {
    constructor(
        readonly status: number,
        readonly type: CallerErrorType,
        message: string,
        readonly run: RunState,
        /** Time after which a retry may succeed, in milliseconds. */
        readonly retryAfterMs?: number,
    ) {
        super(message);
        this.name = "CallerError";
    }

    get body(): { error: Record<string, unknown>; } {
        return {
            error: { type: this.type, message: this.message, run: this.run, retryAfterMs: this.retryAfterMs },
        };
    }

    /** Returns the same error with another execution state, for example "undecided" when the key was not claimed. */
    withRun(run: RunState): CallerError {
        return new CallerError(this.status, this.type, this.message, run, this.retryAfterMs);
    }
}

/** Retry delay of a request whose caller has closed its sending side, in milliseconds. */
const callerClosedRetryMs = 1_000;

/**
 * Returns the error for a caller that has closed its sending side. It may have left, so that no more work is done for
 * it, or still read.
 */
export function callerClosedError(run: RunState): CallerError {
    const status = run === "not-run" || run === "undecided" ? 503 : 502;
    return new CallerError(
        status,
        "caller-closed",
        "the caller has closed its sending side",
        run,
        status === 503 ? callerClosedRetryMs : undefined,
    );
}

/** Sends the error answer for a request whose response headers were not sent yet. */
export function sendCallerError(res: ServerResponse, err: CallerError): void {
    const retryAfter: Record<string, string> = err.retryAfterMs === undefined
        ? {}
        : { "retry-after": String(Math.max(1, Math.ceil(err.retryAfterMs / 1_000))) };
    sendJson(res, err.status, err.body, retryAfter);
}
