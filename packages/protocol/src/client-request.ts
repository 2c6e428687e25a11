import type { IncomingMessage, ServerResponse } from "node:http";
import type { ClientConnection } from "./client-connection.ts";

/** Memory of a request in hand besides its bytes, in bytes; docs/design/untrusted-clients.md has the measurement. */
export const requestCostBytes = 8_192;
/** Retry delay of a request that is refused for want of memory, in milliseconds. */
const memoryRetryMs = 500;

export type ClientRefusal = "memory short" | "body too slow";

/** Thrown to the reader of a body that is not read further. The request has not run. */
export class ClientRefusedError extends Error {
    readonly status: 408 | 503;
    readonly retryAfterMs: number | undefined;

    constructor(readonly reason: ClientRefusal) {
        super(reason);
        this.name = "ClientRefusedError";
        this.status = reason === "memory short" ? 503 : 408;
        this.retryAfterMs = reason === "memory short" ? memoryRetryMs : undefined;
    }
}

/** A request of a client, from its head until its answer has closed. */
export class ClientRequest {
    private bodyBytes = 0;
    private isRefused = false;
    private reject: ((err: ClientRefusedError) => void) | undefined;

    constructor(
        readonly req: IncomingMessage,
        readonly res: ServerResponse,
        private readonly connection: ClientConnection,
        private readonly headBytes: number,
    ) {}

    /**
     * Called by the reader of the body before it reads; `reject` is called if the rest is not to be read. Throws a
     * ClientRefusedError if the body is not to be read at all.
     */
    beginBody(reject: (err: ClientRefusedError) => void): void {
        this.reject = reject;
        if (this.connection.refusesNew) {
            this.refuse("memory short");
        }
    }

    /** Records that the reader holds `bytes` more. */
    takeBody(bytes: number): void {
        if (!this.isRefused) {
            this.bodyBytes += bytes;
            this.connection.holding.add(bytes);
        }
    }

    /** Refuses the request. Returns false if nobody reads its body, or it is complete and may run. */
    refuse(reason: ClientRefusal): boolean {
        if (this.reject === undefined || this.isRefused || this.req.complete && this.bodyBytes > 0) {
            return false;
        }
        this.isRefused = true;
        this.connection.onRefusal(reason);
        this.connection.holding.add(-this.bodyBytes);
        this.bodyBytes = 0;
        this.reject(new ClientRefusedError(reason));
        return true;
    }

    /** Records that the request is a call of another process: memory that clients hold does not bound it. */
    markAsCall(): void {
        this.connection.holding.isExempt = true;
    }

    close(): void {
        this.connection.holding.add(-this.bodyBytes - this.headBytes - requestCostBytes);
        this.bodyBytes = 0;
    }
}
