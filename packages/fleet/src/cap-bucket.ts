/** Answer to a request for units of a cap: admitted, or the instant at which there is room. */
export type CapVerdict = { admitted: true; } | { admitted: false; retryAt: number; };

/** Token bucket whose size and rate may change from one use to the next. */
export class CapBucket {
    constructor(private level: number, private filledAt: number) {}

    /** Takes `units`. A request larger than the whole bucket is admitted from a full one and leaves a debt. */
    take(units: number, { size, ratePerMs }: { size: number; ratePerMs: number; }, now: number): CapVerdict {
        this.level = Math.min(size, this.level + (now - this.filledAt) * ratePerMs);
        this.filledAt = now;
        const missing = Math.min(units, size) - this.level;
        if (missing <= 0 && size > 0) {
            this.level -= units;
            return { admitted: true };
        }
        return { admitted: false, retryAt: ratePerMs > 0 ? now + missing / ratePerMs : Infinity };
    }

    giveBack(units: number): void {
        this.level += units;
    }
}
