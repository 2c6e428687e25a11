import type { Update } from "./member.ts";
import { updateBytes } from "./update-codec.ts";

interface Queued {
    update: Update;
    bytes: number;
    sent: number;
    rank: number;
}

/**
 * Updates to piggyback. Each is sent a bounded number of times. Members that are alive go first, since a refutation that
 * waits behind the news of a lost failure domain comes too late; then those that were sent least often.
 */
export class UpdateQueue {
    private readonly queued = new Map<string, Queued>();

    /** Adds news; it replaces older news about the same member. */
    add(update: Update): void {
        this.queued.delete(update.id);
        this.queued.set(update.id, {
            update,
            bytes: updateBytes(update),
            sent: 0,
            rank: Number(update.status === "alive"),
        });
    }

    /** Takes updates of at most `budget` bytes; each has been sent at most `limit` times after this. */
    take(budget: number, limit: number): Update[] {
        const taken: Update[] = [];
        let left = budget;
        // Few updates are queued in the usual case, so sorting them for each datagram is cheap.
        const order = [...this.queued.values()].sort((a, b) => b.rank - a.rank || a.sent - b.sent);
        for (const entry of order) {
            if (entry.bytes > left) {
                continue;
            }
            left -= entry.bytes;
            entry.sent++;
            taken.push(entry.update);
            if (entry.sent >= limit) {
                this.queued.delete(entry.update.id);
            }
        }
        return taken;
    }

    get size(): number {
        return this.queued.size;
    }
}
