/** Windows that an ingress keeps for reports; a report is due well before the third has ended. */
const keptWindows = 6;

/** Counts by workspace of one window. */
export type UsageCounts = Record<string, number>;

/** Counts the requests that began to run at endpoints, by window of true time and workspace. */
export class UsageLedger {
    private readonly windows = new Map<number, UsageCounts>();

    constructor(private readonly windowMs: number) {}

    /** Counts a request that began at the time of day `trueMs`. */
    record(workspace: string, trueMs: number): void {
        const window = Math.floor(trueMs / this.windowMs);
        const counts = this.windows.get(window) ?? {};
        counts[workspace] = (counts[workspace] ?? 0) + 1;
        this.windows.set(window, counts);
        for (const old of this.windows.keys()) {
            if (old < window - keptWindows) {
                this.windows.delete(old);
            }
        }
    }

    /** Counts of the kept windows, sent with each sync; a later copy replaces an earlier one. */
    snapshot(): Record<string, UsageCounts> {
        return Object.fromEntries([...this.windows].map(([window, counts]) => [String(window), counts]));
    }
}
