/**
 * Start-time fair queueing over weighted keys: keys with work are served in proportion to their weights, and a key
 * that was idle gains no credit. Source: Goyal, Vin, Cheng (1996).
 */
export class FairShares<K> {
    private virtualTime = 0;
    private readonly finishTimes = new Map<K, number>();

    constructor(private readonly weight: (key: K) => number) {}

    /** Returns the key to serve next; ties go to the first key. */
    next(keys: Iterable<K>): K | undefined {
        let chosen: K | undefined;
        let earliest = Infinity;
        for (const key of keys) {
            const startTime = this.startTime(key);
            if (startTime < earliest) {
                earliest = startTime;
                chosen = key;
            }
        }
        return chosen;
    }

    /** Charges a key for work that is dispatched. */
    charge(key: K, cost: number): void {
        const startTime = this.startTime(key);
        this.virtualTime = startTime;
        this.finishTimes.set(key, startTime + cost / this.weight(key));
        for (const [other, finishTime] of this.finishTimes) {
            // A key whose finish time has passed starts at the current virtual time, as does an unknown key.
            if (finishTime <= this.virtualTime) {
                this.finishTimes.delete(other);
            }
        }
    }

    private startTime(key: K): number {
        return Math.max(this.virtualTime, this.finishTimes.get(key) ?? 0);
    }
}
