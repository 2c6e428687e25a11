import { sendJson } from "@lentilramp/protocol";
import type { ServerResponse } from "node:http";
import type { CallerError } from "./caller-error.ts";

/** One token of an answer. */
export interface RelayedToken {
    offset: number;
    text: string;
    /** Chunk of the engine's answer as JSON text. */
    chunk: string;
}

export interface AnswerInfo {
    requestId: string;
    endpoint: string;
    model: string;
    promptTokens: number;
}

/** Writes the tokens of an answer to the caller, in order and without gaps. */
export abstract class TokenSink {
    /** Called before the first token. */
    abstract begin(info: AnswerInfo): void;
    /**
     * Writes consecutive tokens. `raw` holds the bytes of exactly these tokens as sent by the engine; undefined when
     * they cannot be forwarded unchanged. The returned promise resolves when further tokens may be written, which
     * propagates the caller's backpressure to the engine.
     */
    abstract write(tokens: readonly RelayedToken[], raw: Buffer | undefined): Promise<void> | undefined;
    abstract finish(): void;
    /** Sends an error to the caller after `begin`. */
    abstract fail(err: CallerError): void;
}

function formatEvents(tokens: readonly RelayedToken[]): string {
    return tokens.map(token => `id: ${token.offset + 1}\ndata: ${token.chunk}\n\n`).join("");
}

/** Writes server-sent events. The id of an event is the number of tokens up to and including the event. */
export class EventStreamSink extends TokenSink {
    constructor(private readonly res: ServerResponse) {
        super();
    }

    override begin(info: AnswerInfo): void {
        this.res.writeHead(200, {
            "content-type": "text/event-stream",
            "cache-control": "no-store",
            "x-request-id": info.requestId,
            "x-endpoint": info.endpoint,
        });
        this.res.flushHeaders();
    }

    override write(tokens: readonly RelayedToken[], raw: Buffer | undefined): Promise<void> | undefined {
        if (tokens.length === 0 || this.res.write(raw ?? formatEvents(tokens)) || this.res.destroyed) {
            return undefined;
        }
        return new Promise(resolve => {
            const onWritable = (): void => {
                this.res.off("drain", onWritable);
                this.res.off("close", onWritable);
                resolve();
            };
            this.res.on("drain", onWritable);
            this.res.on("close", onWritable);
        });
    }

    override finish(): void {
        this.res.end("data: [DONE]\n\n");
    }

    override fail(err: CallerError): void {
        this.res.end(`event: error\ndata: ${JSON.stringify(err.body)}\n\n`);
    }
}

/** Collects the whole answer and sends it as one JSON document. */
export class CollectingSink extends TokenSink {
    private info: AnswerInfo | undefined;
    private readonly texts: string[] = [];

    constructor(private readonly res: ServerResponse) {
        super();
    }

    override begin(info: AnswerInfo): void {
        this.info = info;
    }

    override write(tokens: readonly RelayedToken[]): undefined {
        this.texts.push(...tokens.map(token => token.text));
    }

    override finish(): void {
        const { requestId = "", model = "", endpoint = "", promptTokens = 0 } = this.info ?? {};
        sendJson(this.res, 200, {
            id: requestId,
            object: "chat.completion",
            model,
            choices: [{
                index: 0,
                message: { role: "assistant", content: this.texts.join("") },
                finish_reason: "length",
            }],
            usage: { prompt_tokens: promptTokens, completion_tokens: this.texts.length },
        }, { "x-request-id": requestId, "x-endpoint": endpoint });
    }

    override fail(err: CallerError): void {
        sendJson(this.res, err.status, err.body);
    }
}
