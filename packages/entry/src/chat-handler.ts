import { CallerPresence, PollBarrier, readBody } from "@lentilramp/protocol";
import type { IncomingMessage, ServerResponse } from "node:http";
import { v7 as newId } from "uuid";
import type { Admission, Release } from "./admission.ts";
import { callerClosedError, CallerError, sendCallerError } from "./caller-error.ts";
import { type ChatBody, parseChatBody, parseReceivedCount } from "./chat-body.ts";
import { ChatStream, type ChatStreamDependencies } from "./chat-stream.ts";
import { countPromptTokens, hashPromptBlocks } from "./prompt-blocks.ts";
import { parseJson, type RequestContext } from "./request-context.ts";
import type { RequestGate } from "./request-gate.ts";
import type { StreamTable } from "./stream-table.ts";
import { CollectingSink, EventStreamSink, type TokenSink } from "./token-sink.ts";

const defaultTimeoutMs = 120_000;
const defaultAnswerTokens = 256;

/** Handles `POST /v1/chat/completions`. */
export class ChatHandler {
    private readonly pollBarrier = new PollBarrier();

    constructor(
        private readonly gate: RequestGate,
        private readonly admission: Admission,
        private readonly streams: StreamTable,
        private readonly deps: ChatStreamDependencies,
        private readonly bodyLimitBytes: number,
    ) {}

    async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        let sink: TokenSink | undefined;
        let release: Release | undefined;
        try {
            const { configuration, context } = this.gate.check(req, defaultTimeoutMs);
            const body = parseChatBody(parseJson(await readBody(req, this.bodyLimitBytes)));
            if (!configuration.models.some(model => model.name === body.model)) {
                throw new CallerError(404, "unknown-model", `model ${body.model} is not served here`, "not-run");
            }
            const stream = this.createStream(
                req,
                body,
                context,
                sink = body.stream ? new EventStreamSink(res) : new CollectingSink(res),
            );
            const tokens = stream.engineRequest.promptTokens + (body.max_tokens ?? defaultAnswerTokens);
            release = await this.admission.admit(context, { kind: "engine", name: body.model, tokens });
            const caller = new CallerPresence(req, res, this.pollBarrier);
            if (await caller.hasLeft()) {
                // The caller disconnected while the request was queued or unread, so nothing was dispatched.
                release(true);
                sendCallerError(res, callerClosedError("not-run"));
                return;
            }
            this.gate.countRequest(true);
            const closed = await this.runStream(stream, caller);
            release(true, stream.firstTokenMs);
            if (closed !== undefined) {
                sendError(res, sink, closed);
            }
        }
        catch (err) {
            release?.(false);
            if (!(err instanceof CallerError)) {
                throw err;
            }
            this.gate.countRequest(false);
            this.deps.log.info("request.failed", { kind: "chat", type: err.type, run: err.run, message: err.message });
            req.resume();
            sendError(res, sink, err);
        }
    }

    private createStream(req: IncomingMessage, body: ChatBody, context: RequestContext, sink: TokenSink): ChatStream {
        const endpointHint = req.headers["x-endpoint"];
        return new ChatStream(
            newId(),
            body,
            context,
            {
                model: body.model,
                priority: context.priority,
                deadline: context.deadline,
                promptTokens: countPromptTokens(body.messages),
                prefix: hashPromptBlocks(body.model, body.messages),
            },
            parseReceivedCount(req.headers["last-event-id"], body),
            typeof endpointHint === "string" ? endpointHint : undefined,
            sink,
            this.deps,
        );
    }

    /** Runs a stream; resolves with the error for its caller if that has left. */
    private async runStream(stream: ChatStream, caller: CallerPresence): Promise<CallerError | undefined> {
        const cancelWatch = caller.onLeave(() => stream.cancel());
        this.streams.add(stream);
        try {
            return await stream.run(caller);
        }
        finally {
            this.streams.remove(stream);
            cancelWatch();
        }
    }
}

/** Sends an error as the answer, or as its end if it has begun. */
function sendError(res: ServerResponse, sink: TokenSink | undefined, err: CallerError): void {
    if (res.headersSent && sink !== undefined) {
        sink.fail(err);
    }
    else {
        sendCallerError(res, err);
    }
}
