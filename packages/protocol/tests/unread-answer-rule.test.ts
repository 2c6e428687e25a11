import { expect } from "chai";
import { UnreadAnswerRule, unreadAnswerTimeoutMs } from "../src/index.ts";

/** Looks at a connection every 500 ms until `untilMs`; returns when it was closed. */
function closedAt(
    untilMs: number,
    at: (ms: number) => { unread: number; taken: number; unacknowledged?: number; deadline?: number; },
): number | undefined {
    const rule = new UnreadAnswerRule(0);
    for (let now = 0; now <= untilMs; now += 500) {
        const { unread, taken, unacknowledged, deadline = -Infinity } = at(now);
        const asks = rule.look({ unreadBytes: unread, takenBytes: taken, deadline: () => deadline }, now);
        if (asks && rule.recordUnacknowledged(unacknowledged, now)) {
            return now;
        }
    }
    return undefined;
}

describe("UnreadAnswerRule", () => {
    // Guards against connections that stay for as long as their callers do, and against pauses that end one.
    it("ends a connection whose caller takes nothing, a timeout after the last progress", () => {
        expect(closedAt(20_000, () => ({ unread: 9, taken: 5 }))).to.equal(unreadAnswerTimeoutMs);
        const pausesAt = (ms: number) => ({ unread: 9, taken: ms < 5_000 ? 5 : 6, unacknowledged: 7 });
        expect(closedAt(30_000, pausesAt)).to.equal(5_000 + unreadAnswerTimeoutMs);
    });

    it("ends it where the system does not tell what is unacknowledged", () => {
        expect(closedAt(20_000, () => ({ unread: 9, taken: 5, unacknowledged: undefined }))).to.equal(6_000);
    });

    // Guards against an answer that is cut although its caller may take it until the deadline.
    it("waits for the timeout after the deadline", () => {
        expect(closedAt(40_000, () => ({ unread: 9, taken: 5, deadline: 10_000 }))).to.equal(16_000);
        expect(closedAt(90_000, () => ({ unread: 9, taken: 5, deadline: Infinity }))).to.equal(undefined);
    });

    // Guards against ready answers that are lost to a caller that reads slowly, however long it takes.
    it("leaves a connection open whose caller goes on reading", () => {
        const taken = (ms: number) => ({ unread: 9, taken: Math.floor(ms / 5_000), unacknowledged: 1 });
        expect(closedAt(600_000, taken)).to.equal(undefined);
    });

    it("leaves it open while only the unacknowledged bytes change, since the system takes many bytes at once", () => {
        const fewer = (ms: number) => ({ unread: 9, taken: 5, unacknowledged: 1e6 - ms });
        expect(closedAt(300_000, fewer)).to.equal(undefined);
    });

    it("does not end a connection whose answers have all been taken", () => {
        expect(closedAt(300_000, () => ({ unread: 0, taken: 5, unacknowledged: 1 }))).to.equal(undefined);
    });
});
