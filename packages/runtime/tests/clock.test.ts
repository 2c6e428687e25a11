import { ManualClock, SeededRandom } from "@lentilramp/runtime";
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
