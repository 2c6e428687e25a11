import type { ReclaimedStream } from "@lentilramp/streams";
import { afterExportFailure, planReclaim, tokensToRecompute } from "@lentilramp/streams";
import { expect } from "chai";
import fc from "fast-check";

const stream = (id: string, change: Partial<ReclaimedStream> = {}): ReclaimedStream => ({
    id,
    promptTokens: 1_000,
    producedTokens: 0,
    uncomputedTokens: 0,
    remainingTokens: 1_000,
    tokenIntervalMs: 20,
    kvBytesPerToken: 1_000,
    cachedPromptTokens: 0,
    deadline: 60_000,
    canExport: true,
    ...change,
});
const notice = { reclaimAt: 5_000 };
const bandwidth = { bytesPerSecond: 1e6 };
const actions = (streams: ReclaimedStream[], rate = bandwidth) =>
    Object.fromEntries(planReclaim(streams, notice, rate, 0).steps.map(step => [step.streamId, step.action]));

describe("planReclaim", () => {
    // Guards against moving a stream that ends before the reclaim, and keeping one that ends within the margin.
    it("lets streams finish that end before the margin", () => {
        const result = actions([stream("a", { remainingTokens: 218 }), stream("b", { remainingTokens: 219 })]);
        expect(result).to.deep.equal({ a: "finish", b: "export" });
    });

    // Guards against bandwidth spent on streams that are cheap to recompute, and on a relaxed deadline first.
    it("exports by tokens saved for each byte, then by deadline, and recomputes the rest", () => {
        const result = actions(
            [
                stream("cached", { cachedPromptTokens: 800, deadline: 1 }),
                stream("late", { deadline: 90_000 }),
                stream("early", { deadline: 30_000 }),
                stream("mid", { deadline: 60_000 }),
            ],
            { bytesPerSecond: 0.6e6 },
        );
        expect(result).to.deep.equal({ early: "export", mid: "export", late: "recompute", cached: "recompute" });
    });

    // Guards against waiting for a stream that has not begun, and against exporting a KV cache that is still empty.
    it("recomputes a stream that has not begun, although it is short", () => {
        const result = actions([stream("a", { remainingTokens: 10, uncomputedTokens: 1_000 })]);
        expect(result).to.deep.equal({ a: "recompute" });
    });

    // Guards against an export to an endpoint without room.
    it("recomputes when no target has room", () => {
        expect(actions([stream("a", { canExport: false })])).to.deep.equal({ a: "recompute" });
    });

    // Guards against a plan that forgets a stream, overlaps exports or uses more than the bandwidth and the notice.
    it("plans each stream once and keeps exports within bandwidth and notice", () => {
        const streams = fc.array(
            fc.record({
                promptTokens: fc.integer({ min: 1, max: 4_000 }),
                producedTokens: fc.integer({ min: 0, max: 2_000 }),
                remainingTokens: fc.integer({ min: 1, max: 2_000 }),
                cachedPromptTokens: fc.integer({ min: 0, max: 4_000 }),
                canExport: fc.boolean(),
            }),
            { maxLength: 40 },
        );
        fc.assert(
            fc.property(streams, fc.integer({ min: 0, max: 6_000 }), (changes, now) => {
                const all = changes.map((change, index) => stream(String(index), change));
                const plan = planReclaim(all, notice, bandwidth, now);
                expect(plan.steps.map(step => step.streamId).sort()).to.deep.equal(all.map(({ id }) => id).sort());
                let freeAt = now;
                for (const step of plan.steps) {
                    const planned = all.find(({ id }) => id === step.streamId)!;
                    if (step.action === "export") {
                        expect(step.startAt).to.be.at.least(freeAt);
                        freeAt = step.endAt;
                        const bytes = (planned.promptTokens + planned.producedTokens) * planned.kvBytesPerToken;
                        expect(step.endAt - step.startAt).to.be.at.least(
                            bytes / bandwidth.bytesPerSecond * 1_000 - 1e-6,
                        );
                        expect(planned.canExport).to.equal(true);
                    }
                    if (step.action !== "recompute") {
                        expect(step.endAt).to.be.at.most(notice.reclaimAt);
                    }
                    expect(step.recomputedTokens).to.equal(
                        step.action === "recompute" ? tokensToRecompute(planned) : 0,
                    );
                }
            }),
            { seed: 23, numRuns: 300 },
        );
    });
});

describe("afterExportFailure", () => {
    const decide = (kind: "cut" | "refused", targets: string[], now: number, failures = 1) =>
        afterExportFailure(stream("a"), { kind, target: "t1", failures }, targets, notice, bandwidth, now);

    // Guards against asking a target again that has refused, and against dropping an export that can be repeated.
    it("repeats a cut export, and a refused one only to another target", () => {
        expect(decide("cut", ["t1"], 0)).to.deep.equal({ kind: "export-again", target: "t1" });
        expect(decide("refused", ["t1", "t2"], 0)).to.deep.equal({ kind: "export-again", target: "t2" });
        expect(decide("refused", ["t1"], 0)).to.deep.equal({ kind: "recompute" });
    });

    // Guards against a repetition that the reclaim cuts again, and against endless repetition.
    it("recomputes when the time or the number of attempts is used up", () => {
        expect(decide("cut", ["t1"], 3_800)).to.deep.equal({ kind: "export-again", target: "t1" });
        expect(decide("cut", ["t1"], 3_801)).to.deep.equal({ kind: "recompute" });
        expect(decide("cut", ["t1"], 0, 3)).to.deep.equal({ kind: "recompute" });
    });
});
