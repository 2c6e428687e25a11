import type { Clock } from "@lentilramp/runtime";
import type { Socket } from "node:net";
import type { PlannedStop } from "./planned-stop.ts";

/** Time for which a connection is read after its last answer has been sent, in milliseconds. */
const lingerMs = 5_000;
/** Bytes that are read after the last answer; more than the largest body that operators allow. */
const lingerBytes = 67_108_864;

/**
 * Closes callers' connections after their last answers. A connection that is closed with unread bytes is reset, and a
 * caller that still writes, or reads only after it has written, would lose the answer. So only the sending side is
 * closed, and what arrives is discarded until the caller closes its own side or a bound is reached.
 */
export class ConnectionCloser {
    private readonly closing = new Set<Socket>();

    constructor(private readonly clock: Clock, private readonly stop: PlannedStop) {}

    /** Whether connections wait for their callers to close them. */
    get isWaiting(): boolean {
        return this.closing.size > 0;
    }

    isClosing(socket: Socket): boolean {
        return this.closing.has(socket);
    }

    /** Sends `lastBytes` and closes the connection. Nothing that arrives from now on is taken for a request. */
    close(socket: Socket, lastBytes = ""): void {
        if (socket.destroyed || this.closing.has(socket)) {
            return;
        }
        this.closing.add(socket);
        socket.once("close", () => this.closing.delete(socket));
        socket.setTimeout(0);
        this.discardInput(socket);
        // The caller may take long to read what precedes.
        socket.end(lastBytes, () => this.destroyLater(socket));
    }

    private discardInput(socket: Socket): void {
        const limit = socket.bytesRead + lingerBytes;
        // The first listener takes the connection from the parser of Node.js.
        const parserListeners = socket.listeners("data") as ((chunk: Buffer) => void)[];
        socket.on("data", () => {
            if (socket.bytesRead > limit) {
                socket.pause();
            }
        });
        parserListeners.forEach(listener => socket.off("data", listener));
        socket.resume();
    }

    private destroyLater(socket: Socket): void {
        const now = this.clock.now();
        const timer = this.clock.schedule(Math.min(now + lingerMs, Math.max(now, this.stop.closeAt)), () => {
            socket.destroy();
        });
        socket.once("close", () => timer.cancel());
    }
}
