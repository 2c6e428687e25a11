import { FeedPace } from "@lentilramp/fleet";
import { expect } from "chai";

/**
 * Plays ten seconds of a hub with 30 subscribers, in which each line takes `lineMs` of processor time and other work
 * `otherPart` of it. Returns the work that is left undone at the end, in milliseconds.
 */
function playHub(lineMs: number, otherPart: number, pace: Pick<FeedPace, "gapMs" | "recordLines">): number {
    let backlogMs = 0;
    for (let now = 0; now < 10_000;) {
        const gapMs = pace.gapMs(30);
        now += gapMs;
        pace.recordLines(30, 30 * lineMs);
        backlogMs = Math.max(0, backlogMs + 30 * lineMs + gapMs * otherPart - gapMs);
    }
    return backlogMs;
}

describe("FeedPace", () => {
    // Guards against a hub whose feeds take so much of its processor time that it applies catalogs late.
    it("leaves a hub the time for its other work, where lines at a constant pause would not", () => {
        expect(playHub(0.6, 0.7, { gapMs: () => 50, recordLines: () => undefined })).to.be.above(500);
        expect(playHub(0.6, 0.7, new FeedPace(20, 1, 150))).to.be.below(50);
    });

    // Guards against ingresses that decide on old loads because a busy one with a single subscriber sends rarely.
    it("keeps the usual pause for few subscribers and for cheap lines", () => {
        const pace = new FeedPace(20, 1, 150);
        expect(pace.gapMs(30)).to.equal(50);
        for (let i = 0; i < 100; i++) {
            pace.recordLines(30, 30 * 0.6);
        }
        expect(pace.gapMs(1)).to.equal(21);
        expect(pace.gapMs(30)).to.be.closeTo(90, 1);
        for (let i = 0; i < 100; i++) {
            pace.recordLines(30, 30 * 0.05);
        }
        expect(pace.gapMs(30)).to.equal(50);
        expect(pace.gapMs(300)).to.equal(320);
    });
});
