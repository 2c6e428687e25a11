/**
 * Start-time fair queueing over keys with weights: while keys have work, each gets service in proportion to its
 * weight, and a key that was idle gains no credit. Source: Goyal, Vin, Cheng (1996).
 */
export class FairShares<K> {
    private virtualTime = 0;
    private readonly finish = new Map<K, number>();

    constructor(private readonly weight: (key: K) => number) {}

    /** Returns the key to serve next; the first one of equals. */
    next(keys: Iterable<K>): K | undefined {
        let chosen: K | undefined;
        let least = Infinity;
        for (const key of keys) {
            const start = this.start(key);
            if (start < least) {
                least = start;
                chosen = key;
            }
        }
        return chosen;
    }

    /** Charges a key for work that starts. */
    charge(key: K, cost: number): void {
        const start = this.start(key);
        this.virtualTime = start;
        this.finish.set(key, start + cost / this.weight(key));
        for (const [other, finish] of this.finish) {
            // A key whose finish lies in the past starts at the virtual time anyway.
            if (finish <= this.virtualTime) {
                this.finish.delete(other);
            }
        }
    }

    private start(key: K): number {
        return Math.max(this.virtualTime, this.finish.get(key) ?? 0);
    }
}
