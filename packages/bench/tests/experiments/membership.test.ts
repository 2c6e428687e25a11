import { expect } from "chai";
import { runMembership } from "../../src/experiments/membership/run-membership.ts";

describe("membership experiment", () => {
    // Guards against figures that cannot be reproduced, and against a run that finds no crash.
    it("gives equal figures for equal seeds only", () => {
        const run = (seed: number) => runMembership({ nodes: 24, seed, loss: 0.05, options: {} });
        const first = run(1);
        expect(run(1)).to.deep.equal(first);
        expect(run(2)).to.not.deep.equal(first);
        expect(first.detectionMaxMs).to.be.within(1_000, 30_000);
    });
});
