import { expect } from "chai";
import { type ReadyReplicas, ReclaimMonitor } from "../src/reclaim-monitor.ts";

function held(a: number, b: number, c: number): ReadyReplicas[] {
    return [["a", a], ["b", b], ["c", c]].map(([failureDomain, reclaimable]) => ({
        failureDomain: String(failureDomain),
        reclaimable: Number(reclaimable),
        onDemand: 0,
    }));
}

describe("LossWatch", () => {
    const ordered = (): number => 4;

    // Two of three domains lost theirs within 0.6 s. Their prompts were read again at the third, which had never more
    // than a third of the places taken while a fifth of the requests was late for ten seconds.
    it("tells which part of the prompts has to be read again, over several losses", () => {
        const watch = new ReclaimMonitor(true, true);
        watch.observe(held(4, 4, 4), ordered, 0);
        expect(watch.coldCacheShare(0)).to.equal(0);
        watch.observe(held(0, 4, 4), ordered, 250);
        expect(watch.coldCacheShare(250)).to.be.closeTo(1 / 3, 1e-9);
        watch.observe(held(0, 4, 0), ordered, 750);
        expect(watch.coldCacheShare(750)).to.be.closeTo(1 / 3 + 1 / 2, 1e-9);
        expect(watch.coldCacheShare(20_000)).to.equal(0);
    });

    it("doubts a domain until it shows replicas again, and no domain that gave them back itself", () => {
        const watch = new ReclaimMonitor(true, true);
        watch.observe(held(4, 4, 4), ordered, 0);
        watch.observe(held(0, 4, 4), ordered, 250);
        expect(["a", "b"].map(domain => watch.isSupplyDoubtful(domain))).to.deep.equal([true, false]);
        watch.observe(held(2, 4, 4), ordered, 5_000);
        expect(watch.isSupplyDoubtful("a")).to.equal(false);
        watch.observe(held(2, 1, 4), () => 1, 6_000);
        expect(watch.isSupplyDoubtful("b")).to.equal(false);
        expect(watch.coldCacheShare(6_000)).to.equal(0);
    });
});
