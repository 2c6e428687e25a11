/** Result of an admission check: admitted, or the instant at which a retry can be admitted and the bucket's level. */
export type CapDecision = { admitted: true; } | { admitted: false; retryAt: number; level: number; };

/** Size of a token bucket in units, and its refill rate. */
export interface BucketLimits {
    size: number;
    ratePerMs: number;
}

/** A token bucket whose size and refill rate may change between calls. */
export class CapBucket {
    constructor(private level: number, private refilledAt: number) {}

    /**
     * Takes `units` if at least `reserve` units remain afterwards. A request that, with its reserve, exceeds the size
     * of the bucket is admitted once the bucket is full; its level then becomes negative.
     */
    tryTake(
        units: number,
        { size, ratePerMs, reserve }: BucketLimits & { reserve: number; },
        now: number,
    ): CapDecision {
        this.refill({ size, ratePerMs }, now);
        const shortfall = Math.min(units + reserve, size) - this.level;
        if (shortfall <= 0 && size > 0) {
            this.level -= units;
            return { admitted: true };
        }
        const retryAt = ratePerMs > 0 ? now + shortfall / ratePerMs : Infinity;
        return { admitted: false, retryAt, level: this.level };
    }

    /** Units in the bucket at the last refill, less those taken since. */
    get units(): number {
        return this.level;
    }

    /** Takes up to `units` whole units and returns how many there were. */
    takeUpTo(units: number): number {
        const taken = Math.max(0, Math.min(units, Math.floor(this.level)));
        this.level -= taken;
        return taken;
    }

    /** Refills the bucket for the time since the last refill. */
    refill({ size, ratePerMs }: BucketLimits, now: number): void {
        this.level = Math.min(size, this.level + (now - this.refilledAt) * ratePerMs);
        this.refilledAt = now;
    }

    /** Adds units; a negative number takes them without an admission check. */
    add(units: number): void {
        this.level += units;
    }
}
