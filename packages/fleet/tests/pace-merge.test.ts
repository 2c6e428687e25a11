import { PaceMerge } from "@lentilramp/fleet";
import { expect } from "chai";

describe("PaceMerge", () => {
    // Guards against a slow endpoint that each of many ingresses has to find by its own late answers.
    it("passes on a factor that many ingresses see, each with little evidence", () => {
        const merge = new PaceMerge();
        for (let i = 0; i < 20; i++) {
            merge.record({ slow: [i % 2 === 0 ? 2 : 4, 1], usual: [i % 2 === 0 ? 0.9 : 1.1, 1] }, i * 5);
        }
        const factors = merge.factors(100);
        expect(Object.keys(factors ?? {})).to.deep.equal(["slow"]);
        expect(factors?.slow).to.be.within(2.4, 3);
    });

    it("does not follow one answer of one ingress, or one ingress with a huge weight or factor", () => {
        const merge = new PaceMerge();
        merge.record({ a: [1.3, 1] }, 0);
        expect(merge.factors(0)).to.equal(undefined);
        merge.record({ b: [1e300, 1e300] }, 0);
        for (let i = 0; i < 57; i++) {
            merge.record({ b: [1, 4] }, i);
        }
        expect(merge.factors(57)?.b).to.be.below(1.6);
    });

    // Guards against numbers in the messages of a faulty process that spoil what the others have reported.
    it("ignores factors and weights that are no numbers", () => {
        const merge = new PaceMerge();
        merge.record({ a: [NaN, 1], b: [2, NaN], c: [2, -1], d: [2, 0] }, 0);
        merge.record(undefined, 0);
        expect(merge.factors(0)).to.equal(undefined);
    });

    it("follows a change within 2 s, and forgets what nobody reports any more", () => {
        const merge = new PaceMerge();
        const report = (factor: number, fromMs: number): void => {
            for (let now = fromMs; now < fromMs + 2_000; now += 50) {
                merge.record({ a: [factor, 1] }, now);
            }
        };
        report(3, 0);
        expect(merge.factors(2_000)?.a).to.be.above(2.3);
        report(1, 2_000);
        expect(merge.factors(4_000)?.a ?? 1).to.be.below(1.6);
        expect(merge.factors(30_000)).to.equal(undefined);
    });

    it("forgets endpoints that are no longer listed", () => {
        const merge = new PaceMerge();
        merge.record({ a: [3, 9], b: [3, 9] }, 0);
        merge.retain([{ id: "b" }]);
        expect(Object.keys(merge.factors(0) ?? {})).to.deep.equal(["b"]);
    });

    // Guards against answers that grow with the fleet: a node may spend 3 KB a second on control.
    it("passes on a bounded number of endpoints, those that differ most", () => {
        const merge = new PaceMerge();
        for (let i = 0; i < 7_400; i++) {
            merge.record({ [`i-${i.toString().padStart(10, "0")}`]: [i < 32 ? 6 : 2, 9] }, 0);
        }
        const factors = merge.factors(0) ?? {};
        expect(Object.keys(factors)).to.have.length(32);
        expect(Object.values(factors).every(factor => factor > 3)).to.equal(true);
        expect(JSON.stringify(factors).length).to.be.below(1_000);
    });
});
