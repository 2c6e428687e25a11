import type { Clock, Timer } from "@lentilramp/runtime";
import type { Socket } from "node:net";
import { unacknowledgedBytes, untakenBytes } from "./socket-queues.ts";
import { type AnswerProgress, UnreadAnswerRule, unreadAnswerTimeoutMs } from "./unread-answer-rule.ts";

/** Interval between looks at the connections, in milliseconds; there are none while no connection is open. */
const checkIntervalMs = 500;

/**
 * Closes the connections of a server whose callers do not read. Without it, a connection and the answers that are held
 * for it stay for as long as the caller does.
 */
export class UnreadAnswers {
    private readonly rules = new Map<Socket, UnreadAnswerRule>();
    private isWatching = false;
    private timer: Timer | undefined;

    constructor(
        private readonly clock: Clock,
        /** Returns what `AnswerProgress.deadline` returns. */
        private readonly deadlineOf: (socket: Socket) => number,
        /** Told before a connection is reset with `untakenBytes` of answers. */
        private readonly onClose: (socket: Socket, untakenBytes: number) => void,
        /** Time without progress after which a connection is closed, in milliseconds. */
        private readonly timeoutMs = unreadAnswerTimeoutMs,
    ) {}

    /** Follows a connection until it closes. */
    follow(socket: Socket): void {
        this.rules.set(socket, new UnreadAnswerRule(this.clock.now(), this.timeoutMs));
        socket.once("close", () => {
            this.rules.delete(socket);
            if (this.rules.size === 0 && this.timer !== undefined) {
                this.timer.cancel();
                this.isWatching = false;
            }
        });
        if (!this.isWatching) {
            this.isWatching = true;
            this.schedule();
        }
    }

    private schedule(): void {
        this.timer = this.clock.schedule(this.clock.now() + checkIntervalMs, () => {
            this.timer = undefined;
            void this.check();
        });
    }

    private async check(): Promise<void> {
        const sockets = [...this.rules].filter(([socket, rule]) =>
            rule.look(this.progressOf(socket), this.clock.now())
        );
        const queues = sockets.length === 0 ? undefined : await unacknowledgedBytes(sockets.map(([socket]) => socket));
        const now = this.clock.now();
        for (const [socket, rule] of sockets) {
            const mayEnd = !socket.destroyed && rule.look(this.progressOf(socket), now);
            if (mayEnd && rule.recordUnacknowledged(queues?.get(socket), now)) {
                this.onClose(socket, untakenBytes(socket));
                // A close without a reset may look like the end of an answer that has no length.
                socket.resetAndDestroy();
            }
        }
        if (this.rules.size > 0) {
            this.schedule();
        }
        else {
            this.isWatching = false;
        }
    }

    private progressOf(socket: Socket): AnswerProgress {
        const unreadBytes = untakenBytes(socket);
        return {
            unreadBytes,
            takenBytes: socket.bytesWritten - unreadBytes,
            deadline: () => this.deadlineOf(socket),
        };
    }
}
