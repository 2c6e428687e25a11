/**
 * Syncs that wait for their turn at the leading steward. A steward that is short of processor time answers the newest
 * one first and drops those whose senders have given up: answers that arrive too late are asked for again, and with
 * nothing but such answers the steward would never catch up.
 */
export class SyncBacklog<T> {
    private waiting: { item: T; expiresAt: number; }[] = [];

    get size(): number {
        return this.waiting.length;
    }

    /** Adds a sync whose sender gives up at `expiresAt`. */
    push(item: T, expiresAt: number): void {
        this.waiting.push({ item, expiresAt });
    }

    /** Removes and returns the newest sync whose sender still waits, or undefined if there is none. */
    takeNewest(now: number): T | undefined {
        const index = this.waiting.findLastIndex(({ expiresAt }) => now < expiresAt);
        return index < 0 ? undefined : this.waiting.splice(index, 1)[0]?.item;
    }

    /** Removes and returns the syncs whose senders have given up. */
    dropExpired(now: number): T[] {
        const expired = this.waiting.filter(({ expiresAt }) => now >= expiresAt);
        this.waiting = this.waiting.filter(({ expiresAt }) => now < expiresAt);
        return expired.map(({ item }) => item);
    }
}
