/** Age beyond which a reading is discarded, in milliseconds. */
const readingLifetimeMs = 3_000;

interface Reading {
    /** Wall clock of the member minus the monotonic clock of this process, in milliseconds. */
    offsetMs: number;
    readAt: number;
}

/**
 * Estimates the time of day as the median of the wall clocks of many members. The median stays correct while less than
 * half of the clocks have been stepped.
 */
export class MedianClock {
    /** Readings by member, oldest first. */
    private readonly readings = new Map<string, Reading>();
    /**
     * Offsets of all readings in ascending order. The leader of a large fleet holds 600 readings and asks for the time
     * twice in each sync; sorting them each time was a sixth of the cost of a sync.
     */
    private readonly offsets: number[] = [];

    /**
     * Records the wall clock of a member, received at the instant `now` of the monotonic clock, which is no earlier than
     * that of any reading before.
     */
    observe(member: string, wallMs: number, now: number): void {
        this.remove(member);
        const offsetMs = wallMs - now;
        this.readings.set(member, { offsetMs, readAt: now });
        this.offsets.splice(this.rankOf(offsetMs), 0, offsetMs);
    }

    /** Returns the time of day at the instant `now`, in milliseconds; undefined without a current reading. */
    timeOfDayMs(now: number): number | undefined {
        for (const [member, { readAt }] of this.readings) {
            if (now - readAt <= readingLifetimeMs) {
                break;
            }
            this.remove(member);
        }
        const median = this.offsets[Math.floor(this.offsets.length / 2)];
        return median === undefined ? undefined : now + median;
    }

    private remove(member: string): void {
        const reading = this.readings.get(member);
        if (reading !== undefined) {
            this.readings.delete(member);
            this.offsets.splice(this.rankOf(reading.offsetMs), 1);
        }
    }

    /** Returns the number of offsets that are lower than the given one. */
    private rankOf(offsetMs: number): number {
        let from = 0;
        let to = this.offsets.length;
        while (from < to) {
            const middle = from + to >> 1;
            if ((this.offsets[middle] ?? Infinity) < offsetMs) {
                from = middle + 1;
            }
            else {
                to = middle;
            }
        }
        return from;
    }
}
