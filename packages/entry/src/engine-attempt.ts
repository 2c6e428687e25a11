import type { Endpoint } from "@lentilramp/configuration";
import { discardResponse } from "@lentilramp/protocol";
import type { EngineRequest } from "@lentilramp/routing";
import type { Clock } from "@lentilramp/runtime";
import type { StreamAssembler } from "@lentilramp/streams";
import { readEngineAnswer } from "./engine-answer.ts";
import type { EngineEvent } from "./engine-events.ts";
import type { EngineSelector } from "./engine-selector.ts";
import type { SilenceMonitor } from "./silence-monitor.ts";
import type { RelayedToken } from "./token-sink.ts";
import { type UpstreamClient, UpstreamError } from "./upstream.ts";

/** Components that an attempt uses. */
export interface AttemptDependencies {
    selector: EngineSelector;
    upstream: UpstreamClient;
    silence: SilenceMonitor;
    clock: Clock;
}

/** Request of an attempt to an engine. */
export interface AttemptRequest {
    /** Request id of the attempt at its endpoint. */
    requestId: string;
    endpoint: Endpoint;
    engineRequest: EngineRequest;
    /** Request body without the fields that describe the received prefix. */
    body: object;
    /** Id of the imported KV cache to use, and the number of tokens that it covers. */
    importedKv: { id: string; tokens: number; } | undefined;
}

/** Receives the tokens of an attempt. */
export interface AttemptOutput {
    /** Called when the engine has accepted the request. */
    onAccepted(endpoint: Endpoint): void;
    /**
     * Writes tokens. `raw` holds the bytes of exactly these tokens as sent by the engine; undefined when they cannot be
     * forwarded unchanged. The returned promise resolves when further tokens may be written.
     */
    write(tokens: readonly RelayedToken[], raw: Buffer | undefined): Promise<void> | undefined;
    onFirstToken(at: number): void;
}

/**
 * Result of an attempt. A `lost` attempt ended before the answer was complete: `mayHaveRun` is true when the engine may
 * have run a part of it, and `endpointAtFault` is true when the next attempt must avoid the endpoint.
 */
export type AttemptResult =
    | { kind: "done"; }
    | { kind: "lost"; reason: string; endpointAtFault: boolean; mayHaveRun: boolean; }
    | { kind: "rejected"; status: number; };

const conflictStatus = 409;
const retryableStatuses: readonly number[] = [404, 429];

/** Requests an answer, or the rest of one after the received prefix, from one engine. */
export class EngineAttempt {
    readonly firstOffset: number;
    readonly startedAt: number;
    firstTokenAt: number | undefined;
    private readonly abortController = new AbortController();
    private readonly attemptNumber: number;
    private interruptReason = "connection lost";
    private releasedTokens: RelayedToken[] = [];

    constructor(
        readonly request: AttemptRequest,
        private readonly assembler: StreamAssembler,
        private readonly output: AttemptOutput,
        private readonly deps: AttemptDependencies,
    ) {
        this.firstOffset = assembler.nextOffset;
        this.startedAt = deps.clock.now();
        this.attemptNumber = assembler.startAttempt();
    }

    /** Aborts the attempt. Its result is `lost`, and the endpoint is not at fault. */
    interrupt(reason: string): void {
        this.interruptReason = reason;
        this.abortController.abort();
    }

    async run(): Promise<AttemptResult> {
        const { silence, selector, clock } = this.deps;
        const { requestId, endpoint, engineRequest, importedKv } = this.request;
        const uncachedTokens = Math.max(0, engineRequest.promptTokens + this.firstOffset - (importedKv?.tokens ?? 0));
        selector.table.recordDispatch(requestId, endpoint.id, engineRequest, uncachedTokens, this.startedAt);
        silence.watch({ id: requestId, endpoint, onDead: reason => this.interrupt(`silent connection (${reason})`) });
        const expiry = clock.schedule(engineRequest.deadline, () => this.interrupt("deadline"));
        try {
            return await this.relayAnswer();
        }
        catch (err) {
            const endpointAtFault = !this.abortController.signal.aborted;
            const reason = endpointAtFault && err instanceof Error ? err.message : this.interruptReason;
            return {
                kind: "lost",
                reason,
                endpointAtFault,
                mayHaveRun: !(err instanceof UpstreamError && err.failure === "refused"),
            };
        }
        finally {
            expiry.cancel();
            silence.unwatch(requestId);
            selector.table.inFlight.recordEnd(requestId);
        }
    }

    private async relayAnswer(): Promise<AttemptResult> {
        const { requestId, endpoint, engineRequest, body, importedKv } = this.request;
        const received = this.assembler.received();
        const prefix = received.offset > 0
            ? { resume_offset: received.offset, resume_text: received.text }
            : { resume_text: undefined };
        const res = await this.deps.upstream.send({
            endpoint,
            method: "POST",
            path: "/v1/chat/completions",
            headers: {
                "x-request-id": requestId,
                "x-priority": engineRequest.priority,
                "x-request-deadline": String(engineRequest.deadline),
                ...(importedKv === undefined ? {} : { "x-kv-id": importedKv.id }),
            },
            body: JSON.stringify({ ...body, ...prefix, stream: true }),
            deadline: engineRequest.deadline,
            signal: this.abortController.signal,
        });
        if (res.statusCode !== 200) {
            discardResponse(res);
            return this.toRefusalResult(res.statusCode ?? 0);
        }
        this.output.onAccepted(endpoint);
        const firstOffset = Number(res.headers["x-resume-offset"] ?? received.offset);
        let result: AttemptResult = {
            kind: "lost",
            reason: "the engine's answer was cut",
            endpointAtFault: true,
            mayHaveRun: true,
        };
        await readEngineAnswer(res, firstOffset, this.deps.upstream.readScheduler, (events, raw) => {
            const batchResult = this.acceptEvents(events);
            const forwardableBytes = this.releasedTokens.length === events.length ? raw : undefined;
            const drained = this.releasedTokens.length > 0
                ? this.output.write(this.releasedTokens, forwardableBytes)
                : undefined;
            this.releasedTokens = [];
            if (batchResult !== undefined) {
                result = batchResult;
                return { kind: "ended" };
            }
            return { kind: "continue", drained };
        });
        return result;
    }

    /** Collects the tokens that the assembler releases. Returns the result of the attempt when it has ended. */
    private acceptEvents(events: readonly EngineEvent[]): AttemptResult | undefined {
        let lastOffset = -1;
        for (const event of events) {
            if (event.kind === "done") {
                return this.assembler.finish(this.attemptNumber)
                    ? { kind: "done" }
                    : { kind: "lost", reason: "replaced", endpointAtFault: false, mayHaveRun: true };
            }
            const accepted = this.assembler.accept(this.attemptNumber, event.offset, event.text);
            lastOffset = event.offset;
            if (accepted.kind === "released") {
                this.releasedTokens.push(event);
            }
            else if (accepted.kind === "gap" || accepted.kind === "mismatch") {
                this.abortController.abort();
                return {
                    kind: "lost",
                    reason: `the engine resumed with a ${accepted.kind}`,
                    endpointAtFault: true,
                    mayHaveRun: true,
                };
            }
        }
        if (lastOffset >= 0) {
            this.deps.silence.onBytes(this.request.requestId, lastOffset + 1);
            this.recordFirstToken();
        }
        return undefined;
    }

    private recordFirstToken(): void {
        if (this.firstTokenAt === undefined) {
            const { selector, clock } = this.deps;
            const now = clock.now();
            this.firstTokenAt = now;
            this.output.onFirstToken(now);
            selector.table.recordSuccess(this.request.endpoint.id, now - this.startedAt, now);
            selector.table.inFlight.recordFirstToken(this.request.requestId);
        }
    }

    /**
     * Returns the result for an error status. A conflict with an imported KV cache is not the endpoint's fault; the
     * next attempt does not use the cache. Other 4xx statuses reject the request for good, except 404 (the model is
     * not loaded) and 429 (the engine is overloaded).
     */
    private toRefusalResult(status: number): AttemptResult {
        if (status === conflictStatus && this.request.importedKv !== undefined) {
            return {
                kind: "lost",
                reason: "the engine refused the imported KV cache",
                endpointAtFault: false,
                mayHaveRun: false,
            };
        }
        return status >= 400 && status < 500 && !retryableStatuses.includes(status)
            ? { kind: "rejected", status }
            : { kind: "lost", reason: `engine status ${status}`, endpointAtFault: true, mayHaveRun: false };
    }
}
