import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { PlannedStop } from "./planned-stop.ts";
import { breakOffAnswer } from "./refusal.ts";

interface CallerConnection {
    /** The answers that have not closed, in the order of their requests. */
    openAnswers: Set<ServerResponse>;
    /** Number of requests so far. */
    requests: number;
    announcedClose: boolean;
    /** What is called for each of these answers when the caller closes its sending side. */
    endCallbacks: Map<ServerResponse, () => void>;
}

/**
 * Knows the answers that are due on each caller's connection, and decides which of them announce its close. A caller may
 * send several requests without waiting for the answers (pipelining); no answer can follow the one that announces the
 * close.
 */
export class CallerConnections {
    private readonly connections = new WeakMap<Socket, CallerConnection>();

    constructor(private readonly stop: PlannedStop) {}

    /** Records a request. Returns false if an earlier answer has announced the close, so that it cannot be answered. */
    recordRequest(req: IncomingMessage, res: ServerResponse): boolean {
        const connection = this.connection(req.socket);
        const { openAnswers, announcedClose, endCallbacks } = connection;
        connection.requests++;
        if (announcedClose) {
            return false;
        }
        openAnswers.add(res);
        res.once("close", () => {
            openAnswers.delete(res);
            endCallbacks.delete(res);
        });
        return true;
    }

    /** Calls `callback` if the caller closes its sending side before the answer has been sent. */
    onCallerEnd(res: ServerResponse, callback: () => void): void {
        this.connection(res.req.socket).endCallbacks.set(res, callback);
    }

    /** Returns the last answer that is due on a connection: its request has been read whole, or its head is written. */
    lastDueAnswer(socket: Socket): ServerResponse | undefined {
        return [...this.connection(socket).openAnswers].findLast(res =>
            (res.req.complete || res.headersSent) && !res.writableFinished
        );
    }

    countRequests(socket: Socket): number {
        return this.connection(socket).requests;
    }

    /** Whether a request of the connection has no complete answer. */
    hasOpenRequest(socket: Socket): boolean {
        return this.connection(socket).openAnswers.size > 0;
    }

    /** Breaks off the answers that have begun on a connection. */
    breakOffAnswers(socket: Socket): void {
        for (const res of this.connection(socket).openAnswers) {
            if (res.headersSent && !res.writableFinished) {
                breakOffAnswer(res);
            }
        }
    }

    /** Returns whether an answer has to announce the close of its connection; called when its head is written. */
    closesAfter(res: ServerResponse): boolean {
        const { socket, complete } = res.req;
        const connection = this.connection(socket);
        const ends = this.stop.begun || socket.readableEnded;
        // The rest of a request that has not been read whole is not waited for, so no other request can follow it.
        if (complete && (!ends || [...connection.openAnswers].at(-1) !== res)) {
            return false;
        }
        connection.announcedClose = true;
        return true;
    }

    private connection(socket: Socket): CallerConnection {
        let connection = this.connections.get(socket);
        if (connection === undefined) {
            const openAnswers = new Set<ServerResponse>();
            const endCallbacks = new Map<ServerResponse, () => void>();
            connection = { openAnswers, requests: 0, announcedClose: false, endCallbacks };
            this.connections.set(socket, connection);
            socket.once("end", () => [...endCallbacks.values()].forEach(callback => callback()));
            socket.once("close", () => [...openAnswers].forEach(closeQueuedAnswer));
        }
        return connection;
    }
}

/**
 * Closes an answer that waits behind others when its connection has closed. Node.js closes only the answer that is being
 * sent; nobody would tell the requests of the others that their caller has left.
 */
function closeQueuedAnswer(res: ServerResponse): void {
    if (!res.socket && !res.writableFinished) {
        res.destroy();
        res.emit("close");
    }
}
