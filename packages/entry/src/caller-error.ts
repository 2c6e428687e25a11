import { sendJson } from "@lentilramp/protocol";
import type { ServerResponse } from "node:http";

/** What the caller may conclude about the execution of its request; docs/design.md defines the values. */
export type RunState = "not-run" | "undecided" | "unknown" | "partial" | "in-progress" | "completed";

/** Kinds of errors that callers see. They are stable; docs/callers.md lists them. */
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
    | "no-endpoint"
    | "endpoint-failed"
    | "endpoint-rejected"
    | "outcome-unknown"
    | "in-progress"
    | "not-run"
    | "stream-cut"
    | "answer-not-kept"
    | "resume-mismatch";

/** An error with its final answer to the caller. */
export class CallerError extends Error {
    constructor(
        readonly status: number,
        readonly type: CallerErrorType,
        message: string,
        readonly run: RunState,
        /** Time after which a retry can help, in milliseconds. */
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

    /** The same error for a call with a request key: refused before a claim, so the key stays open. */
    withRun(run: RunState): CallerError {
        return new CallerError(this.status, this.type, this.message, run, this.retryAfterMs);
    }
}

/** Sends the final answer of a request that failed before its response was started. */
export function sendCallerError(res: ServerResponse, err: CallerError): void {
    const retryAfter: Record<string, string> = err.retryAfterMs === undefined
        ? {}
        : { "retry-after": String(Math.max(1, Math.ceil(err.retryAfterMs / 1_000))) };
    sendJson(res, err.status, err.body, retryAfter);
}
