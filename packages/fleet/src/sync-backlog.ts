interface Waiting<T> {
    item: T;
    arrivedAt: number;
    expiresAt: number;
}

/**
 * Syncs that wait for their turn at a steward. They are answered in the order of arrival until the oldest has used half
 * of the time for which its sender waits. From then on the steward is overloaded: the newest goes first, and those whose
 * senders have given up are dropped. Answers that arrive too late are asked for again, and with nothing but such
 * answers the steward would never catch up.
 */
export class SyncBacklog<T> {
    private waiting: Waiting<T>[] = [];

    get size(): number {
        return this.waiting.length;
    }

    /** Adds a sync that arrived at `now` and whose sender waits for `waitMs` milliseconds. */
    push(item: T, now: number, waitMs: number): void {
        this.waiting.push({ item, arrivedAt: now, expiresAt: now + waitMs });
    }

    /** Removes and returns the sync to answer next, or undefined if none is waited for. */
    takeNext(now: number): T | undefined {
        const alive = this.waiting.findIndex(({ expiresAt }) => now < expiresAt);
        const oldest = this.waiting[alive];
        if (oldest === undefined) {
            return undefined;
        }
        const inTime = now - oldest.arrivedAt < oldest.expiresAt - now;
        const index = inTime ? alive : this.waiting.findLastIndex(({ expiresAt }) => now < expiresAt);
        return this.waiting.splice(index, 1)[0]?.item;
    }

    /** Removes and returns the syncs whose senders have given up. */
    dropExpired(now: number): T[] {
        const expired = this.waiting.filter(({ expiresAt }) => now >= expiresAt);
        if (expired.length > 0) {
            this.waiting = this.waiting.filter(({ expiresAt }) => now < expiresAt);
        }
        return expired.map(({ item }) => item);
    }
}
