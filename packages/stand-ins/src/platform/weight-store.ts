import { z } from "zod";
import type { Exchange } from "../http/exchange.ts";
import { HttpError } from "../http/http-error.ts";
import type { StandInDependencies } from "../http/http-stand-in.ts";
import { HttpStandIn, listenOptions } from "../http/http-stand-in.ts";
import { RateLimiter } from "../http/rate-limiter.ts";

/** Options of the weight store; every field has a default. */
export const weightStoreOptions = listenOptions.extend({
    /** Size in bytes by name of the model, adapter or version. */
    weights: z.record(z.string(), z.number().int().min(0)).default({ "desk-model": 1_000_000 }),
    /** Rate that all transfers share. */
    bytesPerSecond: z.number().positive().default(10e6),
    maxTransfers: z.number().int().positive().default(8),
});

const chunkBytes = 65_536;

/** Store of model weights with a rate limit over all transfers. */
export class WeightStore extends HttpStandIn {
    private readonly options: z.infer<typeof weightStoreOptions>;
    private readonly limiter: RateLimiter;
    private transfers = 0;

    constructor(input: z.input<typeof weightStoreOptions> = {}, dependencies?: Partial<StandInDependencies>) {
        const options = weightStoreOptions.parse(input);
        super(options, dependencies);
        this.options = options;
        this.limiter = new RateLimiter(options.bytesPerSecond);
    }

    protected override async handle(exchange: Exchange): Promise<void> {
        const [version, resource, name] = exchange.path;
        if (exchange.method !== "GET" || version !== "v1" || resource !== "weights") {
            throw new HttpError(404, "not-found", `no route ${exchange.method} /${exchange.path.join("/")}`);
        }
        if (name === undefined) {
            const weights = Object.entries(this.options.weights).map(([key, bytes]) => ({ name: key, bytes }));
            return exchange.reply(200, { weights });
        }
        await this.transfer(exchange, name);
    }

    private async transfer(exchange: Exchange, name: string): Promise<void> {
        const bytes = this.options.weights[name];
        if (bytes === undefined) {
            throw new HttpError(404, "weights-not-found", `no weights named ${name}`);
        }
        if (this.transfers >= this.options.maxTransfers) {
            const headers = { "retry-after": "1" };
            throw new HttpError(429, "too-many-transfers", "too many transfers", { retryAfterMs: 1_000 }, headers);
        }
        this.transfers++;
        try {
            exchange.open(200, { "content-type": "application/octet-stream", "content-length": String(bytes) });
            for (let sent = 0; sent < bytes && !exchange.disconnected; sent += chunkBytes) {
                const size = Math.min(chunkBytes, bytes - sent);
                await this.sleepUntil(this.limiter.reserve(size, this.clock.now()));
                await this.thawed();
                exchange.write(Buffer.alloc(size));
            }
            exchange.end();
        }
        finally {
            this.transfers--;
        }
    }
}
