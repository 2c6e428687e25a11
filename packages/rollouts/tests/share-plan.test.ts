import { planShare, renewsAlways, settleMs, shareOf } from "@lentilramp/rollouts";
import { expect } from "chai";

describe("planShare and shareOf", () => {
    // Guards against calls to the leader, and shares of a part, in fleets whose syncs are close enough.
    it("leave the share to syncs where it holds longer than these are apart", () => {
        for (const members of [1, 20, 50, 333]) {
            const syncMs = Math.max(250, members * 5);
            const { validMs, part, renewMs } = planShare(0.1, members, syncMs, 5_000);
            expect({ part, renewMs }).to.deep.equal({ part: 1, renewMs: undefined });
            expect(validMs).to.be.at.least(1.5 * syncMs);
        }
    });

    it("have the share renewed twice in its time, at the smallest part that is enough, in larger fleets", () => {
        const part = (share: number): number => planShare(share, 1_600, 8_000, 5_000).part;
        expect([0, 0.125, 0.13, 0.25, 0.5, 0.51, 1].map(part)).to.deep.equal([0.125, 0.125, 0.25, 0.25, 0.5, 1, 1]);
        expect(planShare(0.1, 1_600, 8_000, 5_000)).to.include({ validMs: 2_500, renewMs: 1_500 });
    });

    // Guards against a share that no ingress of a small fleet takes, where the time for a rollback is short.
    it("choose a part of enough ingresses", () => {
        expect([2, 63, 64, 127, 128, 256].map(members => planShare(0.1, members, 400, 700).part))
            .to.deep.equal([1, 1, 0.5, 0.5, 0.25, 0.125]);
    });

    // Guards against a long last step, at which all requests go to the target, because ingresses hear of it late.
    it("count on renewals alone at the last step", () => {
        expect([0, 1, 2, 3].map(renewsAlways)).to.deep.equal([false, false, true, true]);
        expect([0, 1, 2, 3].map(step => settleMs(step, 8_000, 1_500))).to.deep.equal([11_000, 11_000, 11_000, 3_000]);
        expect(settleMs(3, 250, undefined)).to.equal(500);
    });

    // Guards against ingresses that leave the target when the share grows.
    it("contain the ingresses of a smaller part in a larger one, in another order for each roll-out", () => {
        const names = Array.from({ length: 400 }, (...[, i]) => `i${i}`);
        const taking = (part: number, orderedAt: number): string[] =>
            names.filter(name => shareOf(name, orderedAt, part, part) > 0);
        expect(taking(0.25, 7)).to.include.members(taking(0.125, 7));
        expect(taking(0.125, 7)).not.to.deep.equal(taking(0.125, 8));
        expect(taking(1, 7)).to.have.length(400);
        expect(taking(0.125, 7).length).to.be.within(30, 70);
        expect(shareOf("i1", 7, 0.3, 1)).to.equal(0.3);
    });
});
