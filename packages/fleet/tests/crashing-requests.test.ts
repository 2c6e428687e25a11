import { CrashJudge, PromptCrashes, requestKey, sharedParts } from "@lentilramp/fleet";
import { expect } from "chai";

const [deadly, sound, other] = [requestKey("deadly"), requestKey("sound"), requestKey("other")];
const settleMs = 500;

/** Returns a report of a crash whose waiting requests are given with their parts. */
function report(endpoint: string, waiting: Record<string, readonly string[]>) {
    const parts = [...new Set(Object.values(waiting).flat())];
    const requests = Object.entries(waiting).map(([id, own]) => ({ id, parts: own.map(part => parts.indexOf(part)) }));
    return { endpoint, startedAt: 1, ageMs: 0, parts, requests };
}

describe("CrashJudge with whole requests", () => {
    let judge: CrashJudge;

    beforeEach(() => {
        judge = new CrashJudge();
    });

    const accused = (now: number, known?: ReadonlySet<string>) =>
        judge.verdicts(now, settleMs, known).map(({ part }) => part);

    // Guards against requests that come again and are covered by no part, for instance those without a prompt.
    it("accuses a request at its third crash, after all ingresses could report answers", () => {
        judge.recordReport(report("a", { [deadly]: [], [sound]: [] }), 1_000);
        judge.recordReport(report("b", { [deadly]: [] }), 1_100);
        expect(judge.suspects(1_150)).to.deep.equal({ [deadly]: 2 });
        judge.recordReport(report("b", { [deadly]: [] }), 1_200);
        expect(accused(9_000)).to.deep.equal([]);
        judge.recordReport(report("c", { [deadly]: [] }), 2_000);
        expect(judge.suspects(2_000)).to.deep.equal({ [deadly]: 3 });
        expect(accused(2_999)).to.deep.equal([]);
        expect(judge.verdicts(3_000, settleMs)).to.deep.equal([{ part: deadly, endpoints: ["a", "b", "c"] }]);
        expect(judge.verdicts(3_000, 1_001)).to.deep.equal([]);
    });

    // Guards against the refusal of a request that many callers send and that waits in every crash.
    it("clears a request by an answer that began on it", () => {
        ["a", "b", "c"].forEach(endpoint => judge.recordReport(report(endpoint, { [deadly]: [], [sound]: [] }), 1_000));
        judge.recordBegun(sound, 1_010);
        expect(accused(5_000)).to.deep.equal([deadly]);
        expect(judge.suspects(5_000)).to.deep.equal({ [deadly]: 3 });
    });

    // Guards against blocking a part for the crashes of one request: sound requests with the part were refused too.
    it("accuses one request that comes again, and not the parts that it carries", () => {
        for (let i = 0; i < 8; i++) {
            judge.recordReport(
                report(`e${i}`, { [deadly]: ["system", "p"], [requestKey(`s${i}`)]: ["system"] }),
                1_000,
            );
        }
        expect(accused(5_000)).to.deep.equal([deadly]);
        expect(accused(5_000, new Set([deadly]))).to.deep.equal([]);
    });

    it("accuses a part of crashes by three requests, also of those that verdicts on its requests explain", () => {
        const [r, s, t] = [requestKey("r"), requestKey("s"), requestKey("t")];
        for (const [i, request] of [r, r, r, s].entries()) {
            judge.recordReport(report(`e${i}`, { [request]: ["p"] }), 1_000);
        }
        expect(accused(5_000)).to.deep.equal([r]);
        judge.recordReport(report("e4", { [s]: ["p"] }), 4_800);
        expect(accused(5_300, new Set([r]))).to.deep.equal([]);
        judge.recordReport(report("e5", { [t]: ["p"] }), 4_900);
        expect(accused(5_399, new Set([r]))).to.deep.equal([]);
        expect(accused(5_400, new Set([r]))).to.deep.equal(["p"]);
    });

    it("does not count crashes against a part that verdicts on other parts or on requests without it explain", () => {
        for (let i = 0; i < 4; i++) {
            judge.recordReport(report(`e${i}`, { [requestKey(`${i}`)]: ["p"], [deadly]: ["q"] }), 1_000);
        }
        expect(accused(5_000, new Set([deadly]))).to.deep.equal([]);
        expect(accused(5_000, new Set(["q"]))).to.deep.equal([]);
    });

    // Guards against the refusal of sound requests that are repeated through the crashes of a deadly part.
    it("leaves a request alone while a part with crashes by three requests covers all of its crashes", () => {
        for (let i = 0; i < 3; i++) {
            judge.recordReport(report(`e${i}`, { [requestKey(`${i}`)]: ["p"], [sound]: ["q"] }), 1_000);
        }
        expect(accused(5_000)).to.deep.equal([]);
        judge.recordReport(report("e3", { [requestKey("3")]: ["p"] }), 5_000);
        expect(accused(5_500)).to.deep.equal(["p"]);
    });

    // Guards against the refusal of a sound request that came again together with the one that crashes endpoints.
    it("waits until answers or crashes tell a request from those that waited beside it", () => {
        ["a", "b", "c"].forEach(endpoint => judge.recordReport(report(endpoint, { [deadly]: [], [sound]: [] }), 1_000));
        const first = judge.suspects(1_000);
        expect(Object.values(first)).to.deep.equal([3, 2]);
        expect(accused(3_000)).to.deep.equal([]);
        // Only the one with three crashes is withheld; if that is the sound one, the other soon has more.
        judge.recordReport(report("d", { [deadly]: [] }), 3_000);
        expect(judge.suspects(3_000)).to.deep.equal({ [deadly]: 4, [sound]: 2 });
        expect(accused(4_000)).to.deep.equal([]);
        judge.recordBegun(sound, 4_000);
        expect(accused(4_000)).to.deep.equal([deadly]);
    });

    it("decides a contested case in the end, for the request with most crashes", () => {
        ["a", "b", "c"].forEach(endpoint => judge.recordReport(report(endpoint, { [deadly]: [], [sound]: [] }), 1_000));
        judge.recordReport(report("d", { [deadly]: [] }), 3_000);
        expect(accused(7_900)).to.deep.equal([]);
        expect(accused(8_000)).to.deep.equal([deadly]);
        expect(judge.suspects(8_000, new Set([deadly]))).to.deep.equal({});
    });

    // Guards against requests that are sent again and again because several others explain all of their crashes.
    it("accuses a request that several explain at its fourth crash if no other repeated one waited in it", () => {
        const [r, s] = [requestKey("r"), requestKey("s")];
        const known = new Set([r, s]);
        ["a", "b", "c"].forEach((endpoint, i) =>
            judge.recordReport(report(endpoint, { [deadly]: [], [i === 0 ? r : s]: [] }), 1_000)
        );
        // It is sent again, since it may be sound, but not repeated.
        expect(judge.suspects(2_000, known)).to.deep.equal({ [deadly]: 2 });
        expect(accused(9_000, known)).to.deep.equal([]);
        judge.recordReport(report("d", { [deadly]: [], [sound]: [] }), 9_000);
        expect(judge.suspects(9_000, known)).to.deep.equal({ [deadly]: 4 });
        expect(accused(13_999, known)).to.deep.equal([]);
        expect(accused(14_000, known)).to.deep.equal([deadly]);
    });

    it("does not accuse it at its third crash, nor if another repeated one waited in the fourth", () => {
        const [r, s] = [requestKey("r"), requestKey("s")];
        const known = new Set([r, s]);
        judge.recordReport(report("a", { [sound]: [], [r]: [] }), 1_000);
        judge.recordReport(report("b", { [sound]: [], [s]: [] }), 1_000);
        judge.recordReport(report("c", { [sound]: [] }), 2_000);
        expect(judge.suspects(2_000, known)).to.deep.equal({ [sound]: 2 });
        judge.recordReport(report("d", { [sound]: [], [r]: [] }), 2_500);
        expect(judge.suspects(2_500, known)).to.deep.equal({ [sound]: 4 });
        ["c", "e"].forEach(endpoint => judge.recordReport(report(endpoint, { [deadly]: [] }), 3_000));
        expect(judge.suspects(3_000, known)).to.deep.equal({ [deadly]: 2, [sound]: 2 });
        expect(accused(20_000, known)).to.deep.equal([]);
    });

    // Guards against a verdict on a popular request while the crashes of another one are not known everywhere.
    it("accuses a request that was answered lately after all others, and later", () => {
        judge.recordBegun(sound, 900);
        ["a", "b", "c", "d"].forEach((endpoint, i) =>
            judge.recordReport(report(endpoint, i < 3 ? { [sound]: [], [deadly]: [] } : { [sound]: [] }), 1_000)
        );
        expect(judge.suspects(1_000)).to.deep.equal({ [deadly]: 3, [sound]: 2 });
        const alone = new CrashJudge();
        alone.recordBegun(sound, 900);
        ["a", "b", "c"].forEach((endpoint, i) =>
            alone.recordReport(report(endpoint, { [sound]: [] }), 1_000 + i * 500)
        );
        expect(alone.verdicts(3_999, settleMs)).to.deep.equal([]);
        expect(alone.verdicts(4_000, settleMs)).to.have.length(1);
    });

    // Guards against verdicts on what is sent all the time when an outage ends all endpoints of a service at once.
    it("does not accuse a suspect that was answered lately of crashes at one instant", () => {
        judge.recordBegun(sound, 900);
        judge.recordBegun("p", 900);
        for (let i = 0; i < 5; i++) {
            judge.recordReport(report(`e${i}`, { [sound]: [], [requestKey(`${i}`)]: ["p"] }), 1_000 + i * 100);
        }
        expect(accused(20_000)).to.deep.equal([]);
    });

    it("accuses a request that was answered lately once its crashes are many", () => {
        judge.recordBegun(sound, 900);
        for (let i = 0; i < 6; i++) {
            judge.recordReport(report(`e${i}`, { [sound]: [], [i < 3 ? deadly : other]: [] }), 1_000 + i * 500);
        }
        expect(accused(4_000)).to.deep.equal([sound]);
    });

    // Guards against reports of processes of an earlier version, and of callers that name parts like requests.
    it("takes parts without requests as parts of distinct requests, and no part for a request", () => {
        ["a", "b", "c"].forEach(endpoint =>
            judge.recordReport({ endpoint, startedAt: 1, ageMs: 0, parts: ["p", deadly] }, 1_000)
        );
        expect(accused(5_000)).to.deep.equal([]);
        judge.recordReport({ endpoint: "d", startedAt: 1, ageMs: 0, parts: ["p"] }, 1_000);
        expect(accused(5_000)).to.deep.equal(["p"]);
        expect(sharedParts([{ id: "p" }, { id: deadly }, { id: "last" }])).to.deep.equal(["p"]);
    });

    // Guards against an outage after which the leader spends longer on the evidence than an election takes.
    it("bounds the requests of all crashes, and keeps those that several crashes accuse", () => {
        const waiting = (crash: number): Record<string, readonly string[]> =>
            Object.fromEntries(Array.from({ length: 64 }, (...[, i]) => [requestKey(`${crash}-${i}`), []]));
        for (let crash = 0; crash < 256; crash++) {
            const repeated = crash % 50 === 0 ? { [deadly]: [] } : {};
            judge.recordReport(report(`e${crash}`, { ...waiting(crash), ...repeated }), 1_000 + crash);
        }
        expect(judge.suspects(2_000)[deadly]).to.equal(6);
        // The oldest ones that no other crash accuses were dropped, so that only the newest have a second crash now.
        judge.recordReport(report("again", { [requestKey("0-5")]: [], [requestKey("255-5")]: [] }), 2_100);
        expect(judge.suspects(9_000)).to.include({ [requestKey("255-5")]: 2 }).and.not.have.property(requestKey("0-5"));
        expect(accused(9_000)).to.deep.equal([deadly]);
    });

    it("bounds the requests of a crash and keeps those of earlier crashes", () => {
        judge.recordReport(report("a", { [deadly]: [] }), 1_000);
        judge.recordReport(report("b", { [deadly]: [] }), 1_000);
        judge.recordReport(report("c", { [deadly]: [] }), 1_000);
        for (let batch = 0; batch < 8; batch++) {
            const keys = Array.from({ length: 64 }).map((...[, i]) => [requestKey(`${batch}-${i}`), []] as const);
            judge.recordReport(report("c", Object.fromEntries(keys)), 1_000);
            judge.recordReport(report("d", Object.fromEntries(keys.slice(-1))), 1_000);
        }
        expect(judge.suspects(1_000)).to.include({ [deadly]: 3, [requestKey("7-63")]: 2, [requestKey("0-63")]: 2 });
        expect(accused(5_000)).to.deep.equal([deadly]);
    });
});

describe("PromptCrashes with whole requests", () => {
    let crashes: PromptCrashes;
    const crash = (endpoint: string, request: string, at: number, parts: readonly string[] = []) =>
        crashes.recordCrash({ id: endpoint, startedAt: 1 }, { request, parts }, at);

    beforeEach(() => {
        crashes = new PromptCrashes();
    });

    it("reports a crash until the leader has heard of it, and again to another leader", () => {
        crash("a", deadly, 1_000, ["p"]);
        const first = crashes.crashReports(1_100);
        expect(first).to.deep.equal([
            { endpoint: "a", startedAt: 1, ageMs: 100, parts: ["p"], requests: [{ id: deadly, parts: [0] }] },
        ]);
        crash("a", sound, 1_150);
        // A sync whose answer is lost confirms nothing.
        expect(crashes.crashReports(1_200)[0]?.requests).to.have.length(2);
        crashes.acknowledge("x", first, 1_300);
        expect(crashes.crashReports(1_300)[0]?.requests).to.deep.equal([{ id: sound, parts: [] }]);
        crashes.acknowledge("x", crashes.crashReports(1_300), 1_400);
        expect(crashes.crashReports(1_400)).to.deep.equal([]);
        expect(crashes.acknowledge("y", [], 1_500)).to.equal(true);
        expect(crashes.crashReports(1_500)[0]?.requests).to.have.length(2);
        expect(crashes.crashReports(61_000)).to.deep.equal([]);
    });

    it("names at most 64 requests in a report, those with several crashes first, and the others later", () => {
        crash("a", deadly, 1_000);
        crashes.acknowledge("x", crashes.crashReports(1_000), 1_000);
        crash("b", deadly, 1_000);
        Array.from({ length: 100 }, (...[, i]) => crash("b", requestKey(`${i}`), 1_000));
        const [{ requests } = { requests: [] }] = crashes.crashReports(1_000);
        expect(requests).to.have.length(64);
        expect(requests.slice(0, 2).map(({ id }) => id)).to.deep.equal([deadly, requestKey("99")]);
        crashes.acknowledge("x", crashes.crashReports(1_000), 1_000);
        expect(crashes.crashReports(1_000)[0]?.requests).to.have.length(37);
    });

    it("does not report requests whose answers have begun since the crash", () => {
        crash("a", deadly, 1_000);
        crash("a", sound, 1_000, ["p", "q"]);
        crash("a", other, 1_000, ["p", "r"]);
        crashes.recordBegun([sound, "p", "q"], 1_001);
        expect(crashes.crashReports(1_100)[0]).to.deep.include({
            parts: ["r"],
            requests: [{ id: other, parts: [0] }, { id: deadly, parts: [] }],
        });
    });

    // Guards against repeats of a request that the leader has not heard of yet.
    it("does not repeat a request after two crashes that it has seen itself", () => {
        crash("a", deadly, 1_000);
        expect(crashes.mayRepeat([deadly], 0)).to.equal(true);
        crash("b", deadly, 1_100);
        expect(crashes.mayRepeat(["p", deadly], 0)).to.equal(false);
        crashes.recordBegun([deadly], 1_200);
        expect(crashes.mayRepeat([deadly], 0)).to.equal(true);
    });

    // Guards against a second repeat that is decided before the probe of the second endpoint has ended.
    it("does not repeat a request after a crash and a loss of which it does not know yet whether it is one", () => {
        crash("a", deadly, 1_000);
        crashes.recordLoss({ id: "a", startedAt: 1 }, deadly, 1_000);
        expect(crashes.mayRepeat([deadly], 1_000)).to.equal(true);
        const endLoss = crashes.recordLoss({ id: "b", startedAt: 1 }, deadly, 1_050);
        expect(crashes.mayRepeat([deadly], 1_050)).to.equal(false);
        expect(crashes.mayRepeat([sound], 1_050)).to.equal(true);
        expect(crashes.withheld([deadly], 1_050)).to.equal(undefined);
        endLoss();
        expect(crashes.mayRepeat([deadly], 1_100)).to.equal(true);
        crashes.recordLoss({ id: "c", startedAt: 1 }, deadly, 1_200);
        expect(crashes.mayRepeat([deadly], 1_200)).to.equal(false);
        crashes.recordBegun([deadly], 1_300);
        expect(crashes.mayRepeat([deadly], 1_300)).to.equal(true);
    });

    // Guards against requests that are not repeated although the endpoints that lost them live on.
    it("repeats a request that was lost twice if neither loss is known to be a crash", () => {
        crashes.recordLoss({ id: "a", startedAt: 1 }, deadly, 1_000);
        crashes.recordLoss({ id: "b", startedAt: 1 }, deadly, 1_001);
        expect(crashes.mayRepeat([deadly], 1_001)).to.equal(true);
    });

    it("adds crashes of which the leader has not heard to those that it counts", () => {
        crashes.applySuspects({ [deadly]: 2 });
        expect(crashes.withheld([deadly], 900)).to.equal(undefined);
        crash("a", deadly, 1_000);
        expect(crashes.withheld(["p", deadly], 1_100)).to.equal(deadly);
        expect(crashes.withheld([sound], 1_100)).to.equal(undefined);
        crashes.acknowledge("x", crashes.crashReports(1_100), 1_100);
        expect(crashes.withheld([deadly], 1_100)).to.equal(undefined);
        crashes.applySuspects({ [deadly]: 3 });
        expect(crashes.withheld([deadly], 1_100)).to.equal(deadly);
    });

    // Guards against requests that reach endpoints again while a new leader has not heard of all crashes.
    it("withholds by the count of the leader before for some time", () => {
        crashes.acknowledge("x", [], 1_000);
        crashes.applySuspects({ [deadly]: 3 });
        crashes.acknowledge("y", [], 2_000);
        crashes.applySuspects({});
        expect(crashes.withheld([deadly], 4_999)).to.equal(deadly);
        expect(crashes.withheld([deadly], 5_000)).to.equal(undefined);
    });

    // Guards against withholding a request that many callers send and that waited in each crash.
    it("sends a suspected request that it has seen answered lately", () => {
        crashes.recordBegun([sound], 500);
        crashes.applySuspects({ [sound]: 5 });
        expect(crashes.withheld([sound], 1_000)).to.equal(undefined);
        expect(crashes.withheld([sound], 60_500)).to.equal(sound);
    });

    it("does not hold crashes that a verdict explains against the requests beside it", () => {
        ["a", "b", "c"].forEach(endpoint => {
            crash(endpoint, deadly, 1_000);
            crash(endpoint, sound, 1_000);
        });
        expect(crashes.withheld([sound], 1_100)).to.equal(sound);
        crashes.applyBlocked([{ part: deadly }]);
        expect(crashes.withheld([sound], 1_100)).to.equal(undefined);
        expect(crashes.mayRepeat([sound], 0)).to.equal(true);
        expect(crashes.mayRepeat([deadly], 0)).to.equal(false);
        expect(crashes.blockingPart([sound, deadly])).to.equal(deadly);
    });
});
