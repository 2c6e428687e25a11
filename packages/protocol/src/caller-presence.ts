import type { IncomingMessage, ServerResponse } from "node:http";
import type { PollBarrier } from "./poll-barrier.ts";

/** Tells whether the caller of a request is still there. */
export class CallerPresence {
    constructor(
        private readonly req: IncomingMessage,
        private readonly res: ServerResponse,
        private readonly pollBarrier: PollBarrier,
    ) {}

    /** Resolves with whether the caller has left, once its close would have been read. */
    async hasLeft(): Promise<boolean> {
        await this.pollBarrier.passed();
        // Node.js closes the answer only some turns after it has read the end of the connection.
        return this.res.destroyed || this.req.socket.destroyed || this.req.socket.readableEnded;
    }
}
