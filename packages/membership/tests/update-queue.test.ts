import { expect } from "chai";
import { type Update } from "../src/member.ts";
import { UpdateQueue } from "../src/update-queue.ts";

const dead = (id: string): Update => ({ id, status: "dead", incarnation: 1 });
const ids = (updates: readonly Update[]) => updates.map(({ id }) => id);

describe("UpdateQueue", () => {
    // Guards against a refutation that is queued behind the updates about a failed domain (seen at 1,600 nodes).
    it("returns updates with status alive first", () => {
        const queue = new UpdateQueue();
        ["a", "b", "c"].forEach(id => queue.add(dead(id)));
        queue.add({ id: "x", status: "alive", incarnation: 2, address: { host: "h", port: 1 } });
        expect(ids(queue.take(12, 9))).to.deep.equal(["x"]);
    });

    // Guards against updates that are sent forever, and against updates that never fit into a datagram after others.
    it("returns each update a bounded number of times, those sent least often first, within the size limit", () => {
        const queue = new UpdateQueue();
        ["a", "b", "c"].forEach(id => queue.add(dead(id)));
        const taken = Array.from({ length: 4 }, () => ids(queue.take(10, 2)).join(""));
        expect(taken).to.deep.equal(["ab", "ca", "bc", ""]);
        expect(queue.size).to.equal(0);
    });
});
