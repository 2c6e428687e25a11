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
    private readonly readings = new Map<string, Reading>();

    /** Records the wall clock of a member, received at the instant `now` of the monotonic clock. */
    observe(member: string, wallMs: number, now: number): void {
        this.readings.set(member, { offsetMs: wallMs - now, readAt: now });
    }

    /** Returns the time of day at the instant `now`, in milliseconds; undefined without a current reading. */
    timeOfDayMs(now: number): number | undefined {
        const offsets: number[] = [];
        for (const [member, reading] of this.readings) {
            if (now - reading.readAt > readingLifetimeMs) {
                this.readings.delete(member);
            }
            else {
                offsets.push(reading.offsetMs);
            }
        }
        offsets.sort((a, b) => a - b);
        const median = offsets[Math.floor(offsets.length / 2)];
        return median === undefined ? undefined : now + median;
    }
}
