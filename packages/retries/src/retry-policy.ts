import type { Result } from "ts-results-es";
import type { FailureKind, RequestKind } from "./retry-rules.ts";

/** An attempt that failed. Instants are milliseconds since the epoch. */
export interface FailedAttempt {
    request: RequestKind;
    failure: FailureKind;
    /** Attempts made so far, the failed one included. */
    attempts: number;
    deadline: number;
    /** Shortest time that an attempt takes, for example the predicted time to the first byte. */
    minAttemptMs: number;
}

/** The instant at which the next attempt starts, on an endpoint that has not been tried. */
export interface RetryPlan {
    startAt: number;
}

/** Why a request is not retried. */
export type RetryRefusal = "not-retryable" | "attempts-used" | "deadline" | "budget-empty";

/** Decides whether a failed attempt is followed by another. */
export abstract class RetryPolicy {
    abstract onFailure(failed: FailedAttempt, now: number): Result<RetryPlan, RetryRefusal>;
}
