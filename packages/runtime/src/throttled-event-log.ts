import type { Clock } from "./clock.ts";
import { type EventFields, type EventLevel, EventLog } from "./event-log.ts";

/** Period over which lines are counted, in milliseconds. */
const periodMs = 1_000;

/** Bounds the lines of each event; those left out are counted and reported when the next period begins. */
export class ThrottledEventLog extends EventLog {
    private readonly counts = new Map<string, number>();
    private periodEnd = -Infinity;

    constructor(
        private readonly inner: EventLog,
        private readonly clock: Clock,
        /** Lines of one event in a second. */
        private readonly linesPerSecond: number,
    ) {
        super();
    }

    override write(level: EventLevel, name: string, fields: EventFields): void {
        const now = this.clock.now();
        if (now >= this.periodEnd) {
            this.report();
            this.periodEnd = now + periodMs;
        }
        const count = (this.counts.get(name) ?? 0) + 1;
        this.counts.set(name, count);
        if (count <= this.linesPerSecond) {
            this.inner.write(level, name, fields);
        }
    }

    private report(): void {
        for (const [name, count] of this.counts) {
            if (count > this.linesPerSecond) {
                this.inner.write("info", "log.left-out", { of: name, lines: count - this.linesPerSecond });
            }
        }
        this.counts.clear();
    }
}
