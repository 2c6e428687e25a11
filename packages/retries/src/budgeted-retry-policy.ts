import type { RandomSource } from "@lentilramp/runtime";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { BackoffOptions } from "./backoff.ts";
import { backoffDefaults, backoffMs } from "./backoff.ts";
import type { RetryBudget } from "./retry-budget.ts";
import type { FailedAttempt, RetryPlan, RetryRefusal } from "./retry-policy.ts";
import { RetryPolicy } from "./retry-policy.ts";
import { mayRetry } from "./retry-rules.ts";

export interface BudgetedRetryOptions extends BackoffOptions {
    maxAttempts: number;
}

export const budgetedRetryDefaults: BudgetedRetryOptions = { ...backoffDefaults, maxAttempts: 3 };

/** Retry policy with a budget and backoff, which retries only if the next attempt can end by the deadline. */
export class BudgetedRetryPolicy extends RetryPolicy {
    constructor(
        private readonly budget: RetryBudget,
        private readonly random: RandomSource,
        private readonly options: BudgetedRetryOptions = budgetedRetryDefaults,
    ) {
        super();
    }

    override onFailure(failed: FailedAttempt, now: number): Result<RetryPlan, RetryRefusal> {
        if (!mayRetry(failed.request, failed.failure)) {
            return Err("not-retryable");
        }
        if (failed.attempts >= this.options.maxAttempts) {
            return Err("attempts-used");
        }
        const startAt = now + backoffMs(failed.attempts, this.random, this.options);
        if (startAt + failed.minAttemptMs > failed.deadline) {
            return Err("deadline");
        }
        // The budget is checked last, because a retry that does not take place must not consume it.
        return this.budget.tryWithdraw(now) ? Ok({ startAt }) : Err("budget-empty");
    }
}
