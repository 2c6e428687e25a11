import type { UsageCounts } from "./usage-ledger.ts";

/** Windows for which counts are kept at the leader. */
const keptWindows = 8;

/** Windows that are copied to the other members; older ones have been reported. */
const copiedWindows = 3;

/** Sums the counts of all ingresses by window. Runs at the leader. */
export class UsageWindows {
    /** Window, ingress lifetime, workspace. */
    private readonly counts = new Map<number, Map<string, UsageCounts>>();

    constructor(private readonly windowMs: number) {}

    /** Takes the counts of one lifetime of an ingress; they replace its earlier ones. */
    replaceCounts(lifetime: string, windows: Readonly<Record<string, UsageCounts>>): void {
        let newestWindow = 0;
        for (const [key, counts] of Object.entries(windows)) {
            const window = Number(key);
            newestWindow = Math.max(newestWindow, window);
            const byLifetime = this.counts.get(window) ?? new Map<string, UsageCounts>();
            byLifetime.set(lifetime, counts);
            this.counts.set(window, byLifetime);
        }
        for (const window of this.counts.keys()) {
            if (window < newestWindow - keptWindows) {
                this.counts.delete(window);
            }
        }
    }

    /** Counts of the newest windows by lifetime, for the members that may lead next. */
    recentCounts(): Record<string, Record<string, UsageCounts>> {
        const last = Math.max(...this.counts.keys(), 0);
        const newest: Record<string, Record<string, UsageCounts>> = {};
        for (const [window, byLifetime] of this.counts) {
            if (window > last - copiedWindows) {
                for (const [lifetime, counts] of byLifetime) {
                    (newest[lifetime] ??= {})[String(window)] = counts;
                }
            }
        }
        return newest;
    }

    total(window: number): UsageCounts {
        const total: UsageCounts = {};
        for (const counts of this.counts.get(window)?.values() ?? []) {
            for (const [workspace, count] of Object.entries(counts)) {
                total[workspace] = (total[workspace] ?? 0) + count;
            }
        }
        return total;
    }

    /** Windows that ended at least `settleMs` before `trueMs` and at most `lateMs` before it, oldest first. */
    dueWindows(trueMs: number, settleMs: number, lateMs: number): number[] {
        const last = Math.floor((trueMs - settleMs) / this.windowMs) - 1;
        const first = Math.ceil((trueMs - lateMs) / this.windowMs) - 1;
        const due: number[] = [];
        for (let window = first; window <= last; window++) {
            due.push(window);
        }
        return due;
    }
}
