import type { IncomingMessage } from "node:http";
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
        private readonly isCached: (block: string) => boolean,
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

    /** Answers `GET /v1/imports/{id}`. */
    status(id: string): Record<string, unknown> {
        const kv = this.imported.get(id);
        if (kv === undefined) {
            throw new HttpError(404, "kv-not-found", `no KV cache ${id}`);
        }
        return { id, tokens: kv.tokens };
    }

    /** Answers `PUT /v1/kv/{id}`. Of a body that ends early the complete tokens are kept, or nothing, by option. */
    async receive(exchange: Exchange, id: string): Promise<void> {
        const tokens = Number(exchange.header("x-kv-tokens"));
        const from = Number(exchange.header("x-kv-from") ?? 0);
        const fingerprint = exchange.header("x-kv-fingerprint");
        const isValid = Number.isInteger(tokens) && Number.isInteger(from) && from >= 0 && tokens >= from;
        if (!isValid || fingerprint === undefined) {
            throw new HttpError(400, "invalid-request", "x-kv-tokens, x-kv-from or x-kv-fingerprint is not valid");
        }
        this.checkRoom(id, tokens);
        this.checkBase(id, from, fingerprint, exchange.header("x-kv-base"));
        let bytes = 0;
        try {
            await this.readBody(exchange.req, size => bytes += size);
        }
        finally {
            const whole = Math.min(tokens, from + Math.floor(bytes / this.options.kvBytesPerToken));
            if (whole === tokens || this.options.keepPartialImports) {
                this.imported.set(id, { tokens: whole, fingerprint });
            }
        }
        if (bytes !== (tokens - from) * this.options.kvBytesPerToken) {
            throw new HttpError(400, "kv-truncated", `${bytes} bytes received for ${tokens - from} tokens`);
        }
        exchange.reply(200, { id, tokens });
    }

    /**
     * Reads a body at the limited rate and reports the size of each part as it arrives. An async iterator would
     * discard the parts that are buffered when the connection is cut.
     */
    private async readBody(req: IncomingMessage, onPart: (size: number) => void): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            req.on("data", (part: Buffer) => {
                onPart(part.length);
                req.pause();
                void this.sleepUntil(this.limiter.reserve(part.length, this.now())).then(() => req.resume());
            });
            req.once("end", resolve);
            req.once("error", reject);
        });
    }

    private checkRoom(id: string, tokens: number): void {
        let held = tokens;
        for (const [other, kv] of this.imported) {
            held += other === id ? 0 : kv.tokens;
        }
        if (this.refuseImports || held > this.options.importCapacityTokens) {
            throw new HttpError(507, "kv-refused", "no room for the KV cache", {}, { connection: "close" });
        }
    }

    /** The tokens before `from` must be here, as an earlier part of the import or in the prefix cache. */
    private checkBase(id: string, from: number, fingerprint: string, base: string | undefined): void {
        const earlier = this.imported.get(id);
        const isHeld = earlier !== undefined && earlier.fingerprint === fingerprint && earlier.tokens >= from;
        if (from > 0 && !isHeld && !(base !== undefined && this.isCached(base))) {
            throw new HttpError(409, "kv-base-missing", `the first ${from} tokens are not here`, {}, {
                connection: "close",
            });
        }
    }
}
