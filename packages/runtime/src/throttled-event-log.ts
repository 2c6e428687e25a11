import type { Clock } from "./clock.ts";
import { type EventFields, type EventLevel, EventLog } from "./event-log.ts";

/** Period over which lines are counted, in milliseconds. */
const periodMs = 1_000;

/**
 * Limits the lines per second of each event. Lines beyond the limit are dropped, and their number is logged when the
 * next period begins, or when the process ends.
 */
export class ThrottledEventLog extends EventLog {
    private readonly lineCounts = new Map<string, number>();
    private periodEndMs = -Infinity;

    constructor(
        private readonly inner: EventLog,
        private readonly clock: Clock,
        /** Maximum number of lines of one event per second. */
        private readonly maxLinesPerSecond: number,
        /** Maxima of events that have another one, in lines per second. */
        private readonly ownMaxima: Readonly<Record<string, number>> = {},
    ) {
        super();
    }

    override write(level: EventLevel, name: string, fields: EventFields): void {
        const now = this.clock.now();
        if (now >= this.periodEndMs) {
            this.reportDroppedLines();
            this.periodEndMs = now + periodMs;
        }
        const count = (this.lineCounts.get(name) ?? 0) + 1;
        this.lineCounts.set(name, count);
        if (count <= this.maxLinesOf(name)) {
            this.inner.write(level, name, fields);
        }
    }

    /** Logs how many lines were dropped since the period began. */
    reportDroppedLines(): void {
        for (const [name, count] of this.lineCounts) {
            const dropped = count - this.maxLinesOf(name);
            if (dropped > 0) {
                this.inner.write("info", "log.left-out", { of: name, lines: dropped });
            }
        }
        this.lineCounts.clear();
    }

    private maxLinesOf(name: string): number {
        return this.ownMaxima[name] ?? this.maxLinesPerSecond;
    }
}
