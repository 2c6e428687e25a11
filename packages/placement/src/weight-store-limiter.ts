/**
 * Admits one transfer from the weight store at a time, so that concurrent transfers never exceed the store's rate.
 */
export class WeightStoreLimiter {
    private busyUntil = Number.NEGATIVE_INFINITY;

    constructor(private readonly bytesPerSecond: number) {}

    /** Reserves the store for a transfer that begins now. Returns false while another transfer is expected to run. */
    tryReserve(bytes: number, now: number): boolean {
        if (now < this.busyUntil) {
            return false;
        }
        this.busyUntil = now + this.transferMs(bytes);
        return true;
    }

    /** Extends the reservation by transfers that an earlier lease holder ordered and that may still run. */
    addPendingTransfers(bytes: number, now: number): void {
        this.busyUntil = Math.max(this.busyUntil, now + this.transferMs(bytes));
    }

    /** Returns the expected duration of a transfer in ms. */
    transferMs(bytes: number): number {
        return bytes / this.bytesPerSecond * 1_000;
    }
}
