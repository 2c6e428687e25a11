import type { Update } from "./member.ts";
import { updateBytes } from "./update-codec.ts";

interface QueuedUpdate {
    update: Update;
    bytes: number;
    sendCount: number;
    priority: number;
}

/**
 * Queue of updates to piggyback. Each update is sent a bounded number of times. Updates with status `alive` have
 * priority, since a refutation that is queued behind the updates about a failed failure domain arrives too late. Among
 * updates of equal priority, those sent least often are first.
 */
export class UpdateQueue {
    private readonly queued = new Map<string, QueuedUpdate>();

    /** Adds an update, which replaces a queued update about the same member. */
    add(update: Update): void {
        this.queued.delete(update.id);
        this.queued.set(update.id, {
            update,
            bytes: updateBytes(update),
            sendCount: 0,
            priority: Number(update.status === "alive"),
        });
    }

    /** Returns updates of at most `maxBytes` in total. Removes each update that was returned `maxSends` times. */
    take(maxBytes: number, maxSends: number): Update[] {
        const taken: Update[] = [];
        let remainingBytes = maxBytes;
        // The queue is usually short, so sorting it for each datagram is cheap.
        const sorted = [...this.queued.values()].sort((a, b) => b.priority - a.priority || a.sendCount - b.sendCount);
        for (const entry of sorted) {
            if (entry.bytes > remainingBytes) {
                continue;
            }
            remainingBytes -= entry.bytes;
            entry.sendCount++;
            taken.push(entry.update);
            if (entry.sendCount >= maxSends) {
                this.queued.delete(entry.update.id);
            }
        }
        return taken;
    }

    get size(): number {
        return this.queued.size;
    }
}
