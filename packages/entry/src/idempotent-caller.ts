import type { Configuration, Route } from "@lentilramp/configuration";
import { BudgetedRetryPolicy, type FailureKind, QuantileHedgingPolicy, type RetryBudget } from "@lentilramp/retries";
import type { Clock, EventLog, Metrics, RandomSource } from "@lentilramp/runtime";
import { CallerError } from "./caller-error.ts";
import type { ServiceAnswer, ServiceCall, ServiceDispatcher } from "./service-dispatcher.ts";
import { UpstreamError, type UpstreamFailure } from "./upstream.ts";

const noEndpointRetryMs = 1_000;

const failureKinds: Readonly<Record<UpstreamFailure, FailureKind>> = {
    refused: "not-sent",
    broken: "connection-lost",
    timeout: "timeout",
};

interface CallProgress {
    excluded: Set<string>;
    attempts: number;
    /** True once a request may have reached an endpoint. */
    sent: boolean;
}

/** Sends idempotent calls: retries and hedges as the route allows, within the retry budget. */
export class IdempotentCaller {
    private readonly hedging: QuantileHedgingPolicy;

    constructor(
        private readonly dispatcher: ServiceDispatcher,
        private readonly budget: RetryBudget,
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {
        this.hedging = new QuantileHedgingPolicy(budget);
    }

    async call(configuration: Configuration, route: Route | undefined, call: ServiceCall): Promise<ServiceAnswer> {
        const retry = new BudgetedRetryPolicy(this.budget, this.random, {
            maxAttempts: route?.retry.maxAttempts ?? 1,
            baseMs: route?.retry.baseBackoffMs ?? 0,
            maxMs: route?.retry.maxBackoffMs ?? 0,
        });
        const progress: CallProgress = { excluded: new Set(), attempts: 0, sent: false };
        this.budget.recordRequest(this.clock.now());
        for (;;) {
            try {
                return await this.attempt(configuration, route, call, progress);
            }
            catch (err) {
                if (!(err instanceof UpstreamError)) {
                    throw err;
                }
                const plan = retry.onFailure({
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
                        progress.sent ? "unknown" : "not-run",
                        noEndpointRetryMs,
                    );
                }
                await this.clock.sleepUntil(plan.value.startAt);
            }
        }
    }

    /** One attempt, with a hedge at another endpoint when it is slow. The first answer counts. */
    private async attempt(
        configuration: Configuration,
        route: Route | undefined,
        call: ServiceCall,
        progress: CallProgress,
    ): Promise<ServiceAnswer> {
        const startedAt = this.clock.now();
        const hedgeAt = route?.hedge.enabled === true ? this.hedging.hedgeAt("plain", startedAt) : undefined;
        const abort = new AbortController();
        const first = this.sendOnce(configuration, call, progress, abort.signal);
        if (hedgeAt === undefined) {
            const answer = await first;
            this.hedging.record(this.clock.now() - startedAt);
            return answer;
        }
        let timer: { cancel(): void; } | undefined;
        const second = new Promise<ServiceAnswer>((resolve, reject) => {
            timer = this.clock.schedule(hedgeAt, () => {
                if (this.hedging.tryHedge("plain", call.context.deadline, this.clock.now())) {
                    this.metrics.count("calls.hedged");
                    this.sendOnce(configuration, call, progress, abort.signal).then(resolve, reject);
                }
            });
        });
        // A failed hedge leaves the decision to the first attempt.
        second.catch(() => undefined);
        try {
            const answer = await Promise.race([first, second.catch(() => first)]);
            this.hedging.record(this.clock.now() - startedAt);
            return answer;
        }
        finally {
            timer?.cancel();
            first.catch(() => undefined);
            abort.abort();
        }
    }

    private async sendOnce(
        configuration: Configuration,
        call: ServiceCall,
        progress: CallProgress,
        signal: AbortSignal,
    ): Promise<ServiceAnswer> {
        const endpoint = this.dispatcher.choose(configuration, call, progress.excluded);
        if (endpoint === undefined) {
            const run = progress.sent ? "unknown" : "not-run";
            throw new CallerError(503, "no-endpoint", `no endpoint serves ${call.service} now`, run, noEndpointRetryMs);
        }
        progress.attempts++;
        progress.excluded.add(endpoint.id);
        try {
            const answer = await this.dispatcher.send(endpoint, call, signal);
            progress.sent = true;
            return answer;
        }
        catch (err) {
            progress.sent ||= !(err instanceof UpstreamError && err.failure === "refused");
            throw err;
        }
    }
}
