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

const retryAfterMs = 1_000;
const inProgressRetryAfterMs = 500;
const unprocessableContentStatus = 422;

/** Converts the stored outcome of a key to an answer. Throws a CallerError when the body was too large to store. */
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

/** Returns the error for a call that has no stored answer. */
export function toCallStateError(state: Exclude<CallState, { kind: "completed"; }>): CallerError {
    switch (state.kind) {
        case "not-run":
            return new CallerError(409, "not-run", "the call was not run and never will be; use a new key", "not-run");
        case "in-progress":
            return new CallerError(
                409,
                "in-progress",
                "the call is in progress",
                "in-progress",
                inProgressRetryAfterMs,
            );
        case "unknown":
            return new CallerError(
                503,
                "outcome-unknown",
                "the outcome cannot be known now; ask again with the key",
                "unknown",
                retryAfterMs,
            );
    }
}

/**
 * Returns the error for a refused key. A call with an expired key may have run, and a call with a key whose issue time
 * is in the future may still run later; a call with an invalid key never runs.
 */
function toKeyRefusalError(reason: KeyRefusal): CallerError {
    const run = { expired: "unknown", "issued-ahead": "undecided", "invalid-key": "not-run" } as const;
    return new CallerError(400, "invalid-key", `idempotency-key must be a current UUIDv7 (${reason})`, run[reason]);
}

/** Executes non-idempotent calls at most once by claiming their request key before the dispatch. */
export class AtMostOnceCaller {
    private readonly pendingStores = new Set<Promise<unknown>>();

    constructor(
        private readonly coordinator: ClaimCoordinator,
        private readonly dispatcher: ServiceDispatcher,
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {}

    /** Waits until the outcomes of completed calls are stored. */
    async waitForStoredOutcomes(): Promise<void> {
        await Promise.allSettled(this.pendingStores);
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
                    retryAfterMs,
                );
            case "key-reused":
                throw new CallerError(
                    unprocessableContentStatus,
                    "key-reused",
                    "the key was used with another body",
                    "not-run",
                );
            case "refused":
                throw toKeyRefusalError(result.reason);
        }
    }

    private async execute(configuration: Configuration, call: ServiceCall, claim: Claim): Promise<ServiceAnswer> {
        const excludedEndpoints = new Set<string>();
        for (;;) {
            const endpoint = this.dispatcher.choose(configuration, call, excludedEndpoints);
            const decision = endpoint === undefined ? "no-endpoint" : claim.beginDispatch();
            // A refused connection sends no byte of the request, so another endpoint can be tried under the same claim.
            const canRetry = decision === "already-dispatched" && this.clock.now() < call.context.deadline;
            if (endpoint === undefined || (decision !== "dispatch" && !canRetry)) {
                if (decision === "no-endpoint" || decision === "already-dispatched") {
                    this.storeOutcome(claim.markNotRun());
                }
                throw new CallerError(
                    503,
                    "not-run",
                    `not dispatched (${decision}); use a new key`,
                    "not-run",
                    retryAfterMs,
                );
            }
            try {
                const answer = await this.dispatcher.send(endpoint, call);
                this.storeOutcome(claim.complete(completedOutcome(answer.status, answer.contentType, answer.body)));
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
                excludedEndpoints.add(endpoint.id);
            }
        }
    }

    private storeOutcome(outcome: Promise<boolean>): void {
        const pendingStore = outcome.then(
            isStored => {
                if (!isStored) {
                    this.log.warn("claims.outcome-not-stored", {});
                }
            },
            (err: unknown) => this.log.error("claims.outcome-failed", { error: String(err) }),
        ).finally(() => this.pendingStores.delete(pendingStore));
        this.pendingStores.add(pendingStore);
    }
}
