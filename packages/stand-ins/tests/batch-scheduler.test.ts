import { expect } from "chai";
import fc from "fast-check";
import type { Sequence } from "../src/engine/batch-scheduler.ts";
import { BatchScheduler } from "../src/engine/batch-scheduler.ts";

const limits = { stepMs: 10, prefillTokensPerSecond: 1_000, stepTokenBudget: 32, maxBatch: 4 };
const sequence = (id: string, priority: number, prefillLeft: number): Sequence => ({
    id,
    priority,
    prefillLeft,
    nextOffset: 0,
    endOffset: 100,
    paused: false,
});

describe("BatchScheduler", () => {
    // Guards against a step that exceeds its token budget or batch size, or starves the highest priority.
    it("keeps the budget and serves the highest priority first", () => {
        fc.assert(
            fc.property(
                fc.array(fc.tuple(fc.integer({ min: 0, max: 2 }), fc.integer({ min: 0, max: 80 })), { minLength: 1 }),
                requests => {
                    const scheduler = new BatchScheduler(limits);
                    const sequences = requests.map(([priority, prefill], index) =>
                        sequence(String(index), priority, prefill)
                    );
                    sequences.forEach(item => scheduler.add(item));
                    const before = scheduler.queuedPrefillTokens;
                    const plan = scheduler.planStep();
                    const prefilled = before - scheduler.queuedPrefillTokens;
                    const decodedOnly = plan!.decoded.length - plan!.prefilled.length;
                    expect(prefilled + decodedOnly).to.be.at.most(limits.stepTokenBudget);
                    expect(plan!.decoded.length).to.be.at.most(limits.maxBatch);
                    expect(plan!.durationMs).to.equal(limits.stepMs + prefilled);
                    const best = Math.min(...sequences.map(item => item.priority));
                    const first = sequences.find(item => item.priority === best);
                    const [, prefill] = requests[Number(first?.id)]!;
                    expect(prefill > 0 ? first!.prefillLeft < prefill : plan!.decoded.includes(first!)).to.equal(true);
                },
            ),
            { seed: 11, numRuns: 300 },
        );
    });
});
