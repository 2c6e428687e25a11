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
    it("does not report blocks after a gap in the sequence, which may hide removals, until the next snapshot", () => {
        const map = synchronised();
        map.acceptBatch(batch(6, [4]), 0);
        expect(map.matchedBlocks([1, 2, 3, 4], 0)).to.equal(4);
        map.acceptBatch(batch(8, [5]), 0);
        expect([map.stale, map.matchedBlocks([1, 2, 3, 4], 0)]).to.deep.equal([true, 0]);
        map.acceptSnapshot({ generation: 1, sequence: 7, blocks: [1, 2, 3, 4] }, 0);
        expect([map.stale, map.matchedBlocks([1, 2, 3, 4, 5], 0)]).to.deep.equal([false, 5]);
    });

    it("does not report blocks from events of an engine that stopped publishing", () => {
        const map = synchronised();
        expect(map.matchedBlocks([1, 2], cacheMapDefaults.maxEventAgeMs)).to.equal(2);
        expect(map.matchedBlocks([1, 2], cacheMapDefaults.maxEventAgeMs + 1)).to.equal(0);
    });

    it("does not report dispatched blocks that may be evicted after their maximum age or an engine restart", () => {
        const map = new CacheMap();
        map.recordDispatch([1, 2], 0);
        expect(map.matchedBlocks([1, 2, 3], cacheMapDefaults.maxDispatchAgeMs)).to.equal(2);
        expect(map.matchedBlocks([1, 2, 3], cacheMapDefaults.maxDispatchAgeMs + 1)).to.equal(0);
        map.acceptBatch(batch(1), 0);
        map.acceptBatch(batch(1, [], [], 2), 0);
        expect(map.matchedBlocks([1, 2], 0)).to.equal(0);
    });

    it("does not apply events and snapshots from before an engine restart that arrive after the restart", () => {
        const map = new CacheMap();
        map.acceptSnapshot({ generation: 2, sequence: 1, blocks: [1] }, 0);
        map.acceptBatch(batch(2, [7], [], 1), 0);
        map.acceptSnapshot({ generation: 1, sequence: 9, blocks: [8] }, 0);
        expect([1, 7, 8].map(hash => map.matchedBlocks([hash], 0))).to.deep.equal([1, 0, 0]);
        map.acceptBatch(batch(2, [2], [], 2), 0);
        map.acceptSnapshot({ generation: 2, sequence: 1, blocks: [1] }, 0);
        expect(map.matchedBlocks([1, 2], 0)).to.equal(2);
    });

    it("does not differ from the engine's cache while it is not stale, for any lost or repeated batches", () => {
        const change = fc.record({ stored: fc.array(fc.nat(20)), removed: fc.array(fc.nat(20)) });
        const step = fc.record({ change, delivery: fc.constantFrom("deliver", "lose", "repeat", "snapshot") });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 40 }), steps => {
                const map = new CacheMap();
                const engineBlocks = new Set<number>();
                steps.forEach(({ change, delivery }, i) => {
                    const removed = change.removed.filter(hash => !change.stored.includes(hash));
                    change.stored.forEach(hash => engineBlocks.add(hash));
                    removed.forEach(hash => engineBlocks.delete(hash));
                    if (delivery === "deliver" || delivery === "repeat") {
                        map.acceptBatch(batch(i + 1, change.stored, removed), i);
                    }
                    if (delivery === "repeat") {
                        map.acceptBatch(batch(i + 1, change.stored, removed), i);
                    }
                    if (delivery === "snapshot") {
                        map.acceptSnapshot({ generation: 1, sequence: i + 1, blocks: [...engineBlocks] }, i);
                    }
                    for (let hash = 0; hash <= 20; hash++) {
                        const reportedAsCached = map.matchedBlocks([hash], i) === 1;
                        // The loss of the last batch is detected only when the next batch arrives.
                        if (delivery !== "lose" && !map.stale) {
                            expect(reportedAsCached).to.equal(engineBlocks.has(hash));
                        }
                    }
                });
            }),
            { seed: 11 },
        );
    });
});

describe("PrefixMap", () => {
    it("does not exceed its maximum size when long prompts are added", () => {
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
    it("does not request snapshots of an endpoint more than once per interval while events are lost", () => {
        const table = new EndpointTable(new LinkTable({}), new SeededRandom(1));
        table.setEndpoints([{ id: "a", failureDomain: "x", models: [] }]);
        expect(table.takeSnapshotRequests(0)).to.deep.equal(["a"]);
        expect(table.takeSnapshotRequests(endpointTableDefaults.snapshotRequestIntervalMs - 1)).to.deep.equal([]);
        expect(table.takeSnapshotRequests(endpointTableDefaults.snapshotRequestIntervalMs)).to.deep.equal(["a"]);
    });
});

describe("hashBlocks", () => {
    it("does not return equal hashes for prompts that differ before the block or for different models", () => {
        const text = (value: string) => new TextEncoder().encode(value);
        const first = hashBlocks(text("aaaabbbbcccc"), 4, "m1");
        const second = hashBlocks(text("aaaaXbbbcccc12"), 4, "m1");
        expect(first).to.have.length(3);
        expect(second).to.have.length(3);
        expect(first.map((hash, i) => hash === second[i])).to.deep.equal([true, false, false]);
        expect(hashBlocks(text("aaaa"), 4, "m2")[0]).to.not.equal(first[0]);
    });
});
