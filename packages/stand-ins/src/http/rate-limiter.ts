/** Shares a bandwidth among transfers in the order of their reservations. */
export class RateLimiter {
    private freeAt = 0;

    constructor(private readonly bytesPerSecond: number) {}

    /** Reserves time for `bytes` and returns the instant at which their transfer ends. */
    reserve(bytes: number, now: number): number {
        this.freeAt = Math.max(this.freeAt, now) + bytes / this.bytesPerSecond * 1_000;
        return this.freeAt;
    }
}
