import {
    CacheMap,
    cacheMapDefaults,
    EndpointTable,
    endpointTableDefaults,
    hashBlocks,
    LinkTable,
    PrefixMap,
} from "@lentilramp/routing";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import fc from "fast-check";

const batch = (sequence: number, stored: number[] = [], removed: number[] = [], generation = 1) => ({
    generation,
    sequence,
    stored,
    removed,
});

function synchronised(): CacheMap {
    const map = new CacheMap();
    map.acceptSnapshot({ generation: 1, sequence: 5, blocks: [1, 2, 3] }, 0);
    return map;
}

describe("CacheMap", () => {
    // Guards against use of a cache map that may have missed removals.
    it("is stale from a gap in the sequence to the next snapshot", () => {
        const map = synchronised();
        map.acceptBatch(batch(6, [4]), 0);
        expect(map.matchedBlocks([1, 2, 3, 4], 0)).to.equal(4);
        map.acceptBatch(batch(8, [5]), 0);
        expect([map.stale, map.matchedBlocks([1, 2, 3, 4], 0)]).to.deep.equal([true, 0]);
        map.acceptSnapshot({ generation: 1, sequence: 7, blocks: [1, 2, 3, 4] }, 0);
        expect([map.stale, map.matchedBlocks([1, 2, 3, 4, 5], 0)]).to.deep.equal([false, 5]);
    });

    // Guards against trust in a map whose engine has gone silent.
    it("is not trusted past the age bound", () => {
        const map = synchronised();
        expect(map.matchedBlocks([1, 2], cacheMapDefaults.maxEventAgeMs)).to.equal(2);
        expect(map.matchedBlocks([1, 2], cacheMapDefaults.maxEventAgeMs + 1)).to.equal(0);
    });

    // Guards against trust in prompts that were sent long ago and may have been evicted.
    it("forgets own dispatches after their age bound and when the engine restarts", () => {
        const map = new CacheMap();
        map.recordDispatch([1, 2], 0);
        expect(map.matchedBlocks([1, 2, 3], cacheMapDefaults.maxDispatchAgeMs)).to.equal(2);
        expect(map.matchedBlocks([1, 2, 3], cacheMapDefaults.maxDispatchAgeMs + 1)).to.equal(0);
        map.acceptBatch(batch(1), 0);
        map.acceptBatch(batch(1, [], [], 2), 0);
        expect(map.matchedBlocks([1, 2], 0)).to.equal(0);
    });

    // Guards against events and snapshots of an engine's former life that arrive after its restart.
    it("ignores what a former generation published", () => {
        const map = new CacheMap();
        map.acceptSnapshot({ generation: 2, sequence: 1, blocks: [1] }, 0);
        map.acceptBatch(batch(2, [7], [], 1), 0);
        map.acceptSnapshot({ generation: 1, sequence: 9, blocks: [8] }, 0);
        expect([1, 7, 8].map(hash => map.matchedBlocks([hash], 0))).to.deep.equal([1, 0, 0]);
        map.acceptBatch(batch(2, [2], [], 2), 0);
        map.acceptSnapshot({ generation: 2, sequence: 1, blocks: [1] }, 0);
        expect(map.matchedBlocks([1, 2], 0)).to.equal(2);
    });

    // Guards against a map that believes in removed blocks under any loss and order of batches.
    it("equals the engine's cache whenever it is not stale", () => {
        const change = fc.record({ stored: fc.array(fc.nat(20)), removed: fc.array(fc.nat(20)) });
        const step = fc.record({ change, fate: fc.constantFrom("deliver", "lose", "repeat", "snapshot") });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 40 }), steps => {
                const map = new CacheMap();
                const truth = new Set<number>();
                steps.forEach(({ change, fate }, i) => {
                    const removed = change.removed.filter(hash => !change.stored.includes(hash));
                    change.stored.forEach(hash => truth.add(hash));
                    removed.forEach(hash => truth.delete(hash));
                    if (fate === "deliver" || fate === "repeat") {
                        map.acceptBatch(batch(i + 1, change.stored, removed), i);
                    }
                    if (fate === "repeat") {
                        map.acceptBatch(batch(i + 1, change.stored, removed), i);
                    }
                    if (fate === "snapshot") {
                        map.acceptSnapshot({ generation: 1, sequence: i + 1, blocks: [...truth] }, i);
                    }
                    for (let hash = 0; hash <= 20; hash++) {
                        const held = map.matchedBlocks([hash], i) === 1;
                        // A lost last batch is not noticed before the next one arrives.
                        if (fate !== "lose" && !map.stale) {
                            expect(held).to.equal(truth.has(hash));
                        }
                    }
                });
            }),
            { seed: 11 },
        );
    });
});

describe("PrefixMap", () => {
    // Guards against unbounded memory for long prompts.
    it("keeps at most the bound", () => {
        fc.assert(
            fc.property(fc.array(fc.nat()), fc.nat(30), (hashes, bound) => {
                const map = new PrefixMap(bound);
                hashes.forEach((hash, i) => map.add(hash, i));
                expect(map.size).to.equal(Math.min(bound, new Set(hashes).size));
            }),
            { seed: 12 },
        );
    });
});

describe("EndpointTable", () => {
    // Guards against a flood of snapshot requests while events are lost.
    it("names a stale endpoint once an interval", () => {
        const table = new EndpointTable(new LinkTable({}), new SeededRandom(1));
        table.setEndpoints([{ id: "a", failureDomain: "x", models: [] }]);
        expect(table.takeSnapshotRequests(0)).to.deep.equal(["a"]);
        expect(table.takeSnapshotRequests(endpointTableDefaults.snapshotRequestIntervalMs - 1)).to.deep.equal([]);
        expect(table.takeSnapshotRequests(endpointTableDefaults.snapshotRequestIntervalMs)).to.deep.equal(["a"]);
    });
});

describe("hashBlocks", () => {
    // Guards against a match of prompts that differ before the block, and across models.
    it("gives equal hashes exactly for the common leading blocks", () => {
        const text = (value: string) => new TextEncoder().encode(value);
        const first = hashBlocks(text("aaaabbbbcccc"), 4, "m1");
        const second = hashBlocks(text("aaaaXbbbcccc12"), 4, "m1");
        expect(first).to.have.length(3);
        expect(second).to.have.length(3);
        expect(first.map((hash, i) => hash === second[i])).to.deep.equal([true, false, false]);
        expect(hashBlocks(text("aaaa"), 4, "m2")[0]).to.not.equal(first[0]);
    });
});
