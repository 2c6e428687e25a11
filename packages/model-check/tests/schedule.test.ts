import { AgreementNode, type NodeSettings, type Rule, SafetyError } from "@lentilramp/agreement";
import { InvariantViolation, randomSchedule, runSchedule, type ScheduleStep } from "@lentilramp/model-check";
import { expect } from "chai";
import * as fc from "fast-check";

const host = fc.integer({ min: 0, max: 4 });
const step: fc.Arbitrary<ScheduleStep> = fc.oneof(
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("run" as const), ms: fc.integer({ min: 1, max: 1_000 }) }) },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constantFrom("crash", "restart", "restart", "replace", "read", "hand-over" as const),
            host,
        }) as fc.Arbitrary<ScheduleStep>,
    },
    {
        weight: 2,
        arbitrary: fc.record({ kind: fc.constant("propose" as const), host, count: fc.integer({ min: 1, max: 12 }) }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("partition" as const),
            groups: fc.array(fc.integer({ min: 0, max: 1 }), { minLength: 5, maxLength: 5 }),
        }),
    },
);
const network = fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    hosts: fc.constantFrom(3, 3, 5),
    delayMs: fc.constantFrom(4, 5, 60),
    jitterMs: fc.constantFrom(0, 3, 150),
    loss: fc.constantFrom(0, 0.02, 0.05),
    duplication: fc.constantFrom(0, 0.05),
});

describe("agreement under random schedules", () => {
    // Guards against lost or changed commits, two leaders or leases, stale reads, and no progress after repair.
    it("keeps its guarantees and recovers", () => {
        fc.assert(
            fc.property(fc.array(step, { minLength: 10, maxLength: 80 }), network, (steps, settings) => {
                runSchedule(steps, settings);
            }),
            { seed: 20_260_801, numRuns: 400 },
        );
    });

    // Guards against a simulation that depends on anything but its seed, so that failures could not be repeated.
    it("repeats a run from its seed", () => {
        const run = () => {
            const { history, hosts, refused } = runSchedule(randomSchedule(5, 100), { seed: 5 });
            return [history.lastIndex, hosts.map(({ digest }) => digest), refused];
        };
        expect(run()).to.deep.equal(run());
    });

    // Guards against a simulation that would not notice a broken protocol.
    for (
        const off of [
            "reply-after-sync",
            "one-vote-a-term",
            "append-checks-previous",
            "read-after-own-commit",
            "hand-over-ends-lease",
        ]
    ) {
        it(`notices a node without ${off}`, () => {
            class Faulty extends AgreementNode {
                protected override enforces(rule: Rule): boolean {
                    return rule !== off;
                }
            }
            const createNode = (settings: NodeSettings) => new Faulty(settings);
            const found = [...Array(300).keys()].some(seed => {
                try {
                    runSchedule(randomSchedule(seed, 150), { seed, createNode, syncMs: 30 });
                    return false;
                }
                catch (err) {
                    return err instanceof InvariantViolation || err instanceof SafetyError;
                }
            });
            expect(found).to.equal(true);
        });
    }
});
