import {
    FleetRolloutReports,
    type RolloutDecision,
    rolloutDefaults,
    RolloutJudge,
    type RolloutReport,
    RolloutReports,
} from "@lentilramp/rollouts";
import { expect } from "chai";

const orderedAt = 0;
const rollout = { orderedAt, deadline: 60_000, previous: ["v1"], step: 3 };

function report(share: number, closed: boolean, arrived = 0): RolloutReport {
    return { orderedAt, share, closed, arrived, exposed: 0, results: {} };
}

describe("RolloutReports and the end of a roll-out", () => {
    for (const others of [{ previous: ["v1"], slots: 64 }, { previous: [], slots: 0 }]) {
        // Guards against `completed` on reports from before a smaller share, which opened the old versions again.
        it(`needs new reports after the share was below 1 (${others.slots} other slots)`, () => {
            const reports = new RolloutReports(orderedAt, "v2", 0);
            const judge = new RolloutJudge({ ...rollout, previous: others.previous }, rolloutDefaults, reports);
            const decide = (now: number, targetSlots: number): RolloutDecision =>
                judge.decide({
                    now,
                    elapsedMs: now,
                    targetSlots,
                    otherSlots: others.slots,
                    running: 10,
                    settleMs: 500,
                    heard: reports.heardFrom(["a"]),
                    lossMs: 5_000,
                    drained: reports.drained(["a"], ["old"]),
                });
            const sync = (now: number, share: number, closed: boolean): void =>
                reports.record("a", "a1", report(share, closed), {}, now);
            expect(decide(0, 64)).to.include({ share: 1 });
            sync(550, 1, false);
            expect(decide(600, 64)).to.include({ share: 1, closed: true, end: undefined });
            const few = decide(700, 0);
            expect(few).to.include({ share: 0, closed: false });
            // This report was sent before its answer brought the smaller share.
            sync(750, 1, true);
            for (const now of [800, 900]) {
                expect(decide(now, 64).end).to.equal(undefined);
            }
            sync(950, few.share, false);
            expect(decide(1_000, 64).end).to.equal(undefined);
            sync(1_200, 1, false);
            expect(decide(1_300, 64)).to.include({ closed: true, end: undefined });
            sync(1_450, 1, true);
            expect(decide(1_500, 64).end).to.equal("completed");
        });
    }

    // Guards against `completed` on what the earlier run of an ingress obeyed.
    it("do not count what an ingress obeyed before it started again", () => {
        const all = new FleetRolloutReports();
        const reports = all.of("app", { ...rollout, target: "v2", state: "running", changedAt: 0, barred: [] }, 0);
        all.record("a", "a1", { app: report(1, true) }, {}, 100);
        expect(reports.drained(["a"], ["old"])).to.equal("closed");
        all.record("a", "a2", {}, {}, 900);
        expect(reports.drained(["a"], ["old"])).to.equal("no");
        all.record("a", "a2", { app: report(0, false) }, {}, 1_150);
        expect(reports.drained(["a"], ["old"])).to.equal("no");
    });

    // Guards against `completed` while an ingress that has lost contact, or that an earlier leader has heard, goes on at
    // other versions.
    it("wait for ingresses that were in contact lately", () => {
        const reports = new RolloutReports(orderedAt, "v2", 1_000);
        reports.record("a", "a1", report(1, true), {}, 1_100);
        reports.record("b", "b1", report(1, false), {}, 1_200);
        expect(reports.drained(["a"], ["old"])).to.equal("closed");
        expect(reports.drained(["a"], ["old"], 999)).to.equal("no");
        expect(reports.drained(["a"], ["old"], 1_000)).to.equal("idle");
        expect(reports.drained(["a"], ["old"], 1_200)).to.equal("closed");
        reports.recordContact("b", 1_300);
        expect(reports.drained(["a"], ["old"], 1_200)).to.equal("no");
        expect(reports.drained([], ["old"], 1_300)).to.equal("no");
    });

    // Guards against refused requests in the exposure budget, and against reports of ingresses of an earlier build, which
    // do not tell them apart, that count as those of a service that gets no requests.
    it("tell requests that reached the service from those that came, where the ingress does", () => {
        const reports = new RolloutReports(orderedAt, "v2", 0);
        for (const [i, now] of [0, 100, 350].entries()) {
            reports.record("a", "a1", { ...report(0, false, 10 * i), asked: 50 * i }, {}, now);
            reports.record("b", "b1", report(0, false, 20 * i), {}, now);
        }
        expect(reports.arrived).to.equal(60);
        expect(reports.asked).to.equal(140);
        expect(reports.arrivalsPerMs(1_000)).to.equal(0.06);
        expect(reports.askedPerMs(1_000)).to.equal(0.14);
    });

    // Guards against a canary share of almost 0 for ten seconds after a change of the leader.
    it("do not take the requests since the order for the present rate", () => {
        const reports = new RolloutReports(orderedAt, "v2", 30_000);
        reports.record("a", "a1", report(0, false, 6_000), {}, 30_100);
        reports.record("a", "a1", report(0, false, 6_050), {}, 30_350);
        expect(reports.arrived).to.equal(6_050);
        expect(reports.arrivalsPerMs(31_000)).to.equal(0.05);
    });
});
