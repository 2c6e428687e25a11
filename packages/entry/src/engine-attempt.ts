import type { Endpoint } from "@lentilramp/configuration";
import type { EngineRequest } from "@lentilramp/routing";
import type { Clock } from "@lentilramp/runtime";
import type { StreamAssembler } from "@lentilramp/streams";
import { readEngineAnswer } from "./engine-answer.ts";
import type { EngineEvent } from "./engine-events.ts";
import type { EngineSelector } from "./engine-selector.ts";
import type { SilenceMonitor } from "./silence-monitor.ts";
import type { RelayedToken } from "./token-sink.ts";
import { type UpstreamClient, UpstreamError } from "./upstream.ts";

/** What an attempt uses of its entry. */
export interface AttemptDependencies {
    selector: EngineSelector;
    upstream: UpstreamClient;
    silence: SilenceMonitor;
    clock: Clock;
}

/** What an attempt asks of its engine. */
export interface AttemptRequest {
    /** Id of the attempt at its endpoint. */
    requestId: string;
    endpoint: Endpoint;
    engineRequest: EngineRequest;
    /** Body of the request without the received prefix. */
    body: object;
    /** Imported KV cache to use, and the tokens that it covers. */
    kv: { id: string; tokens: number; } | undefined;
}

/** Where an attempt passes its tokens on. */
export interface AttemptOutput {
    /** The engine has accepted the request. */
    begin(endpoint: Endpoint): void;
    /** `raw` holds exactly these tokens as the engine sent them, when that is known. */
    write(tokens: readonly RelayedToken[], raw: Buffer | undefined): Promise<void> | undefined;
    firstToken(at: number): void;
}

/**
 * How an attempt ended. `sent` says whether the engine may have run it, `fault` whether the endpoint is to blame, so
 * that the next attempt avoids it.
 */
export type AttemptResult =
    | { kind: "done"; }
    | { kind: "lost"; reason: string; fault: boolean; sent: boolean; }
    | { kind: "rejected"; status: number; };

const conflictStatus = 409;
const overloadStatuses: readonly number[] = [404, 429];

/** One request for an answer, or for the rest of one, to one engine. */
export class EngineAttempt {
    readonly firstOffset: number;
    readonly startedAt: number;
    firstTokenAt: number | undefined;
    private readonly abort = new AbortController();
    private readonly number: number;
    private interruption = "connection lost";
    private batch: RelayedToken[] = [];

    constructor(
        readonly request: AttemptRequest,
        private readonly assembler: StreamAssembler,
        private readonly output: AttemptOutput,
        private readonly parts: AttemptDependencies,
    ) {
        this.firstOffset = assembler.nextOffset;
        this.startedAt = parts.clock.now();
        this.number = assembler.startAttempt();
    }

    /** Ends the attempt; it is then lost without a fault of the endpoint. */
    interrupt(reason: string): void {
        this.interruption = reason;
        this.abort.abort();
    }

    async run(): Promise<AttemptResult> {
        const { silence, selector, clock } = this.parts;
        const { requestId, endpoint, engineRequest, kv } = this.request;
        const uncached = Math.max(0, engineRequest.promptTokens + this.firstOffset - (kv?.tokens ?? 0));
        selector.table.recordDispatch(requestId, endpoint.id, engineRequest, uncached, this.startedAt);
        silence.watch({ id: requestId, endpoint, onDead: reason => this.interrupt(`silent connection (${reason})`) });
        const expiry = clock.schedule(engineRequest.deadline, () => this.interrupt("deadline"));
        try {
            return await this.relay();
        }
        catch (err) {
            const fault = !this.abort.signal.aborted;
            const reason = fault && err instanceof Error ? err.message : this.interruption;
            return { kind: "lost", reason, fault, sent: !(err instanceof UpstreamError && err.failure === "refused") };
        }
        finally {
            expiry.cancel();
            silence.unwatch(requestId);
            selector.table.inFlight.recordEnd(requestId);
        }
    }

    private async relay(): Promise<AttemptResult> {
        const { requestId, endpoint, engineRequest, body, kv } = this.request;
        const received = this.assembler.received();
        const prefix = received.offset > 0
            ? { resume_offset: received.offset, resume_text: received.text }
            : { resume_text: undefined };
        const res = await this.parts.upstream.send({
            endpoint,
            method: "POST",
            path: "/v1/chat/completions",
            headers: {
                "x-request-id": requestId,
                "x-priority": engineRequest.priority,
                "x-request-deadline": String(engineRequest.deadline),
                ...(kv === undefined ? {} : { "x-kv-id": kv.id }),
            },
            body: JSON.stringify({ ...body, ...prefix, stream: true }),
            deadline: engineRequest.deadline,
            signal: this.abort.signal,
        });
        if (res.statusCode !== 200) {
            res.resume();
            return this.refused(res.statusCode ?? 0);
        }
        this.output.begin(endpoint);
        const first = Number(res.headers["x-resume-offset"] ?? received.offset);
        let end: AttemptResult = { kind: "lost", reason: "the engine's answer was cut", fault: true, sent: true };
        await readEngineAnswer(res, first, (events, raw) => {
            const ended = this.take(events);
            const released = this.batch.length === events.length ? raw : undefined;
            const wait = this.batch.length > 0 ? this.output.write(this.batch, released) : undefined;
            this.batch = [];
            if (ended !== undefined) {
                end = ended;
                return { kind: "ended" };
            }
            return { kind: "continue", wait };
        });
        return end;
    }

    /** Collects the tokens of a batch that are next in order; returns how the attempt ended, if it did. */
    private take(events: readonly EngineEvent[]): AttemptResult | undefined {
        let last = -1;
        for (const event of events) {
            if (event.kind === "done") {
                return this.assembler.finish(this.number)
                    ? { kind: "done" }
                    : { kind: "lost", reason: "replaced", fault: false, sent: true };
            }
            const accepted = this.assembler.accept(this.number, event.offset, event.text);
            last = event.offset;
            if (accepted.kind === "released") {
                this.batch.push(event);
            }
            else if (accepted.kind === "gap" || accepted.kind === "mismatch") {
                this.abort.abort();
                return { kind: "lost", reason: `the engine resumed with a ${accepted.kind}`, fault: true, sent: true };
            }
        }
        if (last >= 0) {
            this.parts.silence.onBytes(this.request.requestId, last + 1);
            this.noteFirstToken();
        }
        return undefined;
    }

    private noteFirstToken(): void {
        if (this.firstTokenAt === undefined) {
            const { selector, clock } = this.parts;
            const now = clock.now();
            this.firstTokenAt = now;
            this.output.firstToken(now);
            selector.table.recordSuccess(this.request.endpoint.id, now - this.startedAt, now);
            selector.table.inFlight.recordFirstToken(this.request.requestId);
        }
    }

    /**
     * A conflict about an imported KV cache is no fault: the next attempt goes without it. Other statuses below 500
     * refuse the request for good, except for a model that is not loaded and for overload.
     */
    private refused(status: number): AttemptResult {
        if (status === conflictStatus && this.request.kv !== undefined) {
            return { kind: "lost", reason: "the engine refused the imported KV cache", fault: false, sent: false };
        }
        return status >= 400 && status < 500 && !overloadStatuses.includes(status)
            ? { kind: "rejected", status }
            : { kind: "lost", reason: `engine status ${status}`, fault: true, sent: false };
    }
}
