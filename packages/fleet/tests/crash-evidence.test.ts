import { CrashJudge, PromptCrashes } from "@lentilramp/fleet";
import { expect } from "chai";
import { playCrashingFleet } from "./crashing-fleet.ts";

describe("CrashJudge", () => {
    const report = (endpoint: string, ageMs: number, ...parts: string[]) => ({ endpoint, startedAt: 1, ageMs, parts });

    it("accuses a part after four crashes of distinct lifetimes that different ingresses saw", () => {
        const judge = new CrashJudge();
        ["a", "b", "c"].forEach((endpoint, i) => judge.recordReport(report(endpoint, 0, "p", `other-${i}`), 1_000 + i));
        judge.recordReport(report("c", 5, "p"), 1_010);
        expect(judge.verdicts(9_000, 500)).to.deep.equal([]);
        judge.recordReport(report("d", 0, "p"), 2_000);
        expect(judge.verdicts(2_400, 500)).to.deep.equal([]);
        expect(judge.verdicts(2_500, 500)).to.deep.equal([{ part: "p", endpoints: ["a", "b", "c", "d"] }]);
    });

    // Guards against refusing requests that share a popular part with those that crash engines.
    it("clears a part of the crashes before an answer that began on it", () => {
        const judge = new CrashJudge();
        ["a", "b", "c", "d", "e"].forEach(endpoint => judge.recordReport(report(endpoint, 0, "system", "p"), 1_000));
        judge.recordBegun("system", 1_050);
        expect(judge.verdicts(5_000, 500).map(({ part }) => part)).to.deep.equal(["p"]);
        expect(judge.suspects(5_000)).to.deep.equal({ p: 5 });
    });

    it("does not accuse a part of crashes that an accused one explains, and accuses a second one of its own", () => {
        const judge = new CrashJudge();
        for (let i = 0; i < 6; i++) {
            judge.recordReport(report(`p${i}`, 0, "p", i < 4 ? "beside" : "q"), 1_000);
        }
        expect(judge.verdicts(5_000, 500).map(({ part }) => part)).to.deep.equal(["p"]);
        for (let i = 0; i < 4; i++) {
            judge.recordReport(report(`q${i}`, 0, "q", "beside"), 2_000);
        }
        judge.recordBegun("beside", 2_100);
        expect(judge.verdicts(5_000, 500).map(({ part }) => part)).to.deep.equal(["p", "q"]);
        expect(judge.verdicts(5_000, 500, new Set(["p"])).map(({ part }) => part)).to.deep.equal(["q"]);
    });

    it("lets evidence end, and forgets it when a verdict is lifted", () => {
        const judge = new CrashJudge();
        ["a", "b", "c", "d"].forEach(endpoint => judge.recordReport(report(endpoint, 0, "p"), 1_000));
        judge.clear("p", 3_000);
        expect(judge.verdicts(5_000, 500)).to.deep.equal([]);
        ["e", "f", "g", "h"].forEach(endpoint => judge.recordReport(report(endpoint, 0, "p"), 6_000));
        expect(judge.verdicts(7_000, 500)).to.have.length(1);
        expect(judge.verdicts(66_001, 500)).to.deep.equal([]);
    });
});

describe("PromptCrashes", () => {
    it("bounds the answers that it remembers, and forgets reports on a part whose verdict was lifted", () => {
        const crashes = new PromptCrashes();
        for (let i = 0; i < 5_000; i++) {
            crashes.recordBegun([`p${i}`], i);
        }
        crashes.applySuspects(Object.fromEntries(Array.from({ length: 5_000 }, (...[, i]) => [`p${i}`, 1])));
        expect(Object.keys(crashes.begunReports(5_000))).to.have.length(4_096);
        crashes.recordCrash({ id: "e", startedAt: 1 }, { request: "request:r", parts: ["bad", "x"] }, 5_000);
        expect(crashes.applyBlocked([{ part: "bad" }]).added).to.deep.equal(["bad"]);
        expect(crashes.blockingPart(["x", "bad"])).to.equal("bad");
        expect(crashes.applyBlocked([]).ended).to.deep.equal(["bad"]);
        expect(crashes.crashReports(5_000)[0]?.parts).to.deep.equal(["x"]);
    });

    // Guards against a repeat that carries a deadly prompt to the next engine before the verdict.
    it("does not repeat a request with a part that two crashes accuse", () => {
        const crashes = new PromptCrashes();
        crashes.applySuspects({ p: 1, q: 2 });
        expect(crashes.mayRepeat(["p"], 0)).to.equal(true);
        expect(crashes.mayRepeat(["p", "q"], 0)).to.equal(false);
    });
});

describe("A fleet that learns which prompt parts crash engines", () => {
    for (const ingresses of [3, 8, 64]) {
        for (const seed of [1, 2, 3, 4, 5]) {
            it(`sends at most three such requests after the bound, ${ingresses} ingresses, seed ${seed}`, () => {
                const result = playCrashingFleet({ ingresses, seed, deadlyParts: ["bad"], unrelatedPerSecond: 0.5 });
                expect([...result.blocked]).to.deep.equal(["bad"]);
                expect(result.sentAfterBound.bad ?? 0).to.be.at.most(3);
                expect(result.falselyRefused).to.equal(0);
            });
        }

        it(`learns two parts that overlap, and keeps both over restarts and a new leader, ${ingresses} ingresses`, () => {
            for (const seed of [11, 12, 13]) {
                const deadlyParts = ["bad", "worse"];
                const result = playCrashingFleet({ ingresses, seed, deadlyParts, restarts: true });
                expect([...result.blocked].sort()).to.deep.equal(deadlyParts);
                expect(Math.max(0, ...Object.values(result.sentAfterBound))).to.be.at.most(3);
                expect(result.falselyRefused).to.equal(0);
            }
        });

        it(`accuses no part of unrelated crashes, ${ingresses} ingresses, 10 seeds`, () => {
            let accused = 0;
            let refused = 0;
            for (let seed = 21; seed <= 30; seed++) {
                const result = playCrashingFleet({ ingresses, seed, deadlyParts: [], unrelatedPerSecond: 2 });
                accused += result.blocked.size;
                refused += result.falselyRefused;
            }
            expect({ accused, refused }).to.deep.equal({ accused: 0, refused: 0 });
        });
    }
});
