import { ownRecord } from "./own-record.ts";

/** Number of windows that an ingress retains; a window's report is due well before three further ones have ended. */
const retainedWindows = 6;

/** Request counts of one window by workspace. */
export type UsageCounts = Record<string, number>;

/** Counts the requests that began to run at endpoints, by window of the fleet's time of day and by workspace. */
export class UsageLedger {
    private readonly windows = new Map<number, UsageCounts>();

    constructor(private readonly windowMs: number) {}

    /** Counts a request that began at `timeOfDayMs`. */
    record(workspace: string, timeOfDayMs: number): void {
        const window = Math.floor(timeOfDayMs / this.windowMs);
        const counts = this.windows.get(window) ?? ownRecord<number>();
        counts[workspace] = (counts[workspace] ?? 0) + 1;
        this.windows.set(window, counts);
        for (const recorded of this.windows.keys()) {
            if (recorded < window - retainedWindows) {
                this.windows.delete(recorded);
            }
        }
    }

    /** Returns the counts of the retained windows. Each sync sends a copy that replaces the one before. */
    snapshot(): Record<string, UsageCounts> {
        return Object.fromEntries([...this.windows].map(([window, counts]) => [String(window), counts]));
    }
}
