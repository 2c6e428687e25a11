import { request } from "node:http";
import { z } from "zod";
import type { Exchange } from "../http/exchange.ts";
import { HttpError } from "../http/http-error.ts";
import type { Address } from "../http/http-stand-in.ts";
import { RateLimiter } from "../http/rate-limiter.ts";
import { tokensPerBlock } from "./chat-body.ts";
import type { EngineOptions } from "./engine-options.ts";
import type { EngineRequest } from "./engine-request.ts";
import type { Generator } from "./generator.ts";

const chunkBytes = 65_536;

/** Body of `POST /v1/kv/{id}/push`. */
export const pushBody = z.object({
    host: z.string(),
    port: z.number().int(),
    targetId: z.string().optional(),
    pause: z.boolean().default(false),
    /** Tokens before this one are not sent; the target must hold them. */
    fromToken: z.number().int().min(0).default(0),
    /** Tokens from this one on are not sent. */
    untilToken: z.number().int().min(0).optional(),
});

/** Sends the KV cache of a running request, at the limited rate that all exports share. */
export class KvExporter {
    /** Cuts each export after this many bytes (fault). */
    cutAfterBytes: number | undefined;
    private readonly limiter: RateLimiter;

    constructor(
        private readonly options: EngineOptions,
        private readonly generator: Generator,
        private readonly now: () => number,
        private readonly sleepUntil: (at: number) => Promise<void>,
    ) {
        this.limiter = new RateLimiter(options.exportBytesPerSecond);
    }

    /** Answers `GET /v1/kv/{id}` with the KV cache as it is now; the request goes on unless it is paused. */
    async download(exchange: Exchange, id: string): Promise<void> {
        const kv = this.capture(id, exchange.query.get("pause") === "true", 0);
        exchange.open(200, {
            "content-type": "application/octet-stream",
            "content-length": String(kv.bytes),
            ...kv.headers,
        });
        try {
            for await (const chunk of this.chunks(kv.bytes)) {
                exchange.write(chunk);
            }
        }
        catch (err) {
            this.generator.pause(id, false);
            throw err;
        }
        exchange.end();
    }

    /** Answers `POST /v1/kv/{id}/push`: sends the KV cache to another engine. */
    async push(exchange: Exchange, id: string): Promise<void> {
        const body = await exchange.json(pushBody);
        const kv = this.capture(id, body.pause, body.fromToken, body.untilToken);
        const targetId = body.targetId ?? id;
        try {
            await this.send(body, `/v1/kv/${encodeURIComponent(targetId)}`, kv);
        }
        catch (err) {
            this.generator.pause(id, false);
            throw new HttpError(502, "kv-push-failed", err instanceof Error ? err.message : String(err));
        }
        exchange.reply(200, { id: targetId, tokens: kv.tokens, bytes: kv.bytes, nextOffset: kv.nextOffset });
    }

    private capture(id: string, pause: boolean, fromToken: number, untilToken = Infinity) {
        const held = this.generator.find(id);
        if (held?.state !== "running") {
            throw new HttpError(404, "unknown-request", `no running request ${id}`);
        }
        if (pause) {
            this.generator.pause(id, true);
        }
        const tokens = Math.max(fromToken, Math.min(untilToken, this.coveredTokens(held)));
        const base = fromToken % tokensPerBlock === 0 ? held.blocks[fromToken / tokensPerBlock - 1] : undefined;
        return {
            tokens,
            bytes: (tokens - fromToken) * this.options.kvBytesPerToken,
            nextOffset: held.sequence.nextOffset,
            headers: {
                "x-kv-tokens": String(tokens),
                "x-kv-from": String(fromToken),
                ...(base === undefined ? {} : { "x-kv-base": base }),
                "x-kv-fingerprint": held.fingerprint,
                "x-kv-next-offset": String(held.sequence.nextOffset),
            },
        };
    }

    private coveredTokens(held: EngineRequest): number {
        return Math.max(0, held.promptTokens + held.sequence.nextOffset - held.sequence.prefillLeft);
    }

    private async *chunks(bytes: number): AsyncGenerator<Buffer> {
        for (let sent = 0; sent < bytes; sent += chunkBytes) {
            if (this.cutAfterBytes !== undefined && sent >= this.cutAfterBytes) {
                throw new Error("the export was cut");
            }
            const size = Math.min(chunkBytes, bytes - sent);
            await this.sleepUntil(this.limiter.reserve(size, this.now()));
            yield Buffer.alloc(size);
        }
    }

    private async send(
        target: Address,
        path: string,
        kv: { bytes: number; headers: Record<string, string>; },
    ): Promise<void> {
        const headers = { ...kv.headers, "content-length": String(kv.bytes) };
        const req = request({ host: target.host, port: target.port, method: "PUT", path, headers, agent: false });
        const answer = new Promise<void>((resolve, reject) => {
            req.on("error", reject);
            req.on("response", res => {
                res.resume();
                if (res.statusCode === 200) {
                    resolve();
                }
                else {
                    reject(new Error(`the target answered ${res.statusCode}`));
                }
            });
        });
        const outcome = answer.then(() => undefined, (err: unknown) => err);
        try {
            for await (const chunk of this.chunks(kv.bytes)) {
                if (req.destroyed) {
                    break;
                }
                // Waits until the part has been handed to the connection, so that a cut leaves it on its way.
                await new Promise<void>(resolve => void req.write(chunk, () => resolve()));
            }
            req.end();
        }
        catch (err) {
            req.destroy();
            throw err;
        }
        const err = await outcome;
        if (err !== undefined) {
            req.destroy();
            throw err;
        }
    }
}
