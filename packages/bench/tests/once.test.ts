import type { ClaimRules } from "@lentilramp/claims";
import { allClaimRules } from "@lentilramp/claims";
import { expect } from "chai";
import { crashPlans, orderPlans, randomPlans } from "../src/experiments/once/plans.ts";
import type { RunPlan } from "../src/experiments/once/world.ts";
import { runPlan } from "../src/experiments/once/world.ts";

const seed = 1;
const orderStep = 29;
const randomRuns = 400;

function* every<T>(items: Iterable<T>, step: number): Iterable<T> {
    let i = 0;
    for (const item of items) {
        if (i++ % step === 0) {
            yield item;
        }
    }
}

async function violations(plans: Iterable<RunPlan> | AsyncIterable<RunPlan>): Promise<Set<string>> {
    const found = new Set<string>();
    for await (const plan of plans) {
        (await runPlan(plan)).violations.forEach(name => found.add(name));
    }
    return found;
}

async function violationsWith(rules: ClaimRules): Promise<Set<string>> {
    return new Set([
        ...await violations(every(orderPlans(rules), orderStep)),
        ...await violations(every(orderPlans(rules, "deposit 90 EUR"), orderStep)),
        ...await violations(randomPlans(seed, randomRuns, rules)),
    ]);
}

describe("at-most-once execution", () => {
    // Guards against a second execution or an untrue answer after one fault at any point of a call.
    it("holds at each crash point of one variant", async () => {
        expect([...await violations(crashPlans(seed, 1))]).to.deep.equal([]);
    });

    // Guards against the same under orders of copies, other bodies and random faults.
    it("holds in a sample of orders and random plans", async () => {
        expect([...await violationsWith(allClaimRules)]).to.deep.equal([]);
    });

    // Guards against checks that would not see the failure: each rule, when off, must fail its check.
    const broken: [keyof ClaimRules, string][] = [
        ["claimQuorum", "double execution"],
        ["seal", "untrue not-run"],
        ["identityCheck", "double execution"],
        ["expiryCheck", "double execution"],
        ["digestCheck", "answer to another body"],
    ];
    for (const [rule, violation] of broken) {
        it(`fails without ${rule}`, async () => {
            expect([...await violationsWith({ ...allClaimRules, [rule]: false })]).to.include(violation);
        });
    }
});
