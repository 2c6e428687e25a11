/** Answer to a request for units of a cap: admitted, or the instant at which there is room. */
export type CapDecision = { admitted: true; } | { admitted: false; retryAt: number; level: number; };

/** Size and rate of a bucket. */
export interface BucketLimits {
    size: number;
    ratePerMs: number;
}

/** Token bucket whose size and rate may change from one use to the next. */
export class CapBucket {
    constructor(private level: number, private filledAt: number) {}

    /**
     * Takes `units` when `reserve` is left then. A request larger than what the bucket can give is admitted from a
     * full one and leaves a debt.
     */
    tryTake(
        units: number,
        { size, ratePerMs, reserve }: BucketLimits & { reserve: number; },
        now: number,
    ): CapDecision {
        this.refill({ size, ratePerMs }, now);
        const missing = Math.min(units + reserve, size) - this.level;
        if (missing <= 0 && size > 0) {
            this.level -= units;
            return { admitted: true };
        }
        const retryAt = ratePerMs > 0 ? now + missing / ratePerMs : Infinity;
        return { admitted: false, retryAt, level: this.level };
    }

    /** Fills the bucket up to the instant `now`. */
    refill({ size, ratePerMs }: BucketLimits, now: number): void {
        this.level = Math.min(size, this.level + (now - this.filledAt) * ratePerMs);
        this.filledAt = now;
    }

    /** Adds units, or takes them without a question when they are negative. */
    add(units: number): void {
        this.level += units;
    }
}
