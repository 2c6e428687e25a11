import { MedianClock } from "@lentilramp/fleet";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";

/** Age beyond which a reading no longer counts, in milliseconds. */
const lifetimeMs = 3_000;

/** The median as it follows from its definition: from all readings, sorted for each question. */
class SortingClock {
    private readonly readings = new Map<string, { offsetMs: number; readAt: number; }>();

    get size(): number {
        return this.readings.size;
    }

    observe(member: string, wallMs: number, now: number): void {
        this.readings.set(member, { offsetMs: wallMs - now, readAt: now });
    }

    timeOfDayMs(now: number): number | undefined {
        for (const [member, { readAt }] of this.readings) {
            if (now - readAt > lifetimeMs) {
                this.readings.delete(member);
            }
        }
        const offsets = [...this.readings.values()].map(({ offsetMs }) => offsetMs).sort((a, b) => a - b);
        const median = offsets[Math.floor(offsets.length / 2)];
        return median === undefined ? undefined : now + median;
    }
}

describe("MedianClock with many members", () => {
    // Guards against offsets that stay after their reading has expired or was replaced, which would move the median.
    for (const seed of [1, 2, 3]) {
        it(`returns the median of the current readings while members come and go, seed ${seed}`, () => {
            const random = new SeededRandom(seed);
            const [kept, sorting] = [new MedianClock(), new SortingClock()];
            let now = 1_000_000.25;
            let largest = 0;
            let empty = 0;
            for (let i = 0; i < 6_000; i++) {
                // Sometimes nothing is heard for so long that many or all readings expire.
                now += random.next() < 0.005 ? random.next() * 8_000 : random.next() * 20;
                if (random.next() < 0.7) {
                    const member = `m${random.nextInt(300)}`;
                    // Some clocks agree to the millisecond, others differ by any fraction or have been stepped.
                    const offsetMs = random.next() < 0.5
                        ? random.nextInt(5)
                        : (random.next() - 0.5) * (random.next() < 0.3 ? 4_800_000 : 10);
                    kept.observe(member, now + offsetMs, now);
                    sorting.observe(member, now + offsetMs, now);
                }
                // An answer may have been begun before the newest reading.
                const askedAt = now - (random.next() < 0.1 ? random.next() * 100 : 0);
                const expected = sorting.timeOfDayMs(askedAt);
                expect(kept.timeOfDayMs(askedAt)).to.equal(expected);
                largest = Math.max(largest, sorting.size);
                empty += expected === undefined ? 1 : 0;
            }
            expect(largest).to.be.above(100);
            expect(empty).to.be.above(0);
        });
    }
});
