import { SyncBacklog } from "@lentilramp/fleet";
import { expect } from "chai";

describe("SyncBacklog", () => {
    it("answers in the order of arrival while the oldest can be in time", () => {
        const backlog = new SyncBacklog<string>();
        backlog.push("a", 0, 600);
        backlog.push("b", 100, 600);
        expect(backlog.takeNext(200)).to.equal("a");
        expect(backlog.takeNext(300)).to.equal("b");
        expect(backlog.takeNext(300)).to.equal(undefined);
    });

    // Guards against a steward that answers only senders that have given up.
    it("answers the newest first once the oldest is late, and drops those that nobody waits for", () => {
        const backlog = new SyncBacklog<string>();
        backlog.push("a", 0, 600);
        backlog.push("b", 100, 1_200);
        backlog.push("c", 350, 600);
        expect(backlog.takeNext(400)).to.equal("c");
        expect(backlog.dropExpired(600)).to.deep.equal(["a"]);
        expect(backlog.takeNext(600)).to.equal("b");
        expect(backlog.size).to.equal(0);
    });
});
