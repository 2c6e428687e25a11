import { FeedPace } from "@lentilramp/fleet";
import { expect } from "chai";

/**
 * Plays ten seconds of a hub with 30 subscribers, in which each line takes `lineMs` of processor time and other work
 * `otherPart` of it. Returns the longest lateness of a timer in the last five seconds.
 */
function playHub(lineMs: number, otherPart: number): number {
    const pace = new FeedPace(20, 1, 150);
    let backlogMs = 0;
    let longestMs = 0;
    for (let now = 0; now < 10_000;) {
        const gapMs = pace.gapMs(30);
        now += gapMs;
        backlogMs = Math.max(0, backlogMs + 30 * lineMs + gapMs * otherPart - gapMs);
        pace.recordSend(backlogMs);
        longestMs = now < 5_000 ? 0 : Math.max(longestMs, backlogMs);
    }
    return longestMs;
}

describe("FeedPace", () => {
    // Guards against a hub whose feeds take all of its processor time, so that it applies catalogs late.
    it("keeps timers on time where lines at the usual pause would take more processor time than there is", () => {
        expect(30 * 0.6 / (20 + 30) + 0.7).to.be.above(1);
        expect(playHub(0.6, 0.7)).to.be.below(150);
    });

    it("keeps the usual pause while sends are on time, and returns to it", () => {
        const pace = new FeedPace(20, 1, 150);
        expect(pace.gapMs(30)).to.equal(50);
        pace.recordSend(400);
        pace.recordSend(400);
        expect(pace.gapMs(30)).to.equal(150);
        for (let i = 0; i < 20; i++) {
            pace.recordSend(1);
        }
        expect(pace.gapMs(30)).to.equal(50);
        expect(pace.gapMs(300)).to.equal(320);
    });
});
