/**
 * Schedules transfers from the weight store one after another, so that together they never ask for more than its rate.
 */
export class WeightStoreLimiter {
    private busyUntil = Number.NEGATIVE_INFINITY;

    constructor(private readonly bytesPerSecond: number) {}

    /** Reserves the store for a transfer that begins now; false while another transfer is expected to run. */
    tryReserve(bytes: number, now: number): boolean {
        if (now < this.busyUntil) {
            return false;
        }
        this.busyUntil = now + this.transferMs(bytes);
        return true;
    }

    /** Transfers that an earlier holder ordered and that may still run. */
    addPendingTransfers(bytes: number, now: number): void {
        this.busyUntil = Math.max(this.busyUntil, now + this.transferMs(bytes));
    }

    transferMs(bytes: number): number {
        return bytes / this.bytesPerSecond * 1_000;
    }
}
