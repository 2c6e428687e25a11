import { request } from "node:http";
import { z } from "zod";
import type { Exchange } from "../http/exchange.ts";
import { HttpError } from "../http/http-error.ts";
import type { Address, StandInDependencies } from "../http/http-stand-in.ts";
import { HttpStandIn } from "../http/http-stand-in.ts";
import { ChatHandler } from "./chat-handler.ts";
import type { EngineOptions } from "./engine-options.ts";
import { engineOptions } from "./engine-options.ts";
import { requestStatus } from "./engine-request.ts";
import { Generator } from "./generator.ts";
import { KvExporter } from "./kv-exporter.ts";
import { KvStore } from "./kv-store.ts";
import type { EngineOrder } from "./order-book.ts";
import { engineOrder, OrderBook } from "./order-book.ts";

const engineFault = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("cut-streams") }),
    z.object({ kind: z.literal("slow"), factor: z.number().positive() }),
    z.object({ kind: z.literal("resume-shift"), tokens: z.number().int() }),
    z.object({ kind: z.literal("cut-exports"), afterBytes: z.number().int().min(0).optional() }),
    z.object({ kind: z.literal("refuse-imports"), on: z.boolean() }),
]);

/** Model engine with continuous batching; docs/protocols.md gives its routes. */
export class ModelEngine extends HttpStandIn {
    readonly generator: Generator;
    private readonly options: EngineOptions;
    private readonly chat: ChatHandler;
    private readonly kv: KvStore;
    private readonly exporter: KvExporter;
    private readonly orders: OrderBook;

    constructor(input: z.input<typeof engineOptions> = {}, dependencies?: Partial<StandInDependencies>) {
        const options = engineOptions.parse(input);
        super(options, dependencies);
        this.options = options;
        const now = () => this.clock.now();
        const sleepUntil = async (at: number) => {
            await this.sleepUntil(at);
            await this.thawed();
        };
        this.generator = new Generator(options, this.clock, this.random);
        this.kv = new KvStore(options, now, sleepUntil, block => this.generator.cache.has(block));
        this.exporter = new KvExporter(options, this.generator, now, sleepUntil);
        this.orders = new OrderBook(options.models, options.checkFencing);
        this.chat = new ChatHandler(
            this.generator,
            this.kv,
            model => options.models.length === 0 || this.orders.models.has(model),
        );
        this.chat.resumeShift = options.resumeShift;
    }

    override async close(): Promise<void> {
        this.generator.stop();
        await super.close();
    }

    protected override async handle(exchange: Exchange): Promise<void> {
        const [version, resource, id, action] = exchange.path;
        const route = version === "v1" ? `${exchange.method} ${resource ?? ""}` : "";
        switch (route) {
            case "POST chat":
                return await this.chat.handle(exchange);
            case "GET requests":
            case "DELETE requests":
                return this.handleRequest(exchange, id ?? "");
            case "GET cache":
                return this.handleCache(exchange, id);
            case "GET load":
                this.generator.sampleLoad();
                return exchange.reply(200, this.generator.load.read(this.clock.now()));
            case "GET counters":
                return exchange.reply(200, this.generator.counters);
            case "GET imports":
                return exchange.reply(200, this.kv.status(id ?? ""));
            case "GET kv":
                return await this.exporter.download(exchange, id ?? "");
            case "PUT kv":
                return await this.kv.receive(exchange, id ?? "");
            case "POST kv":
                if (action === "push") {
                    return await this.exporter.push(exchange, id ?? "");
                }
                break;
            case "GET orders":
                return exchange.reply(200, this.orders.state(this.clock.now()));
            case "POST orders":
                return await this.handleOrder(exchange);
        }
        throw new HttpError(404, "not-found", `no route ${exchange.method} /${exchange.path.join("/")}`);
    }

    protected override applyFault(fault: unknown): boolean {
        const parsed = engineFault.safeParse(fault);
        if (!parsed.success) {
            return false;
        }
        switch (parsed.data.kind) {
            case "cut-streams":
                for (const held of this.generator.running()) {
                    this.generator.cancel(held.id);
                }
                break;
            case "slow":
                this.generator.slowdown = parsed.data.factor;
                break;
            case "resume-shift":
                this.chat.resumeShift = parsed.data.tokens;
                break;
            case "cut-exports":
                this.exporter.cutAfterBytes = parsed.data.afterBytes;
                break;
            case "refuse-imports":
                this.kv.refuseImports = parsed.data.on;
                break;
        }
        return true;
    }

    protected override onFreeze(frozen: boolean): void {
        this.generator.freeze(frozen);
    }

    private handleRequest(exchange: Exchange, id: string): void {
        const held = this.generator.find(id);
        if (held === undefined) {
            throw new HttpError(404, "unknown-request", `no request ${id}`);
        }
        if (exchange.method === "DELETE") {
            this.generator.cancel(id);
        }
        exchange.reply(200, requestStatus(held));
    }

    private handleCache(exchange: Exchange, part: string | undefined): void {
        if (part === "events") {
            const after = Number(exchange.query.get("after") ?? 0);
            exchange.reply(200, { events: this.generator.cacheEvents.read(after, this.clock.now()) });
            return;
        }
        exchange.reply(200, { sequence: this.generator.cacheEvents.sequence, blocks: this.generator.cache.list() });
    }

    private async handleOrder(exchange: Exchange): Promise<void> {
        const order = await exchange.json(engineOrder);
        this.orders.accept(order, this.clock.now());
        exchange.reply(202, { accepted: true, fencingNumber: order.fencingNumber });
        await this.carryOut(order).catch(() => this.orders.failed.push(order));
    }

    private async carryOut(order: EngineOrder): Promise<void> {
        if (order.kind !== "set-role" && this.options.weightStore !== undefined) {
            await this.fetchWeights(this.options.weightStore, order.target);
        }
        await this.sleepUntil(this.clock.now() + this.options.orderMs);
        this.orders.complete(order);
    }

    private async fetchWeights(store: Address, name: string): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            const path = `/v1/weights/${encodeURIComponent(name)}`;
            const req = request({ ...store, path, agent: false }, res => {
                res.resume();
                res.on("error", reject);
                res.on(
                    "end",
                    () =>
                        res.statusCode === 200
                            ? resolve()
                            : reject(new Error(`the weight store answered ${res.statusCode}`)),
                );
            });
            req.on("error", reject);
            req.end();
        });
    }
}
