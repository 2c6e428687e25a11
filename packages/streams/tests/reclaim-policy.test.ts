import type { ReclaimedStream } from "@lentilramp/streams";
import { BudgetedReclaim, decideExportFallback, ObservedLengthModel, planReclaim } from "@lentilramp/streams";
import { PrecopyAfterNotice, tokensToRecompute } from "@lentilramp/streams";
import { expect } from "chai";
import fc from "fast-check";

const stream = (id: string, overrides: Partial<ReclaimedStream> = {}): ReclaimedStream => ({
    id,
    promptTokens: 1_000,
    producedTokens: 0,
    uncomputedTokens: 0,
    remainingTokens: 1_000,
    tokenIntervalMs: 20,
    kvBytesPerToken: 1_000,
    targetCachedTokens: 0,
    deadline: 60_000,
    canExport: true,
    ...overrides,
});
const notice = { reclaimAt: 5_000 };
const bandwidth = { bytesPerSecond: 1e6, targetsKeepPartial: false };
const actions = (streams: ReclaimedStream[], exportBandwidth = bandwidth) =>
    Object.fromEntries(
        planReclaim(streams, notice, exportBandwidth, 0).steps.map(step => [step.streamId, step.action]),
    );

describe("planReclaim", () => {
    it("neither moves a stream that ends before the reclaim nor keeps one that ends within the margin", () => {
        const result = actions([stream("a", { remainingTokens: 225 }), stream("b", { remainingTokens: 226 })]);
        expect(result).to.deep.equal({ a: "finish", b: "export" });
    });

    it("spends no bandwidth on tokens that the target holds, nor on a later deadline first", () => {
        const streams = [
            stream("1-late", { deadline: 90_000 }),
            stream("2-early"),
            stream("3-held", { targetCachedTokens: 990 }),
        ];
        const plan = planReclaim(streams, notice, { ...bandwidth, bytesPerSecond: 0.25e6 }, 0);
        const steps = plan.steps.map(({ streamId, action, startAt }) => [streamId, action, Math.round(startAt)]);
        expect(steps).to.deep.equal([["2-early", "export", 0], ["3-held", "export", 4_000], [
            "1-late",
            "recompute",
            4_950,
        ]]);
    });

    it("does not export streams first that have probably ended by the reclaim", () => {
        const lengths = new ObservedLengthModel();
        for (let length = 400; length <= 1_000; length += 10) {
            lengths.record(length, 1_000);
        }
        const policy = new BudgetedReclaim({ lengthModel: lengths });
        const late = stream("late", { producedTokens: 600, remainingTokens: 400, promptTokens: 400, deadline: 1 });
        const early = stream("early", { producedTokens: 100, remainingTokens: 900, promptTokens: 900 });
        const plan = policy.plan([late, early], notice, bandwidth, 0);
        expect(plan.steps.map(({ streamId }) => streamId)).to.deep.equal(["early", "late"]);
    });

    it("leaves no bandwidth unused before the reclaim when targets keep the part that arrives", () => {
        const rate = { bytesPerSecond: 0.1e6, targetsKeepPartial: true };
        const { steps } = planReclaim([stream("a"), stream("b")], notice, rate, 0);
        expect(steps[0]).to.deep.equal({
            streamId: "a",
            action: "export",
            startAt: 0,
            endAt: 4_950,
            recomputedTokens: 505,
        });
        expect(steps[1]).to.include({ streamId: "b", action: "recompute" });
    });

    it("neither waits for a stream that has not started nor exports its empty KV cache", () => {
        const { steps } = planReclaim([stream("a", { uncomputedTokens: 1_000 })], notice, bandwidth, 0);
        expect(steps[0]).to.include({ action: "recompute", startAt: 0, recomputedTokens: 0 });
    });

    it("does not export a stream when no target has room for its KV cache", () => {
        expect(actions([stream("a", { canExport: false })])).to.deep.equal({ a: "recompute" });
    });

    it("neither omits a stream nor plans exports that overlap or exceed bandwidth or notice", () => {
        const streams = fc.array(
            fc.record({
                promptTokens: fc.integer({ min: 1, max: 4_000 }),
                producedTokens: fc.integer({ min: 0, max: 2_000 }),
                remainingTokens: fc.integer({ min: 1, max: 2_000 }),
                targetCachedTokens: fc.integer({ min: 0, max: 4_000 }),
                canExport: fc.boolean(),
            }),
            { maxLength: 40 },
        );
        fc.assert(
            fc.property(
                streams,
                fc.integer({ min: 0, max: 6_000 }),
                fc.boolean(),
                (allOverrides, now, targetsKeepPartial) => {
                    const all = allOverrides.map((change, index) => stream(String(index), change));
                    const plan = planReclaim(all, notice, { ...bandwidth, targetsKeepPartial }, now);
                    expect(plan.steps.map(step => step.streamId).sort()).to.deep.equal(all.map(({ id }) => id).sort());
                    let freeAt = now;
                    for (const step of plan.steps) {
                        const planned = all.find(({ id }) => id === step.streamId)!;
                        if (step.action === "export") {
                            expect(step.startAt).to.be.at.least(freeAt);
                            freeAt = step.endAt;
                            const tokens = tokensToRecompute(planned) - step.recomputedTokens;
                            const leastMs = tokens * planned.kvBytesPerToken / bandwidth.bytesPerSecond * 1_000;
                            expect(step.endAt - step.startAt).to.be.at.least(leastMs - 1);
                            expect(planned.canExport).to.equal(true);
                        }
                        if (step.action !== "recompute") {
                            expect(step.endAt).to.be.at.most(notice.reclaimAt);
                        }
                        if (step.action === "recompute") {
                            expect(step.recomputedTokens).to.equal(tokensToRecompute(planned));
                        }
                    }
                },
            ),
            { seed: 23, numRuns: 300 },
        );
    });
});

describe("decideExportFallback", () => {
    const decide = (kind: "cut" | "refused", now: number, overrides: object = {}, targetsKeepPartial = true) =>
        decideExportFallback(
            stream("a"),
            { kind, target: "t1", targetCachedTokens: 400, failureCount: 1, ...overrides },
            ["t1", "t2"],
            4_950,
            { ...bandwidth, targetsKeepPartial },
            now,
        );

    it("neither retries a target that refused nor resends the tokens that a target kept", () => {
        expect(decide("cut", 0)).to.deep.equal({ kind: "export-again", target: "t1", fromToken: 400 });
        expect(decide("cut", 0, {}, false)).to.deep.equal({ kind: "export-again", target: "t1", fromToken: 0 });
        expect(decide("refused", 0)).to.deep.equal({ kind: "export-again", target: "t2", fromToken: 0 });
    });

    // The tokens that the target kept must still be used.
    it("does not continue an export that the reclaim would cut again or that has failed too often", () => {
        const recomputeRest = { kind: "recompute", target: "t1", importedTokens: 400 };
        expect(decide("cut", 4_350)).to.include({ kind: "export-again" });
        expect(decide("cut", 4_351)).to.deep.equal(recomputeRest);
        expect(decide("cut", 0, { failureCount: 3 })).to.deep.equal(recomputeRest);
        expect(decide("refused", 4_351)).to.deep.equal({ kind: "recompute", importedTokens: 0 });
    });
});

describe("PrecopyAfterNotice", () => {
    const streams = [stream("short", { promptTokens: 300 }), stream("long"), stream("ending", { remainingTokens: 10 })];

    it("causes no traffic for copies without a recent notice, nor for streams that end soon", () => {
        const policy = new PrecopyAfterNotice({ windowMs: 1_000 });
        expect(policy.choose(streams, 0)).to.equal(undefined);
        policy.onNotice(0);
        expect(policy.choose(streams, 999)?.id).to.equal("long");
        expect(policy.choose([stream("ending", { remainingTokens: 10 })], 999)).to.equal(undefined);
        expect(policy.choose(streams, 1_000)).to.equal(undefined);
    });
});

describe("ObservedLengthModel", () => {
    it("returns no probability outside [0, 1] or one that grows with the number of further tokens", () => {
        const answers = fc.array(fc.tuple(fc.integer({ min: 1, max: 500 }), fc.integer({ min: 500, max: 600 })));
        fc.assert(
            fc.property(answers, fc.integer({ min: 0, max: 599 }), (completedAnswers, produced) => {
                const model = new ObservedLengthModel();
                completedAnswers.forEach(([length, bound]) => model.record(length, bound));
                let last = 1;
                for (let furtherTokens = 0; furtherTokens <= 600; furtherTokens += 50) {
                    const survival = model.survival(produced, 600, furtherTokens);
                    expect(survival).to.be.within(0, last);
                    last = survival;
                }
                expect(last).to.equal(0);
            }),
            { seed: 24, numRuns: 200 },
        );
    });
});
