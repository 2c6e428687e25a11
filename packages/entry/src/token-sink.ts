import { sendJson } from "@lentilramp/protocol";
import type { ServerResponse } from "node:http";
import type { CallerError } from "./caller-error.ts";

/** One token of an answer. */
export interface RelayedToken {
    offset: number;
    text: string;
    /** The chunk of the engine as JSON text. */
    chunk: string;
}

export interface AnswerInfo {
    requestId: string;
    endpoint: string;
    model: string;
    promptTokens: number;
}

/** Where the tokens of an answer go, in order and without gaps. */
export abstract class TokenSink {
    /** Called before the first token. */
    abstract begin(info: AnswerInfo): void;
    /**
     * Writes tokens that follow each other; `raw` holds exactly these as the engine sent them, when that is known.
     * Resolves when the next ones may be written, which carries the caller's back-pressure to the engine.
     */
    abstract write(tokens: readonly RelayedToken[], raw: Buffer | undefined): Promise<void> | undefined;
    abstract finish(): void;
    /** Reports a failure after `begin`. */
    abstract fail(err: CallerError): void;
}

function formatEvents(tokens: readonly RelayedToken[]): string {
    return tokens.map(token => `id: ${token.offset + 1}\ndata: ${token.chunk}\n\n`).join("");
}

/** Writes server-sent events; the id of an event is the number of tokens sent so far. */
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
            const done = (): void => {
                this.res.off("drain", done);
                this.res.off("close", done);
                resolve();
            };
            this.res.on("drain", done);
            this.res.on("close", done);
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
