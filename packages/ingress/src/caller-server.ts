import { ClientGuard, UnreadAnswers } from "@lentilramp/protocol";
import { type Clock, Component, type EventLog } from "@lentilramp/runtime";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { ConnectionCloser } from "./connection-closer.ts";
import { IdleConnections } from "./idle-connections.ts";
import type { IngressOptions } from "./ingress-options.ts";
import type { Relay } from "./relay.ts";
import { requestDeadline } from "./request-deadline.ts";

/** Largest request head, in bytes; above the largest limit that operators set for callers. */
const maxHeaderBytes = 65_536;
/** Idle timeout of callers' connections until a catalog sets one, in milliseconds. */
const initialIdleTimeoutMs = 15_000;
/** Time within which a request's head must arrive, and the interval between the checks, in milliseconds. */
const headTimes = { timeoutMs: 10_000, checkIntervalMs: 30_000 };
/** Error code of Node.js for a head that takes too long. */
const headTimeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";
/** Interval between checks of the requests in flight during a drain, in milliseconds. */
const drainCheckIntervalMs = 50;
const badRequest = "400 Bad Request";
const headTimedOut = "408 Request Timeout";
const headTooLarge = "431 Request Header Fields Too Large";
/** Time for which connections that are not idle stay open after the drain, in milliseconds. */
const closingMs = 250;
const closingCheckIntervalMs = 10;
/** Parts of the connections of the process; the rest is for other processes and for the metrics. */
const connectionParts = { callers: 0.7, readiness: 0.05 };

/** Accepts callers' connections and answers the platform's readiness checks. */
export class CallerServer extends Component {
    readonly name = "caller-server";
    private readonly server: Server;
    private readonly readiness: Server;
    private readonly sockets = new Set<Socket>();
    private readonly closer: ConnectionCloser;
    private readonly idleConnections: IdleConnections;
    private readonly unreadAnswers: UnreadAnswers;
    /** Sockets that close after the answers that are due, because the bytes that follow are no request. */
    private readonly brokenSockets = new WeakSet<Socket>();

    constructor(
        private readonly relay: Relay,
        private readonly options: IngressOptions,
        private readonly accepting: () => boolean,
        /** Time for which cached address lookups direct new requests to a stopping ingress, in milliseconds. */
        private readonly lingerMs: number,
        private readonly clock: Clock,
        private readonly log: EventLog,
        { timeoutMs, checkIntervalMs } = headTimes,
        /** Bounds of the clients of all servers of the process. */
        private readonly guard = new ClientGuard({ clock, log, metrics: relay.metrics }),
    ) {
        super();
        this.closer = new ConnectionCloser(clock, relay.stop);
        this.idleConnections = new IdleConnections(
            clock,
            relay.pollBarrier,
            () => relay.view.catalog?.limits.idleTimeoutMs ?? initialIdleTimeoutMs,
            (socket, lateMs) => {
                relay.cuts.recordIdleClose(socket, lateMs);
                this.closeConnection(socket);
            },
        );
        this.unreadAnswers = new UnreadAnswers(
            clock,
            socket => relay.cuts.lastDeadline(socket, (...request) => this.deadlineOf(...request)),
            (socket, untakenBytes) => relay.cuts.recordUnread(socket, untakenBytes),
        );
        this.server = createServer({
            maxHeaderSize: maxHeaderBytes,
            headersTimeout: timeoutMs,
            connectionsCheckingInterval: checkIntervalMs,
            requestTimeout: 0,
            noDelay: true,
            // The guard answers requests without it, after it has counted them.
            requireHostHeader: false,
        }, guard.listener((req, res) => this.onRequest(req, res)));
        // Without this, Node.js ends the connection as soon as the caller has closed its sending side.
        Object.assign(this.server, { httpAllowHalfOpen: true });
        // Node.js reads the time that an answer announces before it emits the request.
        Object.defineProperty(this.server, "keepAliveTimeout", { get: () => this.idleConnections.announcedMs });
        this.server.on("timeout", (socket: Socket) => void this.idleConnections.onTimeout(socket));
        this.server.on("connection", (socket: Socket) => {
            this.relay.cuts.followConnection(socket);
            this.unreadAnswers.follow(socket);
            this.sockets.add(socket);
            // Node.js calls it after an answer that announces the close, and would close unread bytes with it.
            socket.destroySoon = () => this.closeConnection(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
        this.server.on("clientError", (err, socket) => this.onClientError(err, socket as Socket));
        // Without a listener, Node.js closes the connection at once, whatever answer is due on it.
        this.server.on(
            "connect",
            (req, socket) => this.onBadMethod(req, socket as Socket),
        );
        guard.attach(this.server, connectionParts.callers);
        this.readiness = createServer(
            { requireHostHeader: false },
            guard.listener((req, res) => {
                req.resume();
                res.writeHead(this.accepting() ? 200 : 503, { "Content-Length": 0 });
                res.end();
            }),
        );
        guard.attach(this.readiness, connectionParts.readiness);
    }

    override async start(): Promise<void> {
        await listen(this.server, this.options.callers);
        await listen(this.readiness, this.options.readiness);
        this.log.info("callers.listening", { ...this.options.callers });
    }

    /**
     * Starts the drain of the relay, which refuses requests whose answers may not end in time, and all new requests once
     * cached address lookups have expired. Resolves when all answers have been taken after that, at the latest shortly
     * before `deadline`, the end of the grace time. Requests without an answer get one from the ingress before that.
     */
    override async drain(deadline: number): Promise<void> {
        const startedAt = deadline - this.options.graceMs;
        this.relay.startDraining(startedAt);
        const { stop } = this.relay;
        while (this.clock.now() < stop.closeAt) {
            stop.advanceTo(this.clock.now());
            if (this.clock.now() - startedAt >= this.lingerMs) {
                stop.stopTaking();
                if (this.relay.requestsInFlight === 0 && !this.closer.isWaiting && !this.hasUntakenAnswers()) {
                    break;
                }
            }
            await this.clock.sleepUntil(this.clock.now() + drainCheckIntervalMs);
        }
        stop.end();
        await this.closeConnections(Math.min(stop.closeAt, this.clock.now() + closingMs));
    }

    override async close(): Promise<void> {
        this.relay.cuts.recordStop();
        this.sockets.forEach(socket => this.relay.connections.breakOffAnswers(socket));
        for (const server of [this.server, this.readiness]) {
            server.close();
            server.closeAllConnections();
        }
        this.relay.pool.close();
        this.relay.reach.close();
    }

    /** Closes the listener and idle connections, and waits for the requests of the others, which are refused. */
    private async closeConnections(deadline: number): Promise<void> {
        const { connections, cuts, pollBarrier } = this.relay;
        // Timers run before sockets are read, so that connections and requests may lie in the sockets.
        await pollBarrier.passed();
        // The method of the HTTP server closes idle connections without reading them.
        NetServer.prototype.close.call(this.server);
        while (this.sockets.size > 0 && this.clock.now() < deadline) {
            await pollBarrier.passed();
            for (const socket of this.sockets) {
                if (!connections.hasOpenRequest(socket) && cuts.unansweredBytes(socket) === 0) {
                    this.closeConnection(socket);
                }
            }
            await this.clock.sleepUntil(this.clock.now() + closingCheckIntervalMs);
        }
    }

    /** Whether Node.js still holds a part of an answer that its caller has not taken. */
    private hasUntakenAnswers(): boolean {
        return [...this.sockets].some(socket => socket.writableLength > 0);
    }

    /** Closes a connection on which no answer is due any more. */
    private closeConnection(socket: Socket, lastBytes?: string): void {
        this.relay.cuts.forgetConnection(socket);
        this.closer.close(socket, lastBytes);
    }

    private onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
        if (this.closer.isClosing(socket)) {
            return;
        }
        if (err.code === headTimeoutCode) {
            void this.onHeadTimeout(socket);
            return;
        }
        if (!socket.writable || err.code === "ECONNRESET") {
            this.log.debug("caller.bad-request", { error: err.code ?? err.message });
            socket.destroy();
            return;
        }
        this.onBadRequest(
            err.code ?? err.message,
            err.code === "HPE_HEADER_OVERFLOW" ? headTooLarge : badRequest,
            socket,
        );
    }

    private onBadMethod(req: IncomingMessage, socket: Socket): void {
        this.guard.release(socket);
        this.onBadRequest(`method ${req.method}`, badRequest, socket);
    }

    /** Refuses a head that takes too long, unless its rest has arrived. */
    private async onHeadTimeout(socket: Socket): Promise<void> {
        const { connections, cuts, pollBarrier } = this.relay;
        const requests = connections.countRequests(socket);
        // The time is over in a timer, and timers run before sockets are read.
        await pollBarrier.passed();
        if (socket.destroyed || this.closer.isClosing(socket) || connections.countRequests(socket) !== requests) {
            return;
        }
        if (cuts.unansweredBytes(socket) === 0) {
            // A caller would take a refusal for the answer to its first request.
            this.closeConnection(socket);
        }
        else {
            this.onBadRequest(headTimeoutCode, headTimedOut, socket);
        }
    }

    /** Refuses what is no request to relay, after the answers that are due on its connection. */
    private onBadRequest(error: string, status: string, socket: Socket): void {
        this.log.debug("caller.bad-request", { error });
        const dueAnswer = this.relay.connections.lastDueAnswer(socket);
        if (dueAnswer === undefined) {
            this.refuseBadRequest(error, status, socket);
        }
        else if (!this.brokenSockets.has(socket)) {
            // Another answer here would be taken for the one that is due, or for a part of it.
            this.brokenSockets.add(socket);
            dueAnswer.once("close", () => this.endBrokenConnection(error, status, socket));
        }
    }

    /** Ends a connection with bytes that are no request, once the answers that were due have been sent. */
    private endBrokenConnection(error: string, status: string, socket: Socket): void {
        const { connections } = this.relay;
        const dueAnswer = connections.lastDueAnswer(socket);
        if (dueAnswer !== undefined) {
            dueAnswer.once("close", () => this.endBrokenConnection(error, status, socket));
        }
        else if (socket.writable && connections.hasOpenRequest(socket)) {
            this.refuseBadRequest(error, status, socket);
        }
        else {
            // The bytes are part of no request, and a refusal would be taken for the answer to the caller's next one.
            this.closeConnection(socket);
        }
    }

    private refuseBadRequest(error: string, status: string, socket: Socket): void {
        this.relay.cuts.recordBadRequest(socket, error);
        this.closeConnection(socket, `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    }

    /** Returns the instant at which the caller or the route abandons a request; its arrival if no route is known. */
    private deadlineOf(req: IncomingMessage, arrivedAt: number): number {
        const { headerCodec, view } = this.relay;
        const route = view.routes?.find(req.headers.host ?? "", req.url ?? "/");
        return route === undefined
            ? arrivedAt
            : requestDeadline(arrivedAt, headerCodec.decodeCallerHead(req.headers), route);
    }

    private onRequest(req: IncomingMessage, res: ServerResponse): void {
        const announcedMs = this.server.keepAliveTimeout;
        res.once("finish", () => this.idleConnections.onAnswerEnd(res, announcedMs));
        res.sendDate = false;
        void this.relay.handle(req, res);
    }
}

function listen(server: Server, { host, port }: { host: string; port: number; }): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, 1_024, () => {
            server.off("error", reject);
            resolve();
        });
    });
}
