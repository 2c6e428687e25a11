import { type Clock, type EventLog, type Metrics, SystemClock, type Timer } from "@lentilramp/runtime";
import type { IncomingMessage, RequestListener, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ClientBound, ClientConnectionContext } from "./client-connection-context.ts";
import { ClientConnection } from "./client-connection.ts";
import {
    accountOptions,
    type ClientLimits,
    connectionLimit,
    defaultClientLimits,
    limitsOfConnection,
} from "./client-limits.ts";
import type { ClientRequest } from "./client-request.ts";
import { MemoryAccount } from "./memory-account.ts";
import { TurnQueue } from "./turn-queue.ts";

/** Interval between looks at the connections, in milliseconds; there are none while no connection is open. */
const checkIntervalMs = 100;
/** Shortest time between two log lines about bounds, in milliseconds. */
const logIntervalMs = 1_000;
/** Connections that are ended in one look for the memory that they hold. */
const maxEvictions = 16;
/** Connections that a server always accepts, however few descriptors there are. */
const minConnections = 8;
/** Shortest idle time after which a connection is closed for a new one, in milliseconds. */
const minIdleMs = 1_000;

const clientRequest = Symbol("clientRequest");

/**
 * A message with what is known of it. A scavenge of V8 keeps the values of a WeakMap that is itself in old space, and
 * with them the message that is the key, so that one would keep all requests until the next full collection.
 */
type RecordedMessage = IncomingMessage & { [clientRequest]?: ClientRequest; };

/** Returns what is known of a client's request; undefined for messages that no guarded server has received. */
export function clientRequestOf(req: IncomingMessage): ClientRequest | undefined {
    return (req as RecordedMessage)[clientRequest];
}

/** Records that a request is a call of another process, which has presented the process key. */
export function markAsCall(req: IncomingMessage): void {
    clientRequestOf(req)?.markAsCall();
}

/** Where the effects of bounds are shown. */
export interface ClientGuardBase {
    clock: Clock;
    log?: EventLog;
    metrics?: Metrics;
}

/** Bounds what the clients of all servers of a process hold. */
export class ClientGuard {
    private readonly account: MemoryAccount;
    private readonly connections = new Map<Socket, ClientConnection>();
    private readonly counts = new Map<ClientBound, number>();
    private readonly ctx: ClientConnectionContext;
    private loggedAt = -Infinity;
    private timer: Timer | undefined;

    constructor(
        private readonly base: ClientGuardBase = { clock: new SystemClock() },
        private readonly limits: ClientLimits = defaultClientLimits,
    ) {
        this.account = new MemoryAccount(accountOptions(limits));
        this.ctx = {
            account: this.account,
            limits: limitsOfConnection(limits),
            clock: base.clock,
            turns: new TurnQueue(),
            onLimit: bound => this.record(bound),
        };
    }

    get clock(): Clock {
        return this.base.clock;
    }

    /** Bytes that clients hold, their connections, and those that wait for memory. */
    get use(): { bytes: number; connections: number; waiting: number; } {
        return {
            bytes: this.account.usedBytes,
            connections: this.connections.size,
            waiting: this.account.waitingCount,
        };
    }

    /** Returns a listener that records requests before `listener` gets them. */
    listener(listener: RequestListener): RequestListener {
        return (req, res) => {
            if (this.recordRequest(req, res)) {
                listener(req, res);
            }
        };
    }

    /**
     * Guards the connections of a server, whose listener must come from `listener` and which must not require a `Host`
     * header itself. `part` is its part of the connections of the process.
     */
    attach(server: Server, part: number): void {
        const own = new Set<ClientConnection>();
        const limit = Math.max(minConnections, Math.floor(connectionLimit(this.limits) * part));
        server.on("connection", (socket: Socket) => {
            if (own.size >= limit && !this.makePlace(own)) {
                this.record("connections-refused");
                socket.destroy();
                return;
            }
            const connection = new ClientConnection(socket, this.ctx);
            own.add(connection);
            this.connections.set(socket, connection);
            socket.once("close", () => {
                own.delete(connection);
                this.connections.delete(socket);
                this.account.resumeWaiting(this.base.clock.now());
            });
            this.timer ??= this.schedule();
        });
        // Node.js answers an unknown expectation without a request event.
        server.on("checkExpectation", (req, res) => {
            if (this.recordRequest(req, res)) {
                req.resume();
                res.writeHead(417);
                res.end();
            }
        });
    }

    /** Leaves a connection to somebody else than the parser of its server. */
    release(socket: Socket): void {
        this.connections.get(socket)?.release();
    }

    /** Closes a connection after its last answer and `lastBytes`, so that its client can read them. */
    closeSoon(socket: Socket, lastBytes = ""): void {
        const connection = this.connections.get(socket);
        if (connection === undefined) {
            socket.destroy();
        }
        else {
            connection.closeSoon(lastBytes);
        }
    }

    /** Returns whether the request has what HTTP requires; one that lacks it has been answered. */
    private recordRequest(req: IncomingMessage, res: ServerResponse): boolean {
        const request = this.connections.get(req.socket)?.recordRequest(req, res);
        if (request !== undefined) {
            (req as RecordedMessage)[clientRequest] = request;
        }
        if (req.httpVersion === "1.1" && req.headers.host === undefined) {
            // Node.js would answer the same before the request could be counted.
            res.writeHead(400, { connection: "close" });
            res.end();
            return false;
        }
        return true;
    }

    /**
     * Closes a connection of a server for a new one: one with more than it needs, otherwise the one that has been
     * idle or without progress for longest. Connections of other processes are closed for each other only. Returns false
     * if there is none.
     */
    private makePlace(own: ReadonlySet<ClientConnection>): boolean {
        const now = this.base.clock.now();
        let idlest: ClientConnection | undefined;
        let mostMs = minIdleMs;
        const ofClients = [...own].filter(({ holding }) => !holding.isExempt);
        for (const connection of ofClients.length > 0 ? ofClients : own) {
            const idleMs = connection.isBeyondNeed(now) ? Infinity : connection.idleMs(now);
            if (idleMs >= mostMs) {
                idlest = connection;
                mostMs = idleMs;
            }
        }
        if (idlest === undefined) {
            return false;
        }
        this.record("connections-closed");
        idlest.socket.destroy();
        return true;
    }

    private schedule(): Timer {
        const { clock } = this.base;
        return clock.schedule(clock.now() + checkIntervalMs, () => {
            this.check();
            this.timer = this.connections.size > 0 ? this.schedule() : undefined;
        });
    }

    private check(): void {
        const now = this.base.clock.now();
        for (const connection of this.connections.values()) {
            connection.check(now);
        }
        this.account.resumeWaiting(now);
        this.makeRoom(now);
        this.report(now);
    }

    /** Ends connections while others wait for the memory that these hold. */
    private makeRoom(now: number): void {
        for (let i = 0; i < maxEvictions; i++) {
            const victim = this.account.chooseVictim(now);
            const connection = victim && [...this.connections.values()].find(({ holding }) => holding === victim);
            if (connection === undefined) {
                return;
            }
            connection.evict();
            this.account.resumeWaiting(now);
        }
    }

    private record(bound: ClientBound): void {
        this.counts.set(bound, (this.counts.get(bound) ?? 0) + 1);
        this.base.metrics?.count("client_limits", 1, { bound });
    }

    private report(now: number): void {
        if (this.counts.size === 0 || now - this.loggedAt < logIntervalMs) {
            return;
        }
        this.loggedAt = now;
        const { bytes, connections, waiting } = this.use;
        const fields = Object.fromEntries([...this.counts].map(([bound, count]) => [toFieldName(bound), count]));
        this.base.log?.warn("clients.limited", { ...fields, bytes, connections, waiting });
        this.counts.clear();
    }
}

function toFieldName(bound: ClientBound): string {
    return bound.replace(/-(\w)/g, (...[, letter]: string[]) => letter?.toUpperCase() ?? "");
}
