import { expect } from "chai";
import { type Update } from "../src/member.ts";
import { UpdateQueue } from "../src/update-queue.ts";

const dead = (id: string): Update => ({ id, status: "dead", incarnation: 1 });
const ids = (updates: readonly Update[]) => updates.map(({ id }) => id);

describe("UpdateQueue", () => {
    // Guards against a refutation that waits behind the news of a lost failure domain (seen at 1,600 nodes).
    it("sends members that are alive first", () => {
        const queue = new UpdateQueue();
        ["a", "b", "c"].forEach(id => queue.add(dead(id)));
        queue.add({ id: "x", status: "alive", incarnation: 2, address: { host: "h", port: 1 } });
        expect(ids(queue.take(12, 9))).to.deep.equal(["x"]);
    });

    // Guards against news that is sent for ever, and against news that is never sent because others fill the budget.
    it("sends each update a bounded number of times, those sent least often first, within the budget", () => {
        const queue = new UpdateQueue();
        ["a", "b", "c"].forEach(id => queue.add(dead(id)));
        const taken = Array.from({ length: 4 }, () => ids(queue.take(10, 2)).join(""));
        expect(taken).to.deep.equal(["ab", "ca", "bc", ""]);
        expect(queue.size).to.equal(0);
    });
});
