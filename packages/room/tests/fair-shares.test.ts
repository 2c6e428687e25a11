import { divideCapacity, fairLimit } from "@lentilramp/room";
import { expect } from "chai";

function offered(ranks: Record<number, Record<string, number>>): Map<number, Map<string, number>> {
    return new Map(
        Object.entries(ranks).map(([rank, workspaces]) => [Number(rank), new Map(Object.entries(workspaces))]),
    );
}

describe("fairLimit", () => {
    // Guards against a large workspace that takes the part of small ones, and against capacity that nobody gets.
    it("cuts the largest demands alone, and gives out the whole capacity", () => {
        expect(fairLimit([0.1, 0.2, 0.9], 1)).to.be.closeTo(0.7, 1e-9);
        expect(fairLimit([0.6, 0.1, 0.8], 1)).to.be.closeTo(0.45, 1e-9);
        expect(fairLimit([0.5, 0.5], 1)).to.equal(Infinity);
        expect(fairLimit([], 1)).to.equal(Infinity);
        expect(fairLimit([1, 2], 0)).to.equal(0);
    });
});

describe("divideCapacity", () => {
    // Guards against urgent requests that are refused while less urgent ones are served.
    it("fills ranks in order of urgency and cuts only the rank in which the capacity runs out", () => {
        const limits = divideCapacity(offered({ 0: { a: 0.3, b: 0.1 }, 1: { a: 0.8, b: 0.1 } }), 1);
        expect(limits.get(0)?.limit).to.equal(Infinity);
        expect(limits.get(1)?.limit).to.be.closeTo(0.5, 1e-9);
    });

    // Guards against a rank that gets nothing for as long as more urgent ranks take the whole capacity.
    it("keeps a twentieth of the capacity for each rank", () => {
        const limits = divideCapacity(
            offered({ 0: { a: 2 }, 1: { a: 0.5 }, 5: { a: 0.5, b: 0.5 }, 9: { a: 0.01 } }),
            1,
        );
        expect(limits.get(0)?.limit).to.be.closeTo(0.89, 1e-9);
        expect(limits.get(1)?.limit).to.be.closeTo(0.05, 1e-9);
        expect(limits.get(5)?.limit).to.be.closeTo(0.025, 1e-9);
        expect(limits.get(9)?.limit).to.equal(Infinity);
        expect([0, 1, 5, 9].map(rank => limits.get(rank)?.isLeast)).to.deep.equal([false, true, true, false]);
    });
});
