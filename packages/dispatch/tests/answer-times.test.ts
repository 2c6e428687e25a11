import { AnswerTimes } from "@lentilramp/dispatch";
import { expect } from "chai";

describe("AnswerTimes", () => {
    const known = (times: readonly number[]): AnswerTimes => {
        const answerTimes = new AnswerTimes();
        times.forEach(answerMs => answerTimes.record("r", answerMs));
        return answerTimes;
    };

    // Guards against a forecast from a few answers that happened to be short.
    it("knows the longest recent time of a route, and none while too few answers are known", () => {
        expect(known([10, 40, 20, 10, 10, 10, 10]).longestMs("r")).to.equal(undefined);
        const answerTimes = known([10, 40, 20, 10, 10, 10, 10, 10]);
        expect(answerTimes.longestMs("r")).to.equal(40);
        expect(answerTimes.longestMs("other")).to.equal(undefined);
        for (let i = 0; i < 100; i++) {
            answerTimes.record("r", 15);
        }
        expect(answerTimes.longestMs("r")).to.equal(15);
    });

    // Guards against a forecast that leaves out the slowest requests because they failed.
    it("counts a request without a whole answer only if it took longer than the answers", () => {
        const answerTimes = known([10, 10, 10, 10, 10, 10, 10, 10]);
        answerTimes.recordAtLeast("r", 5);
        answerTimes.recordAtLeast("r", 700);
        expect(answerTimes.longestMs("r")).to.equal(700);
        const unknown = known([]);
        for (let i = 0; i < 20; i++) {
            unknown.recordAtLeast("r", 5);
        }
        expect(unknown.longestMs("r")).to.equal(undefined);
    });
});
