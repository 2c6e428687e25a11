import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { PlannedStop } from "./planned-stop.ts";

/**
 * Decides which answers announce the close of their connection. A caller may send several requests without waiting for
 * the answers (pipelining); no answer can follow the one that announces the close.
 */
export class CallerConnections {
    private readonly newestAnswers = new WeakMap<Socket, ServerResponse>();
    private readonly closing = new WeakSet<Socket>();

    constructor(private readonly stop: PlannedStop) {}

    /** Records a request. Returns false if an earlier answer has announced the close, so that it cannot be answered. */
    recordRequest(req: IncomingMessage, res: ServerResponse): boolean {
        this.newestAnswers.set(req.socket, res);
        return !this.closing.has(req.socket);
    }

    /** Returns the newest answer of a connection if its request has been read whole and the answer has not ended. */
    pendingAnswer(socket: Socket): ServerResponse | undefined {
        const res = this.newestAnswers.get(socket);
        return res !== undefined && res.req.complete && !res.writableFinished ? res : undefined;
    }

    /** Returns whether an answer has to announce the close of its connection; called when its head is written. */
    closesAfter(res: ServerResponse): boolean {
        const { complete, socket } = res.req;
        // A connection that is closed with unread data is reset, and its caller may lose the answer.
        if (!this.stop.begun || !complete || this.newestAnswers.get(socket) !== res) {
            return false;
        }
        this.closing.add(socket);
        return true;
    }
}
