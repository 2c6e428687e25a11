import type { Endpoint } from "@lentilramp/configuration";
import { BudgetedRetryPolicy, type RetryBudget } from "@lentilramp/retries";
import type { EngineRequest } from "@lentilramp/routing";
import type { Clock, EventLog, Metrics, RandomSource } from "@lentilramp/runtime";
import { ResumeFromPrefix, StreamAssembler } from "@lentilramp/streams";
import { CallerError, type RunState } from "./caller-error.ts";
import type { ChatBody } from "./chat-body.ts";
import { readEngineAnswer } from "./engine-answer.ts";
import type { EngineEvent } from "./engine-events.ts";
import type { EngineSelector } from "./engine-selector.ts";
import type { RequestContext } from "./request-context.ts";
import type { SilenceMonitor } from "./silence-monitor.ts";
import type { RelayedToken, TokenSink } from "./token-sink.ts";
import { type UpstreamClient, UpstreamError } from "./upstream.ts";

const retryPauseMs = 50;
const noEndpointRetryMs = 1_000;
/** The latency target between tokens, used until a stream has shown its own interval. */
const assumedTokenIntervalMs = 71;

/** What a stream uses of its entry. */
export interface ChatStreamParts {
    selector: EngineSelector;
    upstream: UpstreamClient;
    silence: SilenceMonitor;
    clock: Clock;
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

/** How an attempt ended. `fault` excludes the endpoint from the next attempt. */
type AttemptEnd = { kind: "done"; } | { kind: "lost"; reason: string; fault: boolean; };

interface Attempt {
    number: number;
    requestId: string;
    endpoint: Endpoint;
    abort: AbortController;
    reason: string;
    /** Offset of its first token. */
    firstOffset: number;
    firstTokenAt: number | undefined;
    startedAt: number;
}

/** One answer of a model, made of one or more attempts at engines. */
export class ChatStream {
    readonly assembler: StreamAssembler;
    private readonly resume = new ResumeFromPrefix();
    private readonly excluded = new Set<string>();
    private current: Attempt | undefined;
    private target: MoveTarget | undefined;
    private readonly startedAt: number;
    private readonly retry: BudgetedRetryPolicy;
    private begun = false;
    /** True once a request may have reached an engine that did not refuse it. */
    private sent = false;
    private cancelled = false;
    /** Tokens released but not yet written to the caller. */
    private batch: RelayedToken[] = [];

    constructor(
        readonly id: string,
        private readonly body: ChatBody,
        readonly context: RequestContext,
        readonly engineRequest: EngineRequest,
        received: number,
        private readonly hint: string | undefined,
        private readonly sink: TokenSink,
        private readonly parts: ChatStreamParts,
    ) {
        this.startedAt = parts.clock.now();
        this.retry = new BudgetedRetryPolicy(parts.budget, parts.random);
        this.assembler = new StreamAssembler({ offset: received, text: received > 0 ? body.resume_text ?? "" : "" });
    }

    /** Endpoint of the attempt in progress. */
    get endpoint(): Endpoint | undefined {
        return this.current?.endpoint;
    }

    /** Id of the attempt in progress at its endpoint. */
    get requestId(): string | undefined {
        return this.current?.requestId;
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
        if (this.current !== undefined) {
            this.current.reason = reason;
            this.current.abort.abort();
        }
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
            await this.prepareNext(end);
        }
    }

    private async prepareNext(end: AttemptEnd & { kind: "lost"; }): Promise<void> {
        const { clock, log, metrics } = this.parts;
        if (end.fault && this.current !== undefined) {
            this.parts.selector.table.recordFailure(this.current.endpoint.id, clock.now());
            this.excluded.add(this.current.endpoint.id);
        }
        log.info("stream.resumed", {
            stream: this.id,
            attempt: this.assembler.attempt,
            endpoint: this.current?.endpoint.id,
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
            expectedMs: 0,
        }, clock.now());
        if (plan.isErr()) {
            throw this.failure(`${reason}; not retried (${plan.error})`);
        }
        await clock.sleepUntil(plan.value.at);
    }

    private choose(): { endpoint: Endpoint; kvId: string | undefined; importedTokens: number; } {
        const moved = this.target;
        this.target = undefined;
        if (moved !== undefined) {
            return { endpoint: moved.endpoint, kvId: moved.kvId, importedTokens: moved.tokens };
        }
        const chosen = this.select();
        if (chosen === undefined && this.excluded.size > 0) {
            // Every endpoint has failed once; a second try is better than a cut answer.
            this.excluded.clear();
            return this.choose();
        }
        if (chosen === undefined) {
            throw this.failure("no endpoint serves the model now", "no-endpoint");
        }
        return { endpoint: chosen, kvId: undefined, importedTokens: 0 };
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

    private async attempt(): Promise<AttemptEnd> {
        const { endpoint, kvId, importedTokens } = this.choose();
        const number = this.assembler.startAttempt();
        const attempt: Attempt = {
            number,
            requestId: `${this.id}.${number}`,
            endpoint,
            abort: new AbortController(),
            reason: "connection lost",
            firstOffset: this.assembler.nextOffset,
            firstTokenAt: undefined,
            startedAt: this.parts.clock.now(),
        };
        this.current = attempt;
        const { silence, selector, clock } = this.parts;
        selector.table.recordDispatch(
            attempt.requestId,
            endpoint.id,
            this.engineRequest,
            Math.max(0, this.engineRequest.promptTokens + this.assembler.nextOffset - importedTokens),
            clock.now(),
        );
        silence.watch({
            id: attempt.requestId,
            endpoint,
            onDead: reason => {
                attempt.reason = `silent connection (${reason})`;
                attempt.abort.abort();
            },
        });
        const expiry = clock.schedule(this.context.deadline, () => {
            attempt.reason = "deadline";
            attempt.abort.abort();
        });
        try {
            return await this.relay(attempt, kvId);
        }
        catch (err) {
            if (err instanceof CallerError) {
                throw err;
            }
            const fault = !attempt.abort.signal.aborted;
            this.sent ||= !(err instanceof UpstreamError && err.failure === "refused");
            return {
                kind: "lost",
                reason: fault && err instanceof UpstreamError ? err.message : attempt.reason,
                fault,
            };
        }
        finally {
            expiry.cancel();
            silence.unwatch(attempt.requestId);
            selector.table.inFlight.ended(attempt.requestId);
        }
    }

    private async relay(attempt: Attempt, kvId: string | undefined): Promise<AttemptEnd> {
        const { upstream } = this.parts;
        const received = this.assembler.received();
        const resumed = received.offset > 0
            ? { resume_offset: received.offset, resume_text: received.text }
            : { resume_text: undefined };
        const res = await upstream.send({
            endpoint: attempt.endpoint,
            method: "POST",
            path: "/v1/chat/completions",
            headers: {
                "x-request-id": attempt.requestId,
                "x-priority": this.context.priority,
                "x-request-deadline": String(this.context.deadline),
                ...(kvId === undefined ? {} : { "x-kv-id": kvId }),
            },
            body: JSON.stringify({ ...this.body, ...resumed, stream: true }),
            deadline: this.context.deadline,
            signal: attempt.abort.signal,
        });
        if (res.statusCode !== 200) {
            res.resume();
            return this.rejected(res.statusCode ?? 0);
        }
        this.sent = true;
        this.begin(attempt);
        const first = Number(res.headers["x-resume-offset"] ?? received.offset);
        let end: AttemptEnd = { kind: "lost", reason: "the engine's answer was cut", fault: true };
        await readEngineAnswer(res, first, events => {
            const ended = this.takeEvents(attempt, events);
            if (ended !== undefined) {
                end = ended;
                return { kind: "ended" };
            }
            const wait = this.batch.length > 0 ? this.sink.write(this.batch) : undefined;
            this.batch = [];
            return { kind: "continue", wait };
        });
        return end;
    }

    /** Passes the tokens of a batch on in order; returns how the attempt ended, if it did. */
    private takeEvents(attempt: Attempt, events: readonly EngineEvent[]): AttemptEnd | undefined {
        let last = -1;
        for (const event of events) {
            if (event.kind === "done") {
                void this.sink.write(this.batch);
                this.batch = [];
                return this.assembler.finish(attempt.number)
                    ? { kind: "done" }
                    : { kind: "lost", reason: "replaced", fault: false };
            }
            const accepted = this.assembler.accept(attempt.number, event.offset, event.text);
            last = event.offset;
            if (accepted.kind === "released") {
                this.batch.push(event);
            }
            else if (accepted.kind === "gap" || accepted.kind === "mismatch") {
                attempt.abort.abort();
                return { kind: "lost", reason: `the engine resumed with a ${accepted.kind}`, fault: true };
            }
        }
        if (last >= 0) {
            this.parts.silence.onBytes(attempt.requestId, last + 1);
            this.noteFirstToken(attempt);
        }
        return undefined;
    }

    private noteFirstToken(attempt: Attempt): void {
        if (attempt.firstTokenAt === undefined) {
            const { selector, clock } = this.parts;
            attempt.firstTokenAt = clock.now();
            this.firstTokenMs ??= attempt.firstTokenAt - this.startedAt;
            selector.table.recordSuccess(
                attempt.endpoint.id,
                attempt.firstTokenAt - attempt.startedAt,
                attempt.firstTokenAt,
            );
            selector.table.inFlight.firstToken(attempt.requestId);
        }
    }

    private begin(attempt: Attempt): void {
        if (!this.begun) {
            this.begun = true;
            this.sink.begin({
                requestId: this.id,
                endpoint: attempt.endpoint.id,
                model: this.body.model,
                promptTokens: this.engineRequest.promptTokens,
            });
        }
    }

    /** Statuses of an engine: 409 refuses the received text, other 4xx refuse the request for good. */
    private rejected(status: number): AttemptEnd {
        if (status === 409) {
            throw new CallerError(
                409,
                "resume-mismatch",
                "the received text does not belong to this answer",
                this.runState,
            );
        }
        if (status >= 400 && status < 500 && status !== 404 && status !== 429) {
            throw new CallerError(
                502,
                "endpoint-rejected",
                `the engine refused the request with status ${status}`,
                this.runState,
            );
        }
        return { kind: "lost", reason: `engine status ${status}`, fault: true };
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
