import type { Exchange } from "../http/exchange.ts";
import { HttpError } from "../http/http-error.ts";
import type { ChatBody } from "./chat-body.ts";
import { chatBody, chatFingerprint, expectedTokens } from "./chat-body.ts";
import type { EngineRequest } from "./engine-request.ts";
import type { Generator } from "./generator.ts";
import type { KvStore } from "./kv-store.ts";

const priorities: Readonly<Record<string, number>> = { high: 0, normal: 1, low: 2 };

/** Answers `POST /v1/chat/completions`. */
export class ChatHandler {
    /** Added to the offset at which a resumed stream starts (fault). */
    resumeShift = 0;
    private unnamed = 0;

    constructor(
        private readonly generator: Generator,
        private readonly kv: KvStore,
        private readonly acceptsModel: (model: string) => boolean,
    ) {}

    async handle(exchange: Exchange): Promise<void> {
        const body = await exchange.json(chatBody);
        if (!this.acceptsModel(body.model)) {
            throw new HttpError(404, "model-not-found", `model ${body.model} is not loaded`);
        }
        const offset = this.startOffset(body);
        const kvId = exchange.header("x-kv-id");
        const imported = kvId === undefined ? 0 : this.kv.use(kvId, chatFingerprint(body));
        const request = this.generator.start(body, {
            id: exchange.header("x-request-id") ?? `unnamed-${++this.unnamed}`,
            priority: priorities[exchange.header("x-priority") ?? "normal"] ?? 1,
            offset,
            importedTokens: imported,
        });
        exchange.onDisconnect(() => {
            // The id may have been reused by a later request in the meantime.
            if (this.generator.find(request.id) === request) {
                this.generator.cancel(request.id);
            }
        });
        request.onCut = () => exchange.cut();
        const headers = { "x-request-id": request.id, "x-resume-offset": String(offset) };
        if (body.stream) {
            this.stream(exchange, request, headers);
        }
        else {
            this.collect(exchange, request, offset, headers);
        }
    }

    /** The offset of the first token; the received text must be the beginning of the answer. */
    private startOffset(body: ChatBody): number {
        if (body.resume_offset === undefined && body.resume_text === undefined) {
            return 0;
        }
        const tokens = expectedTokens(body);
        const asked = body.resume_offset ?? -1;
        if (tokens.slice(0, Math.max(0, asked)).join("") !== (body.resume_text ?? "")) {
            throw new HttpError(
                409,
                "resume-mismatch",
                `resume_text is not the text of the first ${asked} tokens of the answer`,
            );
        }
        return Math.min(Math.max(0, asked + this.resumeShift), tokens.length);
    }

    private stream(exchange: Exchange, request: EngineRequest, headers: Record<string, string>): void {
        exchange.open(200, { "content-type": "text/event-stream", "cache-control": "no-store", ...headers });
        if (request.state === "done") {
            exchange.write("data: [DONE]\n\n");
            exchange.end();
        }
        request.onToken = ({ offset, text, last }) => {
            const chunk = {
                id: request.id,
                object: "chat.completion.chunk",
                model: request.body.model,
                token_offset: offset,
                choices: [{ index: 0, delta: { content: text }, ...(last ? { finish_reason: "length" } : {}) }],
            };
            exchange.write(`id: ${offset + 1}\ndata: ${JSON.stringify(chunk)}\n\n`);
            if (last) {
                exchange.write("data: [DONE]\n\n");
                exchange.end();
            }
        };
    }

    private collect(
        exchange: Exchange,
        request: EngineRequest,
        offset: number,
        headers: Record<string, string>,
    ): void {
        const finish = () => {
            const content = request.tokens.slice(offset).join("");
            exchange.reply(200, {
                id: request.id,
                object: "chat.completion",
                model: request.body.model,
                choices: [{ index: 0, message: { role: "assistant", content }, finish_reason: "length" }],
                usage: { prompt_tokens: request.promptTokens, completion_tokens: request.tokens.length - offset },
            }, headers);
        };
        if (request.state === "done") {
            finish();
        }
        request.onToken = ({ last }) => {
            if (last) {
                finish();
            }
        };
    }
}
