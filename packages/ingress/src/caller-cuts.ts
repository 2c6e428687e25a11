import type { Clock, EventFields, EventLog, Metrics } from "@lentilramp/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Why a caller's connection is closed before the answer to its request is complete. */
export type CutCause =
    /** The endpoint's stream fell silent, and no other attempt continues it. */
    | "stalled"
    /** The endpoint broke its answer off, and no other attempt continues it. */
    | "endpoint-cut"
    /** The deadline of the request passed in the middle of the answer. */
    | "deadline"
    /** An unexpected error of this process. */
    | "error"
    /** The grace time of a planned stop is over. */
    | "stopping"
    /** The connection closed before the request had been read. */
    | "incomplete-request"
    /** What the caller sent is not HTTP, or its head took too long. */
    | "bad-request"
    /** The idle time was over although part of a request had been read, or the timer fired late. */
    | "idle"
    /** The caller took nothing of its answers for some time after the deadline. */
    | "unread";

/** Delay of the idle timer, in milliseconds, above which a close is reported; the event loop was held for that long. */
const lateIdleCloseMs = 50;

/** Error code of Node.js for a connection whose sending side the caller has closed within a request. */
const endInRequest = "HPE_INVALID_EOF_STATE";

/** What the ingress knows at the moment of a cut. */
export interface CutContext {
    catalogVersion(): number | undefined;
    /** Instant at which a planned stop began; undefined while none has. */
    stopBegunAt(): number | undefined;
    requestId(req: IncomingMessage): string | undefined;
}

/** A caller's request from its head until its answer has been written. */
export class CallerExchange {
    private readonly admittedCatalog: number | undefined;
    private lastWriteAt: number | undefined;
    private reportedCause: CutCause | undefined;
    private describeCall: () => EventFields = () => ({});

    constructor(
        private readonly req: IncomingMessage,
        private readonly res: ServerResponse,
        private readonly clock: Clock,
        private readonly context: CutContext,
        private readonly report: (cause: CutCause, fields: EventFields) => void,
        private readonly arrivedAt = clock.now(),
    ) {
        this.admittedCatalog = context.catalogVersion();
    }

    /** Cause of the cut that has been reported. */
    get cutCause(): CutCause | undefined {
        return this.reportedCause;
    }

    get id(): string | undefined {
        return this.context.requestId(this.req);
    }

    /** Returns the deadline of the request, -Infinity if it has not been read, and Infinity while it is running. */
    deadline(deadlineOf: (req: IncomingMessage, arrivedAt: number) => number): number {
        const { req, res, arrivedAt } = this;
        if (res.writableEnded) {
            return deadlineOf(req, arrivedAt);
        }
        return req.complete ? Infinity : -Infinity;
    }

    /** Sets what an admitted request adds to the report of a cut. */
    describeBy(describeCall: () => EventFields): void {
        this.describeCall = describeCall;
    }

    /** Records that a part of the answer's body is written to the caller. */
    recordWrite(): void {
        this.lastWriteAt = this.clock.now();
    }

    /** Reports that the connection closes without the complete answer; only the first cause counts. */
    recordCut(cause: CutCause, fields: EventFields = {}): void {
        const { req, res, context } = this;
        if (this.reportedCause !== undefined || res.writableFinished) {
            return;
        }
        if (cause === "incomplete-request" && req.complete) {
            // The request has been received whole, but its caller left before it was read.
            return;
        }
        this.reportedCause = cause;
        const now = this.clock.now();
        this.report(cause, {
            id: this.id,
            ...fields,
            ...this.describeCall(),
            ageMs: Math.round(now - this.arrivedAt),
            read: req.complete,
            begun: res.headersSent,
            ended: res.writableEnded,
            sinceWriteMs: this.lastWriteAt === undefined ? undefined : Math.round(now - this.lastWriteAt),
            catalogThen: this.admittedCatalog,
            catalog: context.catalogVersion(),
            ...this.describeStop(),
        });
    }

    private describeStop(): EventFields {
        const begunAt = this.context.stopBegunAt();
        return {
            draining: begunAt !== undefined,
            sinceStopMs: begunAt === undefined ? undefined : Math.round(this.arrivedAt - begunAt),
        };
    }
}

/** A caller's connection and its requests whose answers are not complete. */
interface CallerConnection {
    exchanges: Set<CallerExchange>;
    /** Bytes that the socket had read when the last answer was complete. */
    answeredBytes: number;
    idleSince: number;
}

/** Reports each request whose connection this ingress closes without a complete answer, once, with the cause. */
export class CallerCuts {
    private readonly connections = new Map<Socket, CallerConnection>();

    constructor(
        private readonly context: CutContext,
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {}

    /** Follows a caller's connection until it closes. */
    followConnection(socket: Socket): void {
        const connection = { exchanges: new Set<CallerExchange>(), answeredBytes: 0, idleSince: this.clock.now() };
        this.connections.set(socket, connection);
        socket.once("close", () => {
            this.connections.delete(socket);
            recordCutsBehind(connection.exchanges);
        });
    }

    /** Follows a request until its answer has been written or its connection has closed. */
    followRequest(req: IncomingMessage, res: ServerResponse): CallerExchange {
        const exchange = new CallerExchange(req, res, this.clock, this.context, (...cut) => this.report(...cut));
        const { socket } = req;
        const connection = this.connections.get(socket);
        connection?.exchanges.add(exchange);
        res.once("close", () => {
            connection?.exchanges.delete(exchange);
            if (connection !== undefined) {
                connection.answeredBytes = socket.bytesRead;
                connection.idleSince = this.clock.now();
            }
        });
        return exchange;
    }

    /** Records that a connection ends because of what the caller sent, or did not send. */
    recordBadRequest(socket: Socket, error: string): void {
        const cause = error === endInRequest ? "incomplete-request" : "bad-request";
        const connection = this.connections.get(socket);
        for (const exchange of connection?.exchanges ?? []) {
            exchange.recordCut(cause, { error });
        }
        if (connection === undefined || connection.exchanges.size === 0) {
            this.report(cause, { error, unreadBytes: this.unansweredBytes(socket), read: false });
        }
    }

    /**
     * Returns the latest deadline of the requests of a connection whose answers have not been taken: -Infinity if there is
     * none, Infinity while one of them is running.
     */
    lastDeadline(socket: Socket, deadlineOf: (req: IncomingMessage, arrivedAt: number) => number): number {
        const deadlines = [...this.connections.get(socket)?.exchanges ?? []].map(exchange =>
            exchange.deadline(deadlineOf)
        );
        return Math.max(...deadlines);
    }

    /** Records that a connection ends because its caller does not take its answers, of which `untakenBytes` are held. */
    recordUnread(socket: Socket, untakenBytes: number): void {
        const exchanges = this.connections.get(socket)?.exchanges ?? new Set();
        for (const exchange of exchanges) {
            exchange.recordCut("unread", { untakenBytes });
        }
        if (exchanges.size === 0) {
            this.report("unread", { untakenBytes });
        }
    }

    /** Bytes that the connection has read since its last complete answer. */
    unansweredBytes(socket: Socket): number {
        return socket.bytesRead - (this.connections.get(socket)?.answeredBytes ?? 0);
    }

    /** Records the close of an idle connection, if part of a request had been read or its timer fired `lateMs` late. */
    recordIdleClose(socket: Socket, lateMs: number): void {
        const idleMs = this.clock.now() - (this.connections.get(socket)?.idleSince ?? 0);
        const unreadBytes = this.unansweredBytes(socket);
        if (unreadBytes > 0 || lateMs > lateIdleCloseMs) {
            this.report("idle", {
                unreadBytes,
                idleMs: Math.round(idleMs),
                lateMs: Math.round(lateMs),
                catalog: this.context.catalogVersion(),
                draining: this.context.stopBegunAt() !== undefined,
            });
        }
    }

    /** Ends the reports on a connection whose last answer has been sent; what follows it is no request. */
    forgetConnection(socket: Socket): void {
        this.connections.delete(socket);
    }

    /** Records what is open when all callers' connections are closed. */
    recordStop(): void {
        for (const [socket, { exchanges }] of this.connections) {
            for (const exchange of exchanges) {
                exchange.recordCut("stopping");
            }
            const unreadBytes = this.unansweredBytes(socket);
            if (exchanges.size === 0 && unreadBytes > 0) {
                this.report("stopping", { unreadBytes, read: false });
            }
        }
    }

    private report(cause: CutCause, fields: EventFields): void {
        this.metrics.count("caller_cuts", 1, { cause });
        this.log.info("caller.cut", { cause, ...fields });
    }
}

/** Records the requests of a closed connection whose answers had to follow one that was cut. */
function recordCutsBehind(exchanges: ReadonlySet<CallerExchange>): void {
    let firstCut: CallerExchange | undefined;
    for (const exchange of exchanges) {
        if (firstCut?.cutCause !== undefined) {
            exchange.recordCut(firstCut.cutCause, { behind: firstCut.id });
        }
        else if (exchange.cutCause !== undefined) {
            firstCut = exchange;
        }
    }
}
