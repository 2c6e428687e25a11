import {
    type CallState,
    type Claim,
    type ClaimCoordinator,
    type ClaimResult,
    type CompletedOutcome,
    completedOutcome,
    type KeyRefusal,
    requestDigest,
} from "@lentilramp/claims";
import type { Configuration } from "@lentilramp/configuration";
import type { Clock, EventLog, Metrics } from "@lentilramp/runtime";
import { CallerError } from "./caller-error.ts";
import type { ServiceAnswer, ServiceCall, ServiceDispatcher } from "./service-dispatcher.ts";
import { UpstreamError } from "./upstream.ts";

const retryMs = 1_000;
const inProgressRetryMs = 500;
const unprocessable = 422;

/** Answer that is stored for a key, as the caller gets it. */
export function toStoredAnswer(outcome: CompletedOutcome): ServiceAnswer {
    if (outcome.body === undefined) {
        throw new CallerError(
            410,
            "answer-not-kept",
            `the call was executed with status ${outcome.status}; its answer of ${outcome.bodyBytes} bytes was too large to keep`,
            "completed",
        );
    }
    return {
        endpoint: "stored",
        status: outcome.status,
        contentType: outcome.contentType,
        body: Buffer.from(outcome.body),
    };
}

/** The final answer for a state in which no stored answer exists. */
export function toCallStateError(state: Exclude<CallState, { kind: "completed"; }>): CallerError {
    switch (state.kind) {
        case "not-run":
            return new CallerError(409, "not-run", "the call was not run and never will be; use a new key", "not-run");
        case "in-progress":
            return new CallerError(409, "in-progress", "the call is in progress", "in-progress", inProgressRetryMs);
        case "unknown":
            return new CallerError(
                503,
                "outcome-unknown",
                "the outcome cannot be known now; ask again with the key",
                "unknown",
                retryMs,
            );
    }
}

/** An expired key may have run and one issued ahead may still run; an invalid key never does. */
function refusedKey(reason: KeyRefusal): CallerError {
    const run = { expired: "unknown", "issued-ahead": "undecided", "invalid-key": "not-run" } as const;
    return new CallerError(400, "invalid-key", `idempotency-key must be a current UUIDv7 (${reason})`, run[reason]);
}

/** Executes non-idempotent calls at most once, under the claim of their key. */
export class AtMostOnceCaller {
    private readonly storing = new Set<Promise<unknown>>();

    constructor(
        private readonly coordinator: ClaimCoordinator,
        private readonly dispatcher: ServiceDispatcher,
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {}

    /** Waits until the outcomes of ended calls are stored. */
    async waitForStoredOutcomes(): Promise<void> {
        await Promise.allSettled(this.storing);
    }

    async call(configuration: Configuration, call: ServiceCall, key: string): Promise<ServiceAnswer> {
        const digest = requestDigest(`${call.service}/${call.operation}`, call.body);
        const result = await this.coordinator.claim({ key, digest, deadline: call.context.deadline });
        this.metrics.count(`claims.${result.kind}`);
        if (result.kind === "claimed") {
            return await this.execute(configuration, call, result.claim);
        }
        return this.answerWithoutClaim(result);
    }

    private answerWithoutClaim(result: Exclude<ClaimResult, { kind: "claimed"; }>): ServiceAnswer {
        switch (result.kind) {
            case "completed":
                return toStoredAnswer(result.outcome);
            case "not-run":
            case "in-progress":
            case "unknown":
                throw toCallStateError(result);
            case "undecided":
                throw new CallerError(
                    503,
                    result.reason === "deadline" ? "deadline-unreachable" : "no-permit",
                    `not dispatched (${result.reason}); send it again with the same key`,
                    "undecided",
                    retryMs,
                );
            case "key-reused":
                throw new CallerError(unprocessable, "key-reused", "the key was used with another body", "not-run");
            case "refused":
                throw refusedKey(result.reason);
        }
    }

    private async execute(configuration: Configuration, call: ServiceCall, claim: Claim): Promise<ServiceAnswer> {
        const excluded = new Set<string>();
        for (;;) {
            const endpoint = this.dispatcher.choose(configuration, call, excluded);
            const check = endpoint === undefined ? "no-endpoint" : claim.beginDispatch();
            // After a refused connection no byte was sent, so the same claim may try another endpoint.
            const retry = check === "already-dispatched" && this.clock.now() < call.context.deadline;
            if (endpoint === undefined || (check !== "dispatch" && !retry)) {
                if (check === "no-endpoint" || check === "already-dispatched") {
                    this.store(claim.markNotRun());
                }
                throw new CallerError(503, "not-run", `not dispatched (${check}); use a new key`, "not-run", retryMs);
            }
            try {
                const answer = await this.dispatcher.send(endpoint, call);
                this.store(claim.complete(completedOutcome(answer.status, answer.contentType, answer.body)));
                return answer;
            }
            catch (err) {
                if (!(err instanceof UpstreamError) || err.failure !== "refused") {
                    this.log.warn("call.outcome-unknown", {
                        service: call.service,
                        endpoint: endpoint.id,
                        error: String(err),
                    });
                    throw toCallStateError({ kind: "unknown", sealable: false });
                }
                excluded.add(endpoint.id);
            }
        }
    }

    private store(outcome: Promise<boolean>): void {
        const stored = outcome.then(
            held => {
                if (!held) {
                    this.log.warn("claims.outcome-not-stored", {});
                }
            },
            (err: unknown) => this.log.error("claims.outcome-failed", { error: String(err) }),
        ).finally(() => this.storing.delete(stored));
        this.storing.add(stored);
    }
}
