import { DutyLease } from "@lentilramp/steward";
import { expect } from "chai";

const leaseMs = 3_000;

describe("DutyLease", () => {
    const first = { previousHolder: undefined, heldBefore: false };

    it("permits calls at once for the first holder and for one that succeeds itself", () => {
        const lease = new DutyLease(leaseMs, 0);
        expect(lease.earliestActionAt(500, first, "a")).to.equal(500);
        expect(lease.earliestActionAt(900, { previousHolder: "a", heldBefore: true }, "a")).to.equal(900);
    });

    // After each change of leader no replicas were ordered for 3.3 s, and a reclaim occurred during that time.
    it("permits calls of a new holder within half of the lease, but after all calls of the previous one ended", () => {
        const previous = new DutyLease(leaseMs, 0);
        const next = new DutyLease(leaseMs, 0);
        // The previous holder proves its leadership just before the next one is elected.
        const electedAt = 10_000;
        expect(previous.isProofFresh(electedAt, electedAt + 250)).to.equal(true);
        expect(previous.isProofFresh(electedAt, electedAt + 251)).to.equal(false);
        const lastEnd = previous.startCall(electedAt + 250);
        const actFrom = next.earliestActionAt(electedAt, { previousHolder: "old", heldBefore: false }, "next");
        expect(actFrom).to.be.above(lastEnd);
        expect(actFrom - electedAt).to.be.at.most(leaseMs / 2);
    });

    it("permits calls of a returning holder only after the lease since its last call", () => {
        const lease = new DutyLease(leaseMs, 0);
        lease.startCall(9_000);
        const back = { previousHolder: "b", heldBefore: true };
        expect(lease.earliestActionAt(9_500, back, "a")).to.be.above(9_000 + leaseMs);
        expect(lease.earliestActionAt(20_000, back, "a")).to.be.below(20_000 + leaseMs / 2);
    });

    it("counts the lease from the start of the process, since an earlier run may have made calls", () => {
        const lease = new DutyLease(leaseMs, 50_000);
        expect(lease.earliestActionAt(50_500, { previousHolder: "b", heldBefore: true }, "a")).to.be.above(
            50_000 + leaseMs,
        );
    });
});
