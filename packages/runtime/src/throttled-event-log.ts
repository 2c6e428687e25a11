import type { Clock } from "./clock.ts";
import { type EventFields, type EventLevel, EventLog } from "./event-log.ts";

/** Period over which lines are counted, in milliseconds. */
const periodMs = 1_000;

/**
 * Limits the lines per second of each event. Lines beyond the limit are dropped, and their number is logged when the
 * next period begins.
 */
export class ThrottledEventLog extends EventLog {
    private readonly lineCounts = new Map<string, number>();
    private periodEndMs = -Infinity;

    constructor(
        private readonly inner: EventLog,
        private readonly clock: Clock,
        /** Maximum number of lines of one event per second. */
        private readonly maxLinesPerSecond: number,
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
        if (count <= this.maxLinesPerSecond) {
            this.inner.write(level, name, fields);
        }
    }

    private reportDroppedLines(): void {
        for (const [name, count] of this.lineCounts) {
            if (count > this.maxLinesPerSecond) {
                this.inner.write("info", "log.left-out", { of: name, lines: count - this.maxLinesPerSecond });
            }
        }
        this.lineCounts.clear();
    }
}
