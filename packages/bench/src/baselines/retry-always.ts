import type { FailedAttempt, RetryPlan, RetryRefusal } from "@lentilramp/retries";
import { mayRetry, RetryPolicy } from "@lentilramp/retries";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";

/** Baseline: up to three attempts at once, without a budget or back-off. */
export class RetryAlways extends RetryPolicy {
    override onFailure(failed: FailedAttempt, now: number): Result<RetryPlan, RetryRefusal> {
        if (!mayRetry(failed.request, failed.failure)) {
            return Err("not-retryable");
        }
        return failed.attempts < 3 ? Ok({ startAt: now }) : Err("attempts-used");
    }
}
