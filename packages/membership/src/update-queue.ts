import type { Update } from "./member.ts";
import { updateBytes } from "./update-codec.ts";

interface Queued {
    update: Update;
    bytes: number;
    sent: number;
}

/** Updates to piggyback. Each is sent a bounded number of times; those sent least often go first. */
export class UpdateQueue {
    private readonly queued = new Map<string, Queued>();

    /** Adds news; it replaces older news about the same member. */
    add(update: Update): void {
        this.queued.delete(update.id);
        this.queued.set(update.id, { update, bytes: updateBytes(update), sent: 0 });
    }

    /** Takes updates of at most `budget` bytes; each has been sent at most `limit` times after this. */
    take(budget: number, limit: number): Update[] {
        const taken: Update[] = [];
        let left = budget;
        // Few updates are queued in the usual case, so sorting them for each datagram is cheap.
        const order = [...this.queued.values()].sort((a, b) => a.sent - b.sent);
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
