import { expect } from "chai";
import { type ReadyReplicas, ReclaimMonitor } from "../src/reclaim-monitor.ts";

function readyReplicas(a: number, b: number, c: number): ReadyReplicas[] {
    return [["a", a], ["b", b], ["c", c]].map(([failureDomain, reclaimable]) => ({
        failureDomain: String(failureDomain),
        reclaimable: Number(reclaimable),
        onDemand: 0,
    }));
}

describe("ReclaimMonitor", () => {
    const orderedIn = (): number => 4;

    // After two of three domains lost their replicas within 0.6 s, the third processed their prompts again. A fifth of
    // the requests was late for ten seconds, although at most a third of the third domain's slots was occupied.
    it("adds up the shares of cached prompts lost in successive reclaims until the caches are warm again", () => {
        const monitor = new ReclaimMonitor(true, true);
        monitor.observe(readyReplicas(4, 4, 4), orderedIn, 0);
        expect(monitor.coldCacheShare(0)).to.equal(0);
        monitor.observe(readyReplicas(0, 4, 4), orderedIn, 250);
        expect(monitor.coldCacheShare(250)).to.be.closeTo(1 / 3, 1e-9);
        monitor.observe(readyReplicas(0, 4, 0), orderedIn, 750);
        expect(monitor.coldCacheShare(750)).to.be.closeTo(1 / 3 + 1 / 2, 1e-9);
        expect(monitor.coldCacheShare(20_000)).to.equal(0);
    });

    it("marks supply as doubtful after a loss until replicas return, but not after an ordered reduction", () => {
        const monitor = new ReclaimMonitor(true, true);
        monitor.observe(readyReplicas(4, 4, 4), orderedIn, 0);
        monitor.observe(readyReplicas(0, 4, 4), orderedIn, 250);
        expect(["a", "b"].map(domain => monitor.isSupplyDoubtful(domain))).to.deep.equal([true, false]);
        monitor.observe(readyReplicas(2, 4, 4), orderedIn, 5_000);
        expect(monitor.isSupplyDoubtful("a")).to.equal(false);
        monitor.observe(readyReplicas(2, 1, 4), () => 1, 6_000);
        expect(monitor.isSupplyDoubtful("b")).to.equal(false);
        expect(monitor.coldCacheShare(6_000)).to.equal(0);
    });
});
