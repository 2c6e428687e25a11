import type { Exchange } from "../http/exchange.ts";
import { HttpError } from "../http/http-error.ts";
import { RateLimiter } from "../http/rate-limiter.ts";
import type { EngineOptions } from "./engine-options.ts";

interface ImportedKv {
    tokens: number;
    fingerprint: string;
}

/** KV cache received from other engines, kept until a request uses it. */
export class KvStore {
    /** Refuses every import with `kv-refused` (fault). */
    refuseImports = false;
    private readonly imported = new Map<string, ImportedKv>();
    private readonly limiter: RateLimiter;

    constructor(
        private readonly options: EngineOptions,
        private readonly now: () => number,
        private readonly sleepUntil: (at: number) => Promise<void>,
    ) {
        this.limiter = new RateLimiter(options.importBytesPerSecond);
    }

    /** Takes the imported KV cache `id` and returns the number of tokens that it covers. */
    use(id: string, fingerprint: string): number {
        const kv = this.imported.get(id);
        if (kv === undefined) {
            throw new HttpError(409, "kv-not-found", `no KV cache ${id}`);
        }
        if (kv.fingerprint !== fingerprint) {
            throw new HttpError(409, "kv-mismatch", `KV cache ${id} belongs to another prompt`);
        }
        this.imported.delete(id);
        return kv.tokens;
    }

    /** Answers `PUT /v1/kv/{id}`. A body that ends early is not kept. */
    async receive(exchange: Exchange, id: string): Promise<void> {
        const tokens = Number(exchange.header("x-kv-tokens"));
        const fingerprint = exchange.header("x-kv-fingerprint");
        if (!Number.isInteger(tokens) || tokens < 0 || fingerprint === undefined) {
            throw new HttpError(400, "invalid-request", "x-kv-tokens and x-kv-fingerprint are required");
        }
        const held = [...this.imported.values()].reduce((sum, kv) => sum + kv.tokens, 0);
        if (this.refuseImports || held + tokens > this.options.importCapacityTokens) {
            throw new HttpError(507, "kv-refused", "no room for the KV cache", {}, { connection: "close" });
        }
        let bytes = 0;
        for await (const chunk of exchange.req) {
            bytes += (chunk as Buffer).length;
            await this.sleepUntil(this.limiter.reserve((chunk as Buffer).length, this.now()));
        }
        if (bytes !== tokens * this.options.kvBytesPerToken) {
            throw new HttpError(400, "kv-truncated", `${bytes} bytes received for ${tokens} tokens`);
        }
        this.imported.set(id, { tokens, fingerprint });
        exchange.reply(200, { id, tokens });
    }
}
