import type { Clock, RandomSource, Timer } from "@lentilramp/runtime";
import { SeededRandom, SystemClock } from "@lentilramp/runtime";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { z } from "zod";
import { Exchange } from "./exchange.ts";
import { HttpError } from "./http-error.ts";

export interface Address {
    host: string;
    port: number;
}

export interface StandInDependencies {
    clock: Clock;
    random: RandomSource;
}

/** Options of every stand-in; port 0 takes an ephemeral port, `seed` is used when no random source is given. */
export const listenOptions = z.object({
    host: z.string().default("127.0.0.1"),
    port: z.number().int().min(0).max(65_535).default(0),
    seed: z.number().int().default(1),
});

/** Faults that every stand-in accepts at `POST /admin/faults`. */
const commonFault = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("freeze"), ms: z.number().positive().optional() }),
    z.object({ kind: z.literal("thaw") }),
    z.object({ kind: z.literal("cut-connections") }),
    z.object({ kind: z.literal("silence"), direction: z.enum(["both", "answers"]).default("both") }),
    z.object({ kind: z.literal("die") }),
]);
type CommonFault = z.infer<typeof commonFault>;

/** HTTP server of a stand-in with the faults that concern connections and the whole process. */
export abstract class HttpStandIn {
    /** Called after the fault `die`; the executable ends its process here. */
    onDie: () => void = () => undefined;

    protected readonly clock: Clock;
    protected readonly random: RandomSource;
    private readonly server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => void this.serve(req, res));
    private readonly sockets = new Set<Socket>();
    private readonly silenced = new Map<Socket, "both" | "answers">();
    private readonly timers = new Set<Timer>();
    private frozen = false;
    private thawWaiters: (() => void)[] = [];
    private closed = false;

    constructor(private readonly listen: z.infer<typeof listenOptions>, dependencies?: Partial<StandInDependencies>) {
        this.clock = dependencies?.clock ?? new SystemClock();
        this.random = dependencies?.random ?? new SeededRandom(listen.seed);
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => {
                this.sockets.delete(socket);
                this.silenced.delete(socket);
            });
        });
    }

    async start(): Promise<Address> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.listen.port, this.listen.host, resolve);
        });
        const address = this.server.address() as AddressInfo;
        return { host: address.address, port: address.port };
    }

    /** Closes all connections and cancels all timers. */
    async close(): Promise<void> {
        if (this.closed) {
            return;
        }
        this.closed = true;
        for (const timer of this.timers) {
            timer.cancel();
        }
        this.timers.clear();
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.cutConnections();
        });
    }

    /** Handles one request; an `HttpError` thrown here becomes the answer. */
    protected abstract handle(exchange: Exchange): Promise<void>;

    /** Handles a fault of this stand-in; returns false when the kind is unknown. */
    protected applyFault(fault: unknown): boolean {
        void fault;
        return false;
    }

    /** Called when the stand-in is frozen or thawed. */
    protected onFreeze(frozen: boolean): void {
        void frozen;
    }

    protected schedule(at: number, run: () => void): Timer {
        const timer = this.clock.schedule(at, () => {
            this.timers.delete(handle);
            run();
        });
        const handle = {
            cancel: () => {
                this.timers.delete(handle);
                timer.cancel();
            },
        };
        this.timers.add(handle);
        return handle;
    }

    protected async sleepUntil(at: number): Promise<void> {
        await new Promise<void>(resolve => this.schedule(at, resolve));
    }

    /** Resolves at once, or when the stand-in is no longer frozen. */
    protected async thawed(): Promise<void> {
        while (this.frozen) {
            await new Promise<void>(resolve => this.thawWaiters.push(resolve));
        }
    }

    protected cutConnections(): void {
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const socket = req.socket;
        const exchange = new Exchange(req, res, () => this.silenced.has(socket));
        const isAdmin = exchange.path[0] === "admin";
        if (this.silenced.get(socket) === "both") {
            return;
        }
        try {
            if (!isAdmin) {
                await this.thawed();
            }
            if (exchange.method === "POST" && exchange.path.join("/") === "admin/faults") {
                await this.handleFault(exchange);
            }
            else {
                await this.handle(exchange);
            }
        }
        catch (err) {
            if (err instanceof HttpError) {
                const error = { type: err.type, message: err.message, ...err.fields };
                exchange.reply(err.status, { error }, err.headers);
            }
            else {
                exchange.cut();
            }
        }
    }

    private async handleFault(exchange: Exchange): Promise<void> {
        const body = await exchange.json(z.looseObject({ kind: z.string() }));
        const common = commonFault.safeParse(body);
        if (!common.success) {
            if (!this.applyFault(body)) {
                throw new HttpError(400, "unknown-fault", `no fault ${body.kind} with these fields`);
            }
            exchange.reply(200, { applied: body.kind });
            return;
        }
        // The answer is sent before the connections are cut or silenced.
        exchange.reply(200, { applied: body.kind }, { connection: "close" });
        await new Promise(resolve => setImmediate(resolve));
        this.applyCommonFault(common.data, exchange.req.socket);
    }

    private applyCommonFault(fault: CommonFault, adminSocket: Socket): void {
        switch (fault.kind) {
            case "freeze":
                this.frozen = true;
                this.onFreeze(true);
                if (fault.ms !== undefined) {
                    this.schedule(this.clock.now() + fault.ms, () => this.thaw());
                }
                break;
            case "thaw":
                this.thaw();
                break;
            case "cut-connections":
                this.cutConnections();
                break;
            case "silence":
                for (const socket of this.sockets) {
                    if (socket !== adminSocket) {
                        this.silenced.set(socket, fault.direction);
                    }
                }
                break;
            case "die":
                void this.close().then(() => this.onDie());
                break;
        }
    }

    private thaw(): void {
        this.frozen = false;
        this.onFreeze(false);
        const waiters = this.thawWaiters;
        this.thawWaiters = [];
        for (const resume of waiters) {
            resume();
        }
    }
}
