import { CatalogFreshness } from "@lentilramp/fleet";
import { expect } from "chai";

describe("CatalogFreshness", () => {
    const boundMs = 2_000;

    // Guards against an ingress that obeys an old catalog because it gets too little processor time to learn of a newer.
    it("stops serving once a late process has not confirmed its catalog within the bound, until it has", () => {
        const freshness = new CatalogFreshness(boundMs);
        freshness.recordConfirmation(1_000);
        freshness.recordSyncStart(2_400);
        expect(freshness.mayServe(3_000)).to.equal(true);
        expect(freshness.mayServe(3_001)).to.equal(false);
        freshness.recordConfirmation(3_400);
        expect(freshness.mayServe(5_000)).to.equal(true);
    });

    it("goes on serving without contact while its own timers are on time", () => {
        const freshness = new CatalogFreshness(boundMs);
        freshness.recordConfirmation(1_000);
        for (let now = 1_300; now < 60_000; now += 300) {
            freshness.recordSyncStart(5);
            expect(freshness.mayServe(now)).to.equal(true);
        }
    });

    // Guards against requests that are served with an old catalog right after a pause of the process: they are read before
    // the timer of the sync runs.
    it("counts a sync that is overdue as a late one", () => {
        let nextSyncAt = 1_300;
        const freshness = new CatalogFreshness(boundMs, () => nextSyncAt);
        freshness.recordConfirmation(1_000);
        expect(freshness.mayServe(3_000)).to.equal(true);
        expect(freshness.mayServe(3_001)).to.equal(false);
        nextSyncAt = Infinity;
        expect(freshness.mayServe(3_001)).to.equal(true);
    });

    it("does not take the answer to an earlier sync for a newer confirmation", () => {
        const freshness = new CatalogFreshness(boundMs);
        freshness.recordConfirmation(5_000);
        freshness.recordSyncStart(900);
        freshness.recordConfirmation(4_000);
        expect(freshness.mayServe(7_001)).to.equal(false);
        expect(freshness.describe(7_001)).to.deep.equal({ confirmedMs: 2_001, syncDelayMs: 900 });
    });
});
