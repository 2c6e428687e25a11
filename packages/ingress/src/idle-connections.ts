import type { PollBarrier } from "@lentilramp/protocol";
import type { Clock } from "@lentilramp/runtime";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Added to the configured idle timeout, in milliseconds, so that the connection is still open for a caller that reuses
 * it at the end of that time.
 */
const idleMarginMs = 1_000;
/** Time for which a connection stays open beyond the announced time, in milliseconds, as callers get the answer later. */
const idleCloseMarginMs = 1_000;

/**
 * Decides when an idle connection is closed: not before the time that its last answer has announced, nor before that of
 * the newest catalog is over, by which its caller may go instead.
 */
export class IdleConnections {
    /** Since when each connection is idle, and when its timer is due. */
    private readonly times = new WeakMap<Socket, { idleSince: number; dueAt: number; }>();

    constructor(
        private readonly clock: Clock,
        private readonly pollBarrier: PollBarrier,
        /** Returns the idle timeout of the newest catalog, in milliseconds. */
        private readonly idleTimeoutMs: () => number,
        /** Closes a connection whose timer fired `lateMs` after its time. */
        private readonly close: (socket: Socket, lateMs: number) => void,
    ) {}

    /** Time that an answer announces now, in milliseconds. */
    get announcedMs(): number {
        return this.idleTimeoutMs() + idleMarginMs;
    }

    /** Follows a connection from the end of an answer; the answer has announced `announcedMs`. */
    onAnswerEnd({ req: { socket } }: ServerResponse, announcedMs: number): void {
        // Node.js has set a timeout by the present catalog, unless more answers follow on the connection.
        if (socket.timeout) {
            this.setTimer(socket, this.clock.now(), announcedMs + idleCloseMarginMs);
        }
    }

    /** Closes a connection whose idle time is over, unless something has arrived on it. */
    async onTimeout(socket: Socket): Promise<void> {
        const { bytesRead } = socket;
        // Timers run before sockets are read, so that a request may lie in the socket.
        await this.pollBarrier.passed();
        // What has arrived has started the time anew, or ended it.
        if (socket.destroyed || !socket.timeout || socket.bytesRead !== bytesRead) {
            return;
        }
        const now = this.clock.now();
        const { idleSince, dueAt } = this.times.get(socket) ?? { idleSince: now, dueAt: now };
        const leftMs = idleSince + this.announcedMs + idleCloseMarginMs - now;
        if (leftMs > 0) {
            this.setTimer(socket, idleSince, leftMs);
        }
        else {
            this.close(socket, now - dueAt);
        }
    }

    private setTimer(socket: Socket, idleSince: number, forMs: number): void {
        this.times.set(socket, { idleSince, dueAt: this.clock.now() + forMs });
        socket.setTimeout(Math.ceil(forMs));
    }
}
