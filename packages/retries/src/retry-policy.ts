import type { Result } from "ts-results-es";
import type { FailureKind, RequestKind } from "./retry-rules.ts";

/** A failed attempt. Instants are in milliseconds since the epoch. */
export interface FailedAttempt {
    request: RequestKind;
    failure: FailureKind;
    /** Attempts made so far, including the failed one. */
    attempts: number;
    deadline: number;
    /** Shortest duration of an attempt, for example the predicted time to the first byte. */
    minAttemptMs: number;
}

/** Plan for the next attempt, which is sent to an endpoint that has not been tried. */
export interface RetryPlan {
    /** Instant at which the attempt starts. */
    startAt: number;
}

/** Reason for which a request is not retried. */
export type RetryRefusal = "not-retryable" | "attempts-used" | "deadline" | "budget-empty";

/** Decides whether and when a failed attempt is retried. */
export abstract class RetryPolicy {
    abstract onFailure(failed: FailedAttempt, now: number): Result<RetryPlan, RetryRefusal>;
}
