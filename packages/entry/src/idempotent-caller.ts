import type { Configuration, Route } from "@lentilramp/configuration";
import { BudgetedRetryPolicy, type FailureKind, QuantileHedgingPolicy, type RetryBudget } from "@lentilramp/retries";
import type { Clock, EventLog, Metrics, RandomSource } from "@lentilramp/runtime";
import { CallerError } from "./caller-error.ts";
import type { ServiceAnswer, ServiceCall, ServiceDispatcher } from "./service-dispatcher.ts";
import { UpstreamError, type UpstreamFailure } from "./upstream.ts";

const retryAfterMs = 1_000;

const failureKinds: Readonly<Record<UpstreamFailure, FailureKind>> = {
    refused: "not-sent",
    broken: "connection-lost",
    timeout: "timeout",
};

interface CallProgress {
    excludedEndpoints: Set<string>;
    attempts: number;
    /** Whether an endpoint may have executed the call. */
    mayHaveRun: boolean;
}

/** Sends idempotent calls, with retries and hedges as configured by the route and within the retry budget. */
export class IdempotentCaller {
    private readonly hedgingPolicy: QuantileHedgingPolicy;

    constructor(
        private readonly dispatcher: ServiceDispatcher,
        private readonly budget: RetryBudget,
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {
        this.hedgingPolicy = new QuantileHedgingPolicy(budget);
    }

    async call(configuration: Configuration, route: Route | undefined, call: ServiceCall): Promise<ServiceAnswer> {
        const retryPolicy = new BudgetedRetryPolicy(this.budget, this.random, {
            maxAttempts: route?.retry.maxAttempts ?? 1,
            baseMs: route?.retry.baseBackoffMs ?? 0,
            maxMs: route?.retry.maxBackoffMs ?? 0,
        });
        const progress: CallProgress = { excludedEndpoints: new Set(), attempts: 0, mayHaveRun: false };
        this.budget.recordRequest(this.clock.now());
        for (;;) {
            try {
                return await this.attemptWithHedge(configuration, route, call, progress);
            }
            catch (err) {
                if (!(err instanceof UpstreamError)) {
                    throw err;
                }
                const plan = retryPolicy.onFailure({
                    request: "plain",
                    failure: failureKinds[err.failure],
                    attempts: progress.attempts,
                    deadline: call.context.deadline,
                    minAttemptMs: 0,
                }, this.clock.now());
                this.log.info("call.attempt-failed", {
                    service: call.service,
                    endpoint: err.endpoint,
                    attempt: progress.attempts,
                    reason: err.failure,
                    retry: plan.isOk() ? "yes" : plan.error,
                });
                if (plan.isErr()) {
                    throw new CallerError(
                        504,
                        "endpoint-failed",
                        `no answer after ${progress.attempts} attempts (${plan.error}): ${err.message}`,
                        progress.mayHaveRun ? "unknown" : "not-run",
                        retryAfterMs,
                    );
                }
                await this.clock.sleepUntil(plan.value.startAt);
            }
        }
    }

    /** Sends one attempt and, if it is slow, a hedge to another endpoint. Returns the first answer. */
    private async attemptWithHedge(
        configuration: Configuration,
        route: Route | undefined,
        call: ServiceCall,
        progress: CallProgress,
    ): Promise<ServiceAnswer> {
        const startedAt = this.clock.now();
        const hedgeAt = route?.hedge.enabled === true ? this.hedgingPolicy.hedgeAt("plain", startedAt) : undefined;
        const abortController = new AbortController();
        const firstAttempt = this.sendAttempt(configuration, call, progress, abortController.signal);
        if (hedgeAt === undefined) {
            const answer = await firstAttempt;
            this.hedgingPolicy.record(this.clock.now() - startedAt);
            return answer;
        }
        let timer: { cancel(): void; } | undefined;
        const hedge = new Promise<ServiceAnswer>((resolve, reject) => {
            timer = this.clock.schedule(hedgeAt, () => {
                if (this.hedgingPolicy.tryHedge("plain", call.context.deadline, this.clock.now())) {
                    this.metrics.count("calls.hedged");
                    this.sendAttempt(configuration, call, progress, abortController.signal).then(resolve, reject);
                }
            });
        });
        // When the hedge fails, the result of the first attempt is used.
        hedge.catch(() => undefined);
        try {
            const answer = await Promise.race([firstAttempt, hedge.catch(() => firstAttempt)]);
            this.hedgingPolicy.record(this.clock.now() - startedAt);
            return answer;
        }
        finally {
            timer?.cancel();
            firstAttempt.catch(() => undefined);
            abortController.abort();
        }
    }

    private async sendAttempt(
        configuration: Configuration,
        call: ServiceCall,
        progress: CallProgress,
        signal: AbortSignal,
    ): Promise<ServiceAnswer> {
        const endpoint = this.dispatcher.choose(configuration, call, progress.excludedEndpoints);
        if (endpoint === undefined) {
            const run = progress.mayHaveRun ? "unknown" : "not-run";
            throw new CallerError(503, "no-endpoint", `no endpoint serves ${call.service} now`, run, retryAfterMs);
        }
        progress.attempts++;
        progress.excludedEndpoints.add(endpoint.id);
        try {
            const answer = await this.dispatcher.send(endpoint, call, signal);
            progress.mayHaveRun = true;
            return answer;
        }
        catch (err) {
            progress.mayHaveRun ||= !(err instanceof UpstreamError && err.failure === "refused");
            throw err;
        }
    }
}
