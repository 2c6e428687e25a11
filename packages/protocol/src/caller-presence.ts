import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { PollBarrier } from "./poll-barrier.ts";

/** What is called when the client of a connection closes its sending side; one listener serves all requests of it. */
const endCallbacks = new WeakMap<Socket, Set<() => void>>();

function callbacksAtEnd(socket: Socket): Set<() => void> {
    let callbacks = endCallbacks.get(socket);
    if (callbacks === undefined) {
        const added = new Set<() => void>();
        callbacks = added;
        endCallbacks.set(socket, added);
        for (const event of ["end", "close"]) {
            socket.once(event, () => [...added].forEach(callback => callback()));
        }
    }
    return callbacks;
}

/** Tells whether the caller of a request is known to be there. */
export class CallerPresence {
    constructor(
        private readonly req: IncomingMessage,
        private readonly res: ServerResponse,
        private readonly pollBarrier: PollBarrier,
    ) {}

    /**
     * Resolves with whether the caller has closed its connection, once that would have been read. One that has closed
     * its sending side alone counts as well, since TCP shows no difference; it may still read an answer.
     */
    async hasLeft(): Promise<boolean> {
        await this.pollBarrier.passed();
        // Node.js closes the answer only some turns after it has read the end of the connection.
        return this.res.destroyed || this.req.socket.destroyed || this.req.socket.readableEnded;
    }

    /**
     * Calls `callback` once when the caller leaves, as `hasLeft` has it, before its answer has been sent; answers that wait
     * behind others are not closed with their connection. Returns a function that ends the watch.
     */
    onLeave(callback: () => void): () => void {
        const callbacks = callbacksAtEnd(this.req.socket);
        const cancel = (): void => {
            callbacks.delete(onLeave);
            this.res.off("close", onLeave);
        };
        const onLeave = (): void => {
            cancel();
            if (!this.res.writableFinished) {
                callback();
            }
        };
        callbacks.add(onLeave);
        this.res.once("close", onLeave);
        return cancel;
    }
}
