import type { Endpoint } from "@lentilramp/configuration";
import type { CallerPresence } from "@lentilramp/protocol";
import { BudgetedRetryPolicy, type RetryBudget } from "@lentilramp/retries";
import type { EngineRequest } from "@lentilramp/routing";
import type { EventLog, Metrics, RandomSource } from "@lentilramp/runtime";
import { ResumeFromPrefix, StreamAssembler } from "@lentilramp/streams";
import { callerClosedError, CallerError, type RunState } from "./caller-error.ts";
import type { ChatBody } from "./chat-body.ts";
import { type AttemptDependencies, type AttemptResult, EngineAttempt } from "./engine-attempt.ts";
import type { RequestContext } from "./request-context.ts";
import type { TokenSink } from "./token-sink.ts";

const retryPauseMs = 50;
const retryAfterMs = 1_000;
/** Latency target between tokens, used until the interval of an attempt can be measured. */
const defaultTokenIntervalMs = 71;

/** Components that a stream uses. */
export interface ChatStreamDependencies extends AttemptDependencies {
    log: EventLog;
    metrics: Metrics;
    budget: RetryBudget;
    random: RandomSource;
}

/** Endpoint at which a stream continues, after it has imported the stream's KV cache as `kvId`. */
export interface MoveTarget {
    endpoint: Endpoint;
    kvId: string;
    /** Number of prompt and answer tokens in the imported KV cache. */
    tokens: number;
}

type LostAttempt = AttemptResult & { kind: "lost"; };

/** Relays one model answer to the caller, with one or more attempts at engines. */
export class ChatStream {
    readonly assembler: StreamAssembler;
    private readonly resumePolicy = new ResumeFromPrefix();
    private readonly excludedEndpoints = new Set<string>();
    private currentAttempt: EngineAttempt | undefined;
    private pendingMove: MoveTarget | undefined;
    private readonly startedAt: number;
    private readonly retryPolicy: BudgetedRetryPolicy;
    private responseStarted = false;
    /** Whether an engine may have run a part of the request. */
    private mayHaveRun = false;
    private cancelled = false;

    constructor(
        readonly id: string,
        private readonly body: ChatBody,
        readonly context: RequestContext,
        readonly engineRequest: EngineRequest,
        receivedTokens: number,
        private readonly endpointHint: string | undefined,
        private readonly sink: TokenSink,
        private readonly deps: ChatStreamDependencies,
    ) {
        this.startedAt = deps.clock.now();
        this.retryPolicy = new BudgetedRetryPolicy(deps.budget, deps.random);
        this.assembler = new StreamAssembler({
            offset: receivedTokens,
            text: receivedTokens > 0 ? body.resume_text ?? "" : "",
        });
    }

    /** Endpoint of the attempt in progress. */
    get endpoint(): Endpoint | undefined {
        return this.currentAttempt?.request.endpoint;
    }

    /** Request id of the attempt in progress at its endpoint. */
    get requestId(): string | undefined {
        return this.currentAttempt?.request.requestId;
    }

    /** Time from the start of the stream to its first token; undefined before the first token. */
    firstTokenMs: number | undefined;

    /** Upper bound on the number of tokens that are still to be generated. */
    get remainingTokens(): number {
        return Math.max(0, (this.body.max_tokens ?? 0) - this.assembler.nextOffset);
    }

    /** Returns the mean time between tokens of the current attempt, or a default value before its second token. */
    tokenIntervalMs(now: number): number {
        const attempt = this.currentAttempt;
        const tokens = this.assembler.nextOffset - (attempt?.firstOffset ?? 0);
        return attempt?.firstTokenAt === undefined || tokens < 2
            ? defaultTokenIntervalMs
            : (now - attempt.firstTokenAt) / tokens;
    }

    /** Cancels the stream after the caller has disconnected. */
    cancel(): void {
        this.cancelled = true;
        this.interrupt("the caller has disconnected");
    }

    /** Aborts the current attempt; the stream continues with another attempt. */
    interrupt(reason: string): void {
        this.currentAttempt?.interrupt(reason);
    }

    /** Aborts the current attempt and continues at an endpoint that has imported the KV cache. */
    moveTo(target: MoveTarget): void {
        this.pendingMove = target;
        this.interrupt("moved with its KV cache");
    }

    /**
     * Relays the whole answer while the caller is there. Resolves with the error for a caller that has left meanwhile, and
     * rejects with a CallerError when the answer cannot be completed.
     */
    async run(caller: CallerPresence): Promise<CallerError | undefined> {
        this.deps.budget.recordRequest(this.startedAt);
        for (;;) {
            const decision = this.resumePolicy.decide({
                promptTokens: this.engineRequest.promptTokens,
                receivedTokens: this.assembler.nextOffset,
                cachedPromptTokens: 0,
                importedTokens: this.pendingMove?.tokens ?? 0,
                attempts: this.assembler.attempt,
                deadline: this.context.deadline,
            }, this.deps.clock.now());
            if (decision.kind === "give-up") {
                throw this.toFailureError(`gave up after ${this.assembler.attempt} attempts (${decision.reason})`);
            }
            const result = await this.runAttempt();
            if (result.kind === "done") {
                this.sink.finish();
                return undefined;
            }
            if (this.cancelled) {
                return callerClosedError(this.runState);
            }
            if (result.kind === "rejected") {
                throw this.toRejectionError(result.status);
            }
            await this.prepareNextAttempt(result);
            if (await caller.hasLeft()) {
                return callerClosedError(this.runState);
            }
        }
    }

    private async prepareNextAttempt(result: LostAttempt): Promise<void> {
        const { clock, log, metrics } = this.deps;
        const { endpoint } = this;
        if (result.endpointAtFault && endpoint !== undefined) {
            this.deps.selector.table.recordFailure(endpoint.id, clock.now());
            this.excludedEndpoints.add(endpoint.id);
        }
        log.info("stream.resumed", {
            stream: this.id,
            attempt: this.assembler.attempt,
            endpoint: endpoint?.id,
            offset: this.assembler.nextOffset,
            reason: result.reason,
        });
        metrics.count("streams.resumed");
        this.currentAttempt = undefined;
        if (result.endpointAtFault && !this.responseStarted) {
            await this.waitForRetry(result.reason);
        }
        else if (result.endpointAtFault) {
            // A started response is resumed outside of the retry budget, since its caller already has a part of it.
            await clock.sleepUntil(clock.now() + retryPauseMs);
        }
    }

    /**
     * Waits for the backoff of a retry before the response has started. Such retries use the retry budget, so that a
     * failing failure domain causes no retry storm.
     */
    private async waitForRetry(reason: string): Promise<void> {
        const { clock } = this.deps;
        const plan = this.retryPolicy.onFailure({
            request: "stream",
            failure: this.mayHaveRun ? "connection-lost" : "not-sent",
            attempts: this.assembler.attempt,
            deadline: this.context.deadline,
            minAttemptMs: 0,
        }, clock.now());
        if (plan.isErr()) {
            throw this.toFailureError(`${reason}; not retried (${plan.error})`);
        }
        await clock.sleepUntil(plan.value.startAt);
    }

    private chooseEndpoint(): Endpoint {
        const chosen = this.selectEndpoint();
        if (chosen === undefined && this.excludedEndpoints.size > 0) {
            // Every endpoint has failed once. A second attempt at one of them is better than a truncated answer.
            this.excludedEndpoints.clear();
            return this.chooseEndpoint();
        }
        if (chosen === undefined) {
            throw this.toFailureError("no endpoint serves the model now", "no-endpoint");
        }
        return chosen;
    }

    private selectEndpoint(): Endpoint | undefined {
        try {
            return this.deps.selector.choose(
                { ...this.engineRequest, excluded: this.excludedEndpoints },
                this.assembler.attempt === 0 ? this.endpointHint : undefined,
                this.deps.clock.now(),
            );
        }
        catch (err) {
            // The latency prediction only refuses requests that no engine has run; other streams continue if they can.
            throw err instanceof CallerError && (this.responseStarted || this.mayHaveRun)
                ? this.toFailureError(err.message)
                : err;
        }
    }

    private async runAttempt(): Promise<AttemptResult> {
        const move = this.pendingMove;
        this.pendingMove = undefined;
        const endpoint = move?.endpoint ?? this.chooseEndpoint();
        const attempt = new EngineAttempt(
            {
                requestId: `${this.id}.${this.assembler.attempt + 1}`,
                endpoint,
                engineRequest: this.engineRequest,
                body: this.body,
                importedKv: move === undefined ? undefined : { id: move.kvId, tokens: move.tokens },
            },
            this.assembler,
            {
                onAccepted: chosen => this.startResponse(chosen),
                write: (tokens, raw) => this.sink.write(tokens, raw),
                onFirstToken: at => this.firstTokenMs ??= at - this.startedAt,
            },
            this.deps,
        );
        this.currentAttempt = attempt;
        const result = await attempt.run();
        this.mayHaveRun ||= result.kind === "lost" && result.mayHaveRun;
        return result;
    }

    private startResponse(endpoint: Endpoint): void {
        this.mayHaveRun = true;
        if (!this.responseStarted) {
            this.responseStarted = true;
            this.sink.begin({
                requestId: this.id,
                endpoint: endpoint.id,
                model: this.body.model,
                promptTokens: this.engineRequest.promptTokens,
            });
        }
    }

    /**
     * Returns the error for a request that the engine rejected. Status 409 means that the text received by the caller
     * is not a prefix of the answer.
     */
    private toRejectionError(status: number): CallerError {
        return status === 409
            ? new CallerError(409, "resume-mismatch", "the received text does not belong to this answer", this.runState)
            : new CallerError(
                502,
                "endpoint-rejected",
                `the engine refused the request with status ${status}`,
                this.runState,
            );
    }

    private toFailureError(message: string, type: "no-endpoint" | "stream-cut" = "stream-cut"): CallerError {
        return this.runState === "partial"
            ? new CallerError(502, "stream-cut", message, "partial", retryAfterMs)
            : new CallerError(
                503,
                type === "stream-cut" ? "endpoint-failed" : type,
                message,
                this.runState,
                retryAfterMs,
            );
    }

    /** Execution state for errors. An engine may have run a request even if no token has arrived. */
    private get runState(): RunState {
        // An answer that is not streamed is sent only once it is complete, so that no part of it can be continued.
        if (this.responseStarted && this.body.stream) {
            return "partial";
        }
        return this.mayHaveRun ? "unknown" : "not-run";
    }
}
