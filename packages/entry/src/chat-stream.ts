import type { Endpoint } from "@lentilramp/configuration";
import { BudgetedRetryPolicy, type RetryBudget } from "@lentilramp/retries";
import type { EngineRequest } from "@lentilramp/routing";
import type { EventLog, Metrics, RandomSource } from "@lentilramp/runtime";
import { ResumeFromPrefix, StreamAssembler } from "@lentilramp/streams";
import { CallerError, type RunState } from "./caller-error.ts";
import type { ChatBody } from "./chat-body.ts";
import { type AttemptDependencies, type AttemptResult, EngineAttempt } from "./engine-attempt.ts";
import type { RequestContext } from "./request-context.ts";
import type { TokenSink } from "./token-sink.ts";

const retryPauseMs = 50;
const noEndpointRetryMs = 1_000;
/** The latency target between tokens, used until a stream has shown its own interval. */
const assumedTokenIntervalMs = 71;

/** What a stream uses of its entry. */
export interface ChatStreamDependencies extends AttemptDependencies {
    log: EventLog;
    metrics: Metrics;
    budget: RetryBudget;
    random: RandomSource;
}

/** Where a stream continues: an endpoint that has imported the KV cache under `kvId`. */
export interface MoveTarget {
    endpoint: Endpoint;
    kvId: string;
    /** Tokens of prompt and answer in the imported KV cache. */
    tokens: number;
}

type LostEnd = AttemptResult & { kind: "lost"; };

/** One answer of a model, made of one or more attempts at engines. */
export class ChatStream {
    readonly assembler: StreamAssembler;
    private readonly resume = new ResumeFromPrefix();
    private readonly excluded = new Set<string>();
    private current: EngineAttempt | undefined;
    private target: MoveTarget | undefined;
    private readonly startedAt: number;
    private readonly retry: BudgetedRetryPolicy;
    private begun = false;
    /** True once a request may have reached an engine that did not refuse it. */
    private sent = false;
    private cancelled = false;

    constructor(
        readonly id: string,
        private readonly body: ChatBody,
        readonly context: RequestContext,
        readonly engineRequest: EngineRequest,
        received: number,
        private readonly hint: string | undefined,
        private readonly sink: TokenSink,
        private readonly parts: ChatStreamDependencies,
    ) {
        this.startedAt = parts.clock.now();
        this.retry = new BudgetedRetryPolicy(parts.budget, parts.random);
        this.assembler = new StreamAssembler({ offset: received, text: received > 0 ? body.resume_text ?? "" : "" });
    }

    /** Endpoint of the attempt in progress. */
    get endpoint(): Endpoint | undefined {
        return this.current?.request.endpoint;
    }

    /** Id of the attempt in progress at its endpoint. */
    get requestId(): string | undefined {
        return this.current?.request.requestId;
    }

    /** Time from the start of the stream to its first token; undefined before that. */
    firstTokenMs: number | undefined;

    /** Upper bound of the tokens still to be produced. */
    get remainingTokens(): number {
        return Math.max(0, (this.body.max_tokens ?? 0) - this.assembler.nextOffset);
    }

    /** Time between two tokens of the attempt in progress; an assumption before there are two. */
    tokenIntervalMs(now: number): number {
        const attempt = this.current;
        const tokens = this.assembler.nextOffset - (attempt?.firstOffset ?? 0);
        return attempt?.firstTokenAt === undefined || tokens < 2
            ? assumedTokenIntervalMs
            : (now - attempt.firstTokenAt) / tokens;
    }

    /** Stops the stream because the caller has gone. */
    cancel(): void {
        this.cancelled = true;
        this.interrupt("the caller has disconnected");
    }

    /** Ends the attempt in progress; the stream continues with another one. */
    interrupt(reason: string): void {
        this.current?.interrupt(reason);
    }

    /** Continues at an endpoint that has imported the KV cache. */
    moveTo(target: MoveTarget): void {
        this.target = target;
        this.interrupt("moved with its KV cache");
    }

    /** Relays the whole answer; rejects with a CallerError when it cannot be completed. */
    async run(): Promise<void> {
        this.parts.budget.recordRequest(this.startedAt);
        for (;;) {
            const decision = this.resume.decide({
                promptTokens: this.engineRequest.promptTokens,
                receivedTokens: this.assembler.nextOffset,
                cachedPromptTokens: 0,
                importedTokens: this.target?.tokens ?? 0,
                attempts: this.assembler.attempt,
                deadline: this.context.deadline,
            }, this.parts.clock.now());
            if (decision.kind === "give-up") {
                throw this.failure(`gave up after ${this.assembler.attempt} attempts (${decision.reason})`);
            }
            const end = await this.attempt();
            if (end.kind === "done" || this.cancelled) {
                this.sink.finish();
                return;
            }
            if (end.kind === "rejected") {
                throw this.rejection(end.status);
            }
            await this.prepareNext(end);
        }
    }

    private async prepareNext(end: LostEnd): Promise<void> {
        const { clock, log, metrics } = this.parts;
        const { endpoint } = this;
        if (end.fault && endpoint !== undefined) {
            this.parts.selector.table.recordFailure(endpoint.id, clock.now());
            this.excluded.add(endpoint.id);
        }
        log.info("stream.resumed", {
            stream: this.id,
            attempt: this.assembler.attempt,
            endpoint: endpoint?.id,
            offset: this.assembler.nextOffset,
            reason: end.reason,
        });
        metrics.count("streams.resumed");
        this.current = undefined;
        if (end.fault && !this.begun) {
            await this.waitForRetry(end.reason);
        }
        else if (end.fault) {
            // An accepted stream is resumed without a budget, because its caller has a part of the answer already.
            await clock.sleepUntil(clock.now() + retryPauseMs);
        }
    }

    /** A request that has not begun is retried within the budget, so that a failing domain causes no storm. */
    private async waitForRetry(reason: string): Promise<void> {
        const { clock } = this.parts;
        const plan = this.retry.onFailure({
            request: "stream",
            failure: this.sent ? "connection-lost" : "not-sent",
            attempts: this.assembler.attempt,
            deadline: this.context.deadline,
            minAttemptMs: 0,
        }, clock.now());
        if (plan.isErr()) {
            throw this.failure(`${reason}; not retried (${plan.error})`);
        }
        await clock.sleepUntil(plan.value.startAt);
    }

    private choose(): Endpoint {
        const chosen = this.select();
        if (chosen === undefined && this.excluded.size > 0) {
            // Every endpoint has failed once; a second try is better than a cut answer.
            this.excluded.clear();
            return this.choose();
        }
        if (chosen === undefined) {
            throw this.failure("no endpoint serves the model now", "no-endpoint");
        }
        return chosen;
    }

    private select(): Endpoint | undefined {
        try {
            return this.parts.selector.choose(
                { ...this.engineRequest, excluded: this.excluded },
                this.assembler.attempt === 0 ? this.hint : undefined,
                this.parts.clock.now(),
            );
        }
        catch (err) {
            // The prediction applies to requests that have not begun; an accepted stream goes on as long as it can.
            throw err instanceof CallerError && (this.begun || this.sent) ? this.failure(err.message) : err;
        }
    }

    private async attempt(): Promise<AttemptResult> {
        const moved = this.target;
        this.target = undefined;
        const endpoint = moved?.endpoint ?? this.choose();
        const attempt = new EngineAttempt(
            {
                requestId: `${this.id}.${this.assembler.attempt + 1}`,
                endpoint,
                engineRequest: this.engineRequest,
                body: this.body,
                kv: moved === undefined ? undefined : { id: moved.kvId, tokens: moved.tokens },
            },
            this.assembler,
            {
                begin: chosen => this.begin(chosen),
                write: (tokens, raw) => this.sink.write(tokens, raw),
                firstToken: at => this.firstTokenMs ??= at - this.startedAt,
            },
            this.parts,
        );
        this.current = attempt;
        const end = await attempt.run();
        this.sent ||= end.kind === "lost" && end.sent;
        return end;
    }

    private begin(endpoint: Endpoint): void {
        this.sent = true;
        if (!this.begun) {
            this.begun = true;
            this.sink.begin({
                requestId: this.id,
                endpoint: endpoint.id,
                model: this.body.model,
                promptTokens: this.engineRequest.promptTokens,
            });
        }
    }

    /** The engine refused the request itself; 409 means that the received text does not belong to the answer. */
    private rejection(status: number): CallerError {
        return status === 409
            ? new CallerError(409, "resume-mismatch", "the received text does not belong to this answer", this.runState)
            : new CallerError(
                502,
                "endpoint-rejected",
                `the engine refused the request with status ${status}`,
                this.runState,
            );
    }

    private failure(message: string, type: "no-endpoint" | "stream-cut" = "stream-cut"): CallerError {
        return this.begun
            ? new CallerError(502, "stream-cut", message, "partial", noEndpointRetryMs)
            : new CallerError(
                503,
                type === "stream-cut" ? "endpoint-failed" : type,
                message,
                this.runState,
                noEndpointRetryMs,
            );
    }

    /** An attempt that was sent may have run at the engine, also when no token has arrived. */
    private get runState(): RunState {
        return this.begun ? "partial" : this.sent ? "unknown" : "not-run";
    }
}
