import { ownRecord } from "./own-record.ts";
import type { UsageCounts } from "./usage-ledger.ts";

/** Number of windows for which the leader retains counts. */
const retainedWindows = 8;

/** Number of windows that are replicated to the other stewards; older ones have been reported. */
const replicatedWindows = 3;

/** Latest time of day that a date can hold, in milliseconds since the epoch. */
const maxTimeOfDayMs = 8_640_000_000_000_000;

/** Sums the request counts of all ingresses by window. Used by the leader. */
export class UsageWindows {
    /** Request counts by window, ingress lifetime and workspace. */
    private readonly counts = new Map<number, Map<string, UsageCounts>>();

    constructor(private readonly windowMs: number) {}

    /**
     * Replaces the counts of one ingress lifetime in the given windows. Windows that begin later than one window after
     * `timeOfDayMs` are left out: the clock of their ingress is wrong, and they would displace those of all others.
     */
    replaceCounts(
        lifetime: string,
        windows: Readonly<Record<string, UsageCounts>>,
        timeOfDayMs = maxTimeOfDayMs,
    ): void {
        const lastWindow = Math.floor(timeOfDayMs / this.windowMs) + 1;
        let newestWindow = 0;
        for (const [key, counts] of Object.entries(windows)) {
            const window = Number(key);
            if (!Number.isSafeInteger(window) || window > lastWindow) {
                continue;
            }
            newestWindow = Math.max(newestWindow, window);
            const byLifetime = this.counts.get(window) ?? new Map<string, UsageCounts>();
            byLifetime.set(lifetime, counts);
            this.counts.set(window, byLifetime);
        }
        for (const window of this.counts.keys()) {
            if (window < newestWindow - retainedWindows) {
                this.counts.delete(window);
            }
        }
    }

    /** Returns the counts of the newest windows by ingress lifetime, for the stewards that may lead next. */
    recentCounts(): Record<string, Record<string, UsageCounts>> {
        const last = Math.max(...this.counts.keys(), 0);
        const newest: Record<string, Record<string, UsageCounts>> = {};
        for (const [window, byLifetime] of this.counts) {
            if (window > last - replicatedWindows) {
                for (const [lifetime, counts] of byLifetime) {
                    (newest[lifetime] ??= {})[String(window)] = counts;
                }
            }
        }
        return newest;
    }

    total(window: number): UsageCounts {
        const total: UsageCounts = ownRecord();
        for (const counts of this.counts.get(window)?.values() ?? []) {
            for (const [workspace, count] of Object.entries(counts)) {
                total[workspace] = (total[workspace] ?? 0) + count;
            }
        }
        return total;
    }

    /**
     * Returns the windows to report, oldest first: those that ended at least `settleMs` and at most `maxDelayMs` before
     * `timeOfDayMs`.
     */
    dueWindows(timeOfDayMs: number, settleMs: number, maxDelayMs: number): number[] {
        const last = Math.floor((timeOfDayMs - settleMs) / this.windowMs) - 1;
        const first = Math.ceil((timeOfDayMs - maxDelayMs) / this.windowMs) - 1;
        const due: number[] = [];
        for (let window = first; window <= last; window++) {
            due.push(window);
        }
        return due;
    }
}
