import { CallerPresence, PollBarrier, readBody } from "@lentilramp/protocol";
import type { IncomingMessage, ServerResponse } from "node:http";
import { v7 as newId } from "uuid";
import type { Admission, Release } from "./admission.ts";
import { CallerError, sendCallerError } from "./caller-error.ts";
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
                return;
            }
            this.gate.countRequest(true);
            await this.runStream(stream, res, caller);
            release(true, stream.firstTokenMs);
        }
        catch (err) {
            release?.(false);
            if (!(err instanceof CallerError)) {
                throw err;
            }
            this.gate.countRequest(false);
            this.deps.log.info("request.failed", { kind: "chat", type: err.type, run: err.run, message: err.message });
            if (res.headersSent && sink !== undefined) {
                sink.fail(err);
            }
            else {
                req.resume();
                sendCallerError(res, err);
            }
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

    private async runStream(stream: ChatStream, res: ServerResponse, caller: CallerPresence): Promise<void> {
        const onClose = (): void => stream.cancel();
        res.on("close", onClose);
        this.streams.add(stream);
        try {
            await stream.run(caller);
        }
        finally {
            this.streams.remove(stream);
            res.off("close", onClose);
        }
    }
}
