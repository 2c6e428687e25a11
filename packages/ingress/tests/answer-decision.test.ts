import { expect } from "chai";
import { type AnswerSituation, decideOnAnswer } from "../src/answer-decision.ts";

describe("decideOnAnswer", () => {
    const situation: AnswerSituation = {
        status: 200,
        isStream: true,
        hasBegun: false,
        hasParked: false,
        isRetryable: true,
    };
    const decide = (changes: Partial<AnswerSituation>, paid = false): string =>
        decideOnAnswer({ ...situation, ...changes }, () => paid);

    // Guards against an error in the middle of a stream, or in place of a silent attempt that may still succeed.
    it("relays only the rest of a stream behind its events, or beside a parked attempt", () => {
        expect(decide({ hasBegun: true })).to.equal("relay");
        expect(decide({ hasBegun: true, status: 404 })).to.equal("discard");
        expect(decide({ hasParked: true, status: 404 })).to.equal("discard");
        expect(decide({ hasParked: true, isStream: false, status: 404 })).to.equal("relay");
        expect(decide({ hasParked: true, isStream: false, status: 500 })).to.equal("discard");
    });

    it("discards an error while another attempt can be paid for", () => {
        expect(decide({ status: 500 }, true)).to.equal("discard");
        expect(decide({ status: 500 }, false)).to.equal("relay");
        expect(decide({ status: 404 }, true)).to.equal("relay");
    });

    // Guards against a caller that repeats a request that must not run twice.
    it("withholds a status that implies that the request has not run, unless it may be repeated", () => {
        for (const status of [408, 421, 429, 503]) {
            expect(decide({ status, isRetryable: false, isStream: false })).to.equal("withhold");
            expect(decide({ status })).to.equal("relay");
        }
        expect(decide({ status: 500, isRetryable: false })).to.equal("relay");
    });
});
