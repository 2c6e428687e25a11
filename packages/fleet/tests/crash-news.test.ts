import { FreshCrashes, PromptCrashes, requestKey } from "@lentilramp/fleet";
import { expect } from "chai";

describe("FreshCrashes", () => {
    const lifetime = (id: string) => ({ id, startedAt: 1 });

    it("tells each crash once to each listener of this ingress, with the requests lost in it", () => {
        const crashes = new FreshCrashes();
        let calls = 0;
        crashes.onNews(() => calls++);
        crashes.record(lifetime("a"), "r1", 100);
        crashes.record(lifetime("a"), "r2", 105);
        expect(calls).to.equal(2);
        expect(crashes.newsAfter(0, 120)).to.deep.equal([
            { endpoint: "a", startedAt: 1, ageMs: 20, requests: ["r1", "r2"] },
        ]);
        const told = crashes.lastNumber;
        expect(crashes.newsAfter(told, 120)).to.deep.equal([]);
        crashes.record(lifetime("b"), "r1", 130);
        expect(crashes.newsAfter(told, 130).map(({ endpoint }) => endpoint)).to.deep.equal(["b"]);
    });

    it("does not tell again what another ingress has told", () => {
        const crashes = new FreshCrashes();
        crashes.recordNews({ endpoint: "a", startedAt: 1, ageMs: 5, requests: ["r"] }, 100);
        expect(crashes.newsAfter(0, 100)).to.deep.equal([]);
    });

    it("counts lifetimes, whoever told of them, since the last begun answer and for a second", () => {
        const crashes = new FreshCrashes();
        crashes.record(lifetime("a"), "r", 100);
        crashes.recordNews({ endpoint: "a", startedAt: 1, ageMs: 2, requests: ["r"] }, 110);
        crashes.recordNews({ endpoint: "b", ageMs: 0, requests: ["r", "s"] }, 200);
        expect(crashes.count("r", -Infinity, 210)).to.equal(2);
        expect(crashes.count("s", -Infinity, 210)).to.equal(1);
        expect(crashes.count("r", 150, 210)).to.equal(1);
        expect(crashes.count("r", -Infinity, 1_150)).to.equal(1);
        expect(crashes.count("r", -Infinity, 1_200)).to.equal(0);
    });

    it("bounds what one message names and what is remembered", () => {
        const crashes = new FreshCrashes();
        for (let i = 0; i < 3_000; i++) {
            crashes.record(lifetime("a"), `r${i}`, 100);
        }
        expect(crashes.newsAfter(0, 100).flatMap(({ requests }) => requests)).to.have.length(64);
        expect(crashes.count("r0", -Infinity, 100)).to.equal(0);
        expect(crashes.count("r2999", -Infinity, 100)).to.equal(1);
    });

    // Guards against a request that is repeated at several ingresses faster than the leader can tell them of its crashes.
    it("withholds a request at an ingress that has heard of three crashes from others", () => {
        const crashes = new PromptCrashes();
        const key = requestKey("r");
        ["a", "b", "c"].forEach((endpoint, i) => {
            expect(crashes.withheld([key], 100)).to.equal(undefined);
            crashes.fresh.recordNews({ endpoint, startedAt: i, ageMs: 0, requests: [key] }, 100);
        });
        expect(crashes.withheld([key], 100)).to.equal(key);
        expect(crashes.mayRepeat([key], 100)).to.equal(false);
        expect(crashes.withheld([key], 1_200)).to.equal(undefined);
    });

    // Guards against a sound request that is not repeated because one crash counts as that of another ingress and as an
    // own loss whose probe is open.
    it("counts an own loss once in a crash of which another ingress has told", () => {
        const crashes = new PromptCrashes();
        const key = requestKey("r");
        const endLoss = crashes.recordLoss(lifetime("a"), key, 100);
        crashes.fresh.recordNews({ endpoint: "a", startedAt: 1, ageMs: 0, requests: [key] }, 101);
        expect(crashes.mayRepeat([key], 102)).to.equal(true);
        crashes.recordCrash(lifetime("a"), { request: key, parts: [] }, 100);
        endLoss();
        expect(crashes.mayRepeat([key], 103)).to.equal(true);
        crashes.recordLoss(lifetime("b"), key, 104);
        expect(crashes.mayRepeat([key], 105)).to.equal(false);
    });

    // Guards against a further repeat of a request that is lost after an own crash, while news tell of that loss.
    it("counts an own loss of which another ingress has told beside an own crash", () => {
        const crashes = new PromptCrashes();
        const key = requestKey("r");
        crashes.recordCrash(lifetime("a"), { request: key, parts: [] }, 100);
        crashes.recordLoss(lifetime("b"), key, 1_200);
        crashes.fresh.recordNews({ endpoint: "b", startedAt: 1, ageMs: 0, requests: [key] }, 1_201);
        expect(crashes.mayRepeat([key], 1_202)).to.equal(false);
    });
});
