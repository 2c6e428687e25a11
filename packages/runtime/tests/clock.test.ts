import { ManualClock, SeededRandom, SystemClock } from "@lentilramp/runtime";
import { expect } from "chai";

describe("ManualClock", () => {
    // Guards against timers that run out of order, which would make seeded experiments differ between runs.
    it("runs due timers in the order of their due times, including timers that a callback adds", () => {
        const clock = new ManualClock(0);
        const order: string[] = [];
        clock.schedule(20, () => order.push("b"));
        clock.schedule(10, () => {
            order.push("a");
            clock.schedule(15, () => order.push("a2"));
        });
        clock.schedule(30, () => order.push("c"));
        clock.advanceTo(25);
        expect(order).to.deep.equal(["a", "a2", "b"]);
        expect(clock.now()).to.equal(25);
    });
});

describe("SystemClock", () => {
    // Guards against deadlines beyond 24.8 days that pass at once: a timer of Node.js overflows at 2^31 milliseconds.
    it("does not run a callback early whose instant is beyond the longest delay of a timer", async () => {
        const clock = new SystemClock();
        const fired: number[] = [];
        const timers = [2 ** 31, 1e12, 1e300, Infinity].map(delayMs =>
            clock.schedule(clock.now() + delayMs, () => fired.push(delayMs))
        );
        await clock.sleepUntil(clock.now() + 30);
        timers.forEach(timer => timer.cancel());
        expect(fired).to.deep.equal([]);
    });

    // Guards against a deadline that has passed for its timer and not yet for the code that it runs: Node.js may fire a
    // timer up to a millisecond early.
    it("runs no callback early, although its timer fires early", async () => {
        class LaggingClock extends SystemClock {
            lagMs = 0;

            override now(): number {
                return super.now() - this.lagMs;
            }
        }
        const clock = new LaggingClock();
        const due = clock.now() + 10;
        const ranAt = new Promise<number>(resolve => clock.schedule(due, () => resolve(clock.now())));
        clock.lagMs = 20;
        expect(await ranAt).to.be.at.least(due);
    });

    // Guards against a callback that is lost, or cannot be cancelled, when several timers lead to its instant.
    it("runs a callback at its instant when that takes several timers, unless it is cancelled", async () => {
        const clock = new SystemClock(5);
        const due = clock.now() + 30;
        let cancelledRan = false;
        const cancelled = clock.schedule(due, () => cancelledRan = true);
        await clock.sleepUntil(due - 10);
        cancelled.cancel();
        await clock.sleepUntil(due);
        expect(clock.now()).to.be.at.least(due);
        await clock.sleepUntil(due + 10);
        expect(cancelledRan).to.equal(false);
    });
});

describe("SeededRandom", () => {
    // Guards against a generator that ignores its seed.
    it("repeats its sequence for the same seed and differs for another", () => {
        const firstValues = (seed: number) => {
            const random = new SeededRandom(seed);
            return [random.next(), random.next(), random.next()];
        };
        expect(firstValues(7)).to.deep.equal(firstValues(7));
        expect(firstValues(7)).to.not.deep.equal(firstValues(8));
    });
});
