import type { FailedAttempt, FailureKind, RequestKind } from "@lentilramp/retries";
import {
    backoffDefaults,
    backoffMs,
    BudgetedRetryPolicy,
    isEndpointFault,
    mayRetry,
    QuantileHedgingPolicy,
    RetryBudget,
    retryBudgetDefaults,
} from "@lentilramp/retries";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import fc from "fast-check";

const failures: FailureKind[] = [
    "not-sent",
    "overloaded",
    "connection-lost",
    "timeout",
    "server-error",
    "request-error",
    "cancelled",
];

function filledBudget(): RetryBudget {
    const budget = new RetryBudget();
    for (let i = 0; i < 100; i++) {
        budget.recordRequest(0);
    }
    return budget;
}

describe("RetryBudget", () => {
    // Guards against a retry storm: more than 1.1 times the callers' load under any pattern of requests.
    it("never lets the retries exceed a tenth of all requests", () => {
        const event = fc.record({ after: fc.nat(3_000), requests: fc.nat(40), tries: fc.nat(40) });
        fc.assert(
            fc.property(fc.array(event, { maxLength: 60 }), events => {
                const budget = new RetryBudget();
                let now = 0;
                let requests = 0;
                let withdrawn = 0;
                for (const { after, requests: count, tries } of events) {
                    now += after;
                    for (let i = 0; i < count; i++) {
                        budget.recordRequest(now);
                    }
                    requests += count;
                    for (let i = 0; i < tries; i++) {
                        withdrawn += budget.tryWithdraw(now) ? 1 : 0;
                    }
                    expect(withdrawn === 0 || withdrawn < requests * retryBudgetDefaults.ratio).to.be.true;
                }
            }),
            { seed: 31 },
        );
    });

    // Guards against retries paid from requests of long ago, which say nothing about the load now.
    it("forgets requests that left the window", () => {
        expect(filledBudget().tryWithdraw(retryBudgetDefaults.windowMs - 1)).to.be.true;
        expect(filledBudget().tryWithdraw(retryBudgetDefaults.windowMs)).to.be.false;
    });
});

describe("mayRetry", () => {
    // Guards against a second execution of a call that must run at most once.
    it("repeats a non-idempotent call only when no byte was sent", () => {
        expect(failures.filter(failure => mayRetry("non-idempotent", failure))).to.deep.equal(["not-sent"]);
    });

    // Guards against retries that cannot help, and against ejection of endpoints without a fault.
    it("repeats no failure that the request or the caller caused, and blames no endpoint for it", () => {
        for (const kind of ["plain", "stream"] satisfies RequestKind[]) {
            expect(failures.filter(failure => !mayRetry(kind, failure))).to.deep.equal(["request-error", "cancelled"]);
        }
        const blameless = ["overloaded", "request-error", "cancelled"];
        expect(failures.filter(failure => !isEndpointFault(failure))).to.deep.equal(blameless);
    });
});

describe("BudgetedRetryPolicy", () => {
    const failed: FailedAttempt = {
        request: "plain",
        failure: "timeout",
        attempts: 1,
        deadline: 10_000,
        minAttemptMs: 100,
    };
    const policy = (budget = filledBudget()) => new BudgetedRetryPolicy(budget, new SeededRandom(1));
    const refusal = (change: Partial<FailedAttempt>) => policy().onFailure({ ...failed, ...change }, 0).unwrapErr();

    // Guards against retries after the deadline, without end, or beyond the budget.
    it("refuses what cannot help", () => {
        expect(refusal({ request: "non-idempotent" })).to.equal("not-retryable");
        expect(refusal({ attempts: 3 })).to.equal("attempts-used");
        expect(refusal({ deadline: 99 })).to.equal("deadline");
        expect(policy(new RetryBudget()).onFailure(failed, 0).unwrapErr()).to.equal("budget-empty");
    });

    // Guards against a budget used up by retries that do not take place.
    it("withdraws only for retries that take place", () => {
        const budget = filledBudget();
        for (let i = 0; i < 50; i++) {
            policy(budget).onFailure({ ...failed, deadline: 99 }, 0);
        }
        expect(policy(budget).onFailure(failed, 0).isOk()).to.be.true;
    });

    // Guards against retries of simultaneous failures at one instant, and against unbounded waits.
    it("spreads retries over a bounded time", () => {
        const random = new SeededRandom(2);
        const times = Array.from(Array(200).keys(), i => backoffMs(1 + i % 20, random));
        expect(new Set(times).size).to.equal(200);
        expect(Math.max(...times)).to.be.at.most(backoffDefaults.maxMs);
    });
});

describe("QuantileHedgingPolicy", () => {
    // Guards against a copy of a non-idempotent call, and against copies beyond the common budget.
    it("hedges plain calls only, from the budget of the retries", () => {
        const budget = filledBudget();
        const policy = new QuantileHedgingPolicy(budget);
        expect(policy.hedgeAt("plain", 0)).to.equal(undefined);
        for (let i = 0; i < 2_000; i++) {
            policy.record(i % 10 === 9 ? 200 : 20);
        }
        expect(policy.hedgeAt("plain", 1_000)).to.be.within(1_150, 1_250);
        expect(policy.hedgeAt("non-idempotent", 0)).to.equal(undefined);
        expect(policy.tryHedge("non-idempotent", 10_000, 0)).to.be.false;
        expect(policy.tryHedge("plain", 0, 0)).to.be.false;
        const sent = Array.from(Array(20).keys(), () => policy.tryHedge("plain", 10_000, 0));
        expect(sent.filter(Boolean)).to.have.length(9);
        expect(budget.tryWithdraw(0)).to.be.false;
    });
});
