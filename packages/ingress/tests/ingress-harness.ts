import { type Catalog, CatalogCodec } from "@lentilramp/catalog";
import type { OriginAnswer } from "@lentilramp/exchange";
import type { Endpoint } from "@lentilramp/fleet";
import {
    CallerServer,
    FleetView,
    IngressComponentFactory,
    type IngressOptions,
    type IngressPolicy,
    ingressPolicyDefaults,
    Relay,
    VersionSplit,
} from "@lentilramp/ingress";
import { PlatformHeaderCodec } from "@lentilramp/platform";
import { MemoryEventLog, MemoryMetrics, SeededRandom, SystemClock } from "@lentilramp/runtime";
import { once } from "node:events";
import { createServer, type IncomingHttpHeaders, type IncomingMessage, request, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { Err, Ok, type Result } from "ts-results-es";
import { testCatalog } from "../../catalog/tests/fixtures.ts";
import { ownHost } from "../../protocol/tests/loopback-net.ts";

/** One request as a test's endpoint received it. */
export interface ReceivedRequest {
    method: string;
    target: string;
    headers: IncomingHttpHeaders;
    body: string;
    /** Resolves when the connection of the request has closed. */
    closed: Promise<unknown>;
}

/**
 * Does `action`, and keeps the whole process busy, as a collection of garbage or a lack of processor time does. The
 * timers that are due after that run before the sockets are read.
 */
export async function holdEventLoop(forMs: number, action: () => void = () => undefined): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
    action();
    hold(forMs);
}

/**
 * Keeps the whole process busy in this turn of the event loop, before the sockets are read, once what the caller begins
 * in its tick is under way.
 */
export function holdBeforePoll(forMs: number, ticks = 20): void {
    process.nextTick(() => ticks === 0 ? hold(forMs) : holdBeforePoll(forMs, ticks - 1));
}

function hold(forMs: number): void {
    const until = performance.now() + forMs;
    while (performance.now() < until) {
        // Busy.
    }
}

/**
 * Time in which this process could run, in milliseconds. It does not advance while the process is ready to run and gets no
 * processor time: the ingress of a test cannot act then, and its endpoints cannot see what it has done. Time for which the
 * process itself keeps its event loop busy counts in full.
 */
export class RunningTime {
    private static readonly intervalMs = 5;
    /** Longest step that counts in full, in milliseconds; timers of an idle process are a few milliseconds late. */
    private static readonly longestStepMs = 20;
    private elapsedMs = 0;
    private readAt: number;
    private usedMs: number;
    private readonly timer = setInterval(() => this.now(), RunningTime.intervalMs);

    constructor(
        private readonly clock: () => number = () => performance.now(),
        /** Returns the processor time of this process, in milliseconds. */
        private readonly processorTime = processorTimeMs,
    ) {
        this.readAt = clock();
        this.usedMs = processorTime();
    }

    now(): number {
        const at = this.clock();
        const usedMs = this.processorTime();
        this.elapsedMs += Math.min(at - this.readAt, Math.max(RunningTime.longestStepMs, usedMs - this.usedMs));
        this.readAt = at;
        this.usedMs = usedMs;
        return this.elapsedMs;
    }

    close(): void {
        clearInterval(this.timer);
    }
}

function processorTimeMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1_000;
}

export type Answer = (req: IncomingMessage, res: ServerResponse, received: ReceivedRequest) => void | Promise<void>;

/** An endpoint whose answers the test scripts. */
export class ScriptedEndpoint {
    readonly requests: ReceivedRequest[] = [];
    private readonly closePromises = new WeakMap<Socket, Promise<unknown>>();
    readonly server = createServer((req, res) => void this.handle(req, res));

    /**
     * Whether a request belongs to the test. Another process may send one to a port that was its own before; it gets a 421
     * and is not recorded.
     */
    accepts: (req: IncomingMessage) => boolean = () => true;

    constructor(readonly id: string, public answer: Answer, public version?: string) {}

    async start(): Promise<void> {
        this.server.listen(0, ownHost);
        await once(this.server, "listening");
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    get endpoint(): Endpoint {
        return {
            id: this.id,
            service: "app",
            host: ownHost,
            port: (this.server.address() as AddressInfo).port,
            failureDomain: "a",
            slots: 4,
            ready: true,
            reclaimable: false,
            version: this.version,
        };
    }

    /** Returns one promise for each connection, because many requests arrive on the same one. */
    private whenClosed(socket: Socket): Promise<unknown> {
        // `once` of Node.js rejects when the connection is reset, which would end the test as an unhandled error.
        const closed = this.closePromises.get(socket) ?? new Promise(resolve => socket.once("close", resolve));
        this.closePromises.set(socket, closed);
        return closed;
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        if (!this.accepts(req)) {
            req.resume();
            res.writeHead(421).end();
            return;
        }
        const parts: Buffer[] = [];
        for await (const part of req) {
            parts.push(part as Buffer);
        }
        const received = {
            method: req.method ?? "",
            target: req.url ?? "",
            headers: req.headers,
            body: Buffer.concat(parts).toString("latin1"),
            closed: this.whenClosed(req.socket),
        };
        this.requests.push(received);
        await this.answer(req, res, received);
    }
}

/** Returns an answer with a seal and the id of the request, as healthy endpoints send. */
export function sealed(status: number, body: string, headers: Record<string, string> = {}): Answer {
    return (req, res) => {
        res.writeHead(status, {
            "x-attempt-id": String(req.headers["x-attempt-id"]),
            "x-response-seal": "s",
            ...headers,
        });
        res.end(body);
    };
}

/** Text of a catalog that the ingress cannot decode. */
export const unreadableCatalog = "unreadable";

class FixedCatalog extends CatalogCodec {
    constructor(private readonly catalog: Catalog) {
        super();
    }

    override decode(text: string): Result<Catalog, string> {
        return text === unreadableCatalog ? new Err("none") : new Ok(this.catalog);
    }
}

export interface CallerAnswer {
    status: number;
    headers: IncomingHttpHeaders;
    body: string;
    /** Whether the answer is complete by the rules of HTTP. */
    complete: boolean;
}

/** A caller's connection, for requests that are sent in pieces or pipelined. */
export class CallerConnection {
    private text = "";
    private isClosed = false;
    private onProgress: () => void = () => undefined;

    constructor(private readonly socket: Socket) {
        socket.setEncoding("latin1").on("data", (part: string) => {
            this.text += part;
            this.onProgress();
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            this.isClosed = true;
            this.onProgress();
        });
    }

    /** Bytes received so far. */
    get received(): string {
        return this.text;
    }

    /** Statuses of the answers received so far. */
    get statuses(): number[] {
        return [...this.text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => Number(status));
    }

    send(text: string): void {
        this.socket.write(text);
    }

    disconnect(): void {
        this.socket.end();
    }

    /** Closes the connection at once, as a caller does whose process ends. */
    reset(): void {
        this.socket.resetAndDestroy();
    }

    pause(): void {
        this.socket.pause();
    }

    resume(): void {
        this.socket.resume();
    }

    /** Resolves when the received bytes contain `text` or the connection has closed. */
    async receive(text: string): Promise<void> {
        await this.untilProgress(() => this.text.includes(text));
    }

    async closed(): Promise<void> {
        await this.untilProgress(() => false);
    }

    private async untilProgress(isDone: () => boolean): Promise<void> {
        while (!this.isClosed && !isDone()) {
            await new Promise<void>(resolve => this.onProgress = resolve);
        }
    }
}

interface ServerOptions {
    lingerMs?: number;
    headTimes?: { timeoutMs: number; checkIntervalMs: number; };
}

/** An ingress between a caller and scripted endpoints. */
export class IngressHarness {
    readonly log = new MemoryEventLog();
    readonly clock = new SystemClock();
    readonly view: FleetView;
    readonly relay: Relay;
    /** Undefined unless the options contain bounds of roll-outs. */
    readonly versions: VersionSplit | undefined;
    readonly options: IngressOptions;
    /** Instant at which the next sync with the stewards is due. */
    nextSyncAt = Infinity;
    /** What the stewards say of the origins of streams. */
    askForOrigin: (key: string, services: readonly string[]) => Promise<OriginAnswer | undefined> = async () =>
        undefined;
    /** Returns the ports for callers and for readiness. */
    static choosePorts: () => Promise<[number, number]> = freePorts;
    private readonly server: CallerServer;
    private readonly ports: { callers: number; readiness: number; };

    private constructor(
        catalog: Catalog | undefined,
        ports: { callers: number; readiness: number; },
        policy: Partial<IngressPolicy>,
        { lingerMs = 200, headTimes, ...overrides }: Partial<IngressOptions> & ServerOptions,
    ) {
        this.ports = ports;
        const options: IngressOptions = {
            name: "ingress",
            region: "r",
            failureDomain: "a",
            callers: { host: "127.0.0.1", port: ports.callers },
            readiness: { host: "127.0.0.1", port: ports.readiness },
            inner: { host: "127.0.0.1", port: 0 },
            graceMs: 2_000,
            retryRatio: 0.5,
            retryWindowMs: 10_000,
            retryReserve: 20,
            capTolerance: { overshoot: 0, windowMs: 8_000, units: 0 },
            usageWindowMs: 5_000,
            drainBoundMs: 3_000,
            catalogBoundMs: 2_000,
            maxListLagMs: 800,
            ...overrides,
        };
        this.options = options;
        const components = new IngressComponentFactory({ ...ingressPolicyDefaults, ...policy });
        const codec = new FixedCatalog(catalog ?? testCatalog());
        this.view = new FleetView(
            codec,
            this.clock,
            this.log,
            options.usageWindowMs,
            options.capTolerance,
            options.catalogBoundMs,
            options.maxListLagMs,
            components,
            options.name,
            {
                onEndpointGone: () => undefined,
                countCovered: () => 1,
                requestSync: () => undefined,
                nextSyncAt: () => this.nextSyncAt,
                askForOrigin: (key, services) => this.askForOrigin(key, services),
            },
        );
        if (catalog !== undefined) {
            this.view.applySyncAnswer({
                leading: false,
                stewards: [],
                catalog: { version: catalog.version, text: "" },
                members: 1,
            }, this.clock.now());
        }
        const random = new SeededRandom(3);
        const base = { clock: this.clock, random, log: this.log, metrics: new MemoryMetrics() };
        this.versions = options.rollouts && new VersionSplit(this.clock, random, base.metrics);
        this.relay = new Relay(
            this.view,
            new PlatformHeaderCodec(),
            options,
            base,
            components,
            this.versions,
        );
        this.server = new CallerServer(
            this.relay,
            options,
            () => this.view.catalog !== undefined && !this.relay.isDraining(),
            lingerMs,
            this.clock,
            this.log,
            headTimes,
        );
    }

    static async start(
        catalog: Catalog | undefined,
        endpoints: readonly ScriptedEndpoint[],
        policy: Partial<IngressPolicy> = {},
        options: Partial<IngressOptions> & ServerOptions = {},
    ): Promise<IngressHarness> {
        // Another process may take a free port before the ingress listens on it.
        for (let retries = 5;; retries--) {
            const [callers, readiness] = await this.choosePorts();
            const harness = new IngressHarness(catalog, { callers, readiness }, policy, options);
            try {
                await harness.server.start();
            }
            catch (err) {
                await harness.close();
                if ((err as NodeJS.ErrnoException).code === "EADDRINUSE" && retries > 0) {
                    continue;
                }
                throw err;
            }
            harness.view.applyEndpointList(endpoints.map(({ endpoint }) => endpoint), harness.clock.now(), 1);
            return harness;
        }
    }

    async close(): Promise<void> {
        await this.server.close();
    }

    /** Lets the ingress learn from a steward that its catalog is the newest. */
    confirmCatalog(): void {
        this.view.freshness.recordConfirmation(this.clock.now());
    }

    drain(): Promise<void> {
        return this.server.drain(this.clock.now() + this.options.graceMs);
    }

    async readinessStatus(): Promise<number> {
        return (await this.call({ port: this.ports.readiness, path: "/" })).status;
    }

    /** Opens a connection of a caller. */
    async connect(): Promise<CallerConnection> {
        const socket = connect(this.ports.callers, "127.0.0.1");
        await once(socket, "connect");
        return new CallerConnection(socket);
    }

    /** Sends raw bytes, and closes the sending side with `end`; resolves with all received bytes at the close. */
    async sendRaw(text: string, { end = false }: { end?: boolean; } = {}): Promise<string> {
        return await new Promise((resolve, reject) => {
            let answer = "";
            const socket = connect(this.ports.callers, "127.0.0.1", () => end ? socket.end(text) : socket.write(text));
            socket.setEncoding("latin1").on("data", (part: string) => answer += part);
            socket.on("close", () => resolve(answer));
            socket.on("error", reject);
        });
    }

    async call(
        { method = "GET", path = "/x", headers = {}, body = "", port = this.ports.callers, onData = () => undefined }: {
            method?: string;
            path?: string;
            headers?: Record<string, string>;
            body?: string;
            port?: number;
            onData?: (text: string, disconnect: () => void) => void;
        },
    ): Promise<CallerAnswer> {
        return await new Promise((resolve, reject) => {
            const req = request({
                host: "127.0.0.1",
                port,
                path,
                method,
                agent: false,
                headers: {
                    host: "desk.example",
                    "x-attempt-id": "attempt-1",
                    "api-key": "key-1",
                    "x-deadline-ms": "2000",
                    ...headers,
                },
            });
            req.on("error", reject);
            req.on("response", res => {
                let text = "";
                res.setEncoding("latin1");
                res.on("data", (part: string) => {
                    text += part;
                    onData(text, () => req.destroy());
                });
                res.on("error", () => undefined);
                res.on("close", () =>
                    resolve({
                        status: res.statusCode ?? 0,
                        headers: res.headers,
                        body: text,
                        complete: res.complete,
                    }));
            });
            req.end(body);
        });
    }
}

/** Returns two ports that are free. Both are taken before either is freed, since a freed one may be chosen again. */
async function freePorts(): Promise<[number, number]> {
    const servers = [createServer(), createServer()] as const;
    for (const server of servers) {
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
    }
    const [first, second] = servers.map(server => (server.address() as AddressInfo).port);
    for (const server of servers) {
        server.close();
        await once(server, "close");
    }
    return [first ?? 0, second ?? 0];
}
