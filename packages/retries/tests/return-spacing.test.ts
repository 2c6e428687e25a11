import { ReturnSpacing } from "@lentilramp/retries";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";

describe("ReturnSpacing", () => {
    // Guards against callers that were refused together and return in one wave.
    it("lets callers return one after another at the rate at which they can be served", () => {
        const spacing = new ReturnSpacing(new SeededRandom(1));
        const delays = Array.from({ length: 15 }, () => spacing.nextDelayMs(0, 100));
        expect(delays[0]).to.be.within(100, 200);
        expect(delays.at(-1)).to.be.within(1_000, 2_000);
        for (let from = 0; from < 2_000; from += 50) {
            expect(delays.filter(ms => ms >= from && ms < from + 500).length).to.be.at.most(8);
        }
    });

    // Guards against times to return that nobody waits for, and against a wave at the longest one.
    it("spreads callers for whom there is no place over the second half of the longest delay", () => {
        const spacing = new ReturnSpacing(new SeededRandom(1));
        const delays = Array.from({ length: 400 }, () => spacing.nextDelayMs(0, 1_000)).slice(5);
        expect(Math.max(...delays)).to.be.at.most(2_000);
        for (let from = 1_000; from < 2_000; from += 100) {
            expect(delays.filter(ms => ms >= from && ms < from + 100).length).to.be.within(15, 70);
        }
    });
});
