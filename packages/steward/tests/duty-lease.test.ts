import { DutyLease } from "@lentilramp/steward";
import { expect } from "chai";

const leaseMs = 3_000;

describe("DutyTenure", () => {
    const first = { previousHolder: undefined, heldBefore: false };

    it("lets the first holder, and one that follows itself, act at once", () => {
        const tenure = new DutyLease(leaseMs, 0);
        expect(tenure.earliestActionAt(500, first, "a")).to.equal(500);
        expect(tenure.earliestActionAt(900, { previousHolder: "a", heldBefore: true }, "a")).to.equal(900);
    });

    // No replicas were ordered for 3.3 s after each change of the leader, and a reclaim fell into that time.
    it("lets a new holder act within half of the lease, but after any call of the one before has ended", () => {
        const old = new DutyLease(leaseMs, 0);
        const next = new DutyLease(leaseMs, 0);
        // The old holder proves that it leads just before the other is elected.
        const electedAt = 10_000;
        expect(old.isProofFresh(electedAt, electedAt + 250)).to.equal(true);
        expect(old.isProofFresh(electedAt, electedAt + 251)).to.equal(false);
        const lastEnd = old.startCall(electedAt + 250);
        const actFrom = next.earliestActionAt(electedAt, { previousHolder: "old", heldBefore: false }, "next");
        expect(actFrom).to.be.above(lastEnd);
        expect(actFrom - electedAt).to.be.at.most(leaseMs / 2);
    });

    it("lets a holder that comes back act only after the lease since its own last call", () => {
        const tenure = new DutyLease(leaseMs, 0);
        tenure.startCall(9_000);
        const back = { previousHolder: "b", heldBefore: true };
        expect(tenure.earliestActionAt(9_500, back, "a")).to.be.above(9_000 + leaseMs);
        expect(tenure.earliestActionAt(20_000, back, "a")).to.be.below(20_000 + leaseMs / 2);
    });

    it("takes the start of the process for the last call when an earlier run may have made it", () => {
        const tenure = new DutyLease(leaseMs, 50_000);
        expect(tenure.earliestActionAt(50_500, { previousHolder: "b", heldBefore: true }, "a")).to.be.above(
            50_000 + leaseMs,
        );
    });
});
