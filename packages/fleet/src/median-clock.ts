/** Readings older than this no longer count, in milliseconds. */
const readingLifetimeMs = 3_000;

interface Reading {
    /** Wall clock minus steady clock of the member that keeps this table. */
    offset: number;
    readAt: number;
}

/**
 * Estimates the time of day from the wall clocks of many members. The median holds while less than half of the
 * clocks have been stepped.
 */
export class MedianClock {
    private readonly readings = new Map<string, Reading>();

    /** Takes the wall clock of a member, read at the instant `now` of the steady clock. */
    observe(member: string, wallMs: number, now: number): void {
        this.readings.set(member, { offset: wallMs - now, readAt: now });
    }

    /** Time of day at the instant `now`; undefined before the first reading. */
    timeOfDayMs(now: number): number | undefined {
        const offsets: number[] = [];
        for (const [member, reading] of this.readings) {
            if (now - reading.readAt > readingLifetimeMs) {
                this.readings.delete(member);
            }
            else {
                offsets.push(reading.offset);
            }
        }
        offsets.sort((a, b) => a - b);
        const median = offsets[Math.floor(offsets.length / 2)];
        return median === undefined ? undefined : now + median;
    }
}
