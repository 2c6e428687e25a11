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
    // Retries must not raise the load above 1.1 times the callers' load under any pattern of requests.
    it("prevents retry storms: retries never exceed a tenth of all requests", () => {
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

    // Old requests do not reflect the current load and must not allow retries.
    it("does not count requests that have left the window", () => {
        expect(filledBudget().tryWithdraw(retryBudgetDefaults.windowMs - 1)).to.be.true;
        expect(filledBudget().tryWithdraw(retryBudgetDefaults.windowMs)).to.be.false;
    });
});

describe("mayRetry", () => {
    it("retries a non-idempotent call only if no byte was sent, so that it is executed at most once", () => {
        expect(failures.filter(failure => mayRetry("non-idempotent", failure))).to.deep.equal(["not-sent"]);
    });

    // Prevents retries that cannot succeed, and the ejection of healthy endpoints.
    it("neither retries failures caused by the request or the caller nor attributes them to the endpoint", () => {
        for (const kind of ["plain", "stream"] satisfies RequestKind[]) {
            expect(failures.filter(failure => !mayRetry(kind, failure))).to.deep.equal(["request-error", "cancelled"]);
        }
        const faultless = ["overloaded", "request-error", "cancelled"];
        expect(failures.filter(failure => !isEndpointFault(failure))).to.deep.equal(faultless);
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

    it("refuses retries that are unsafe, too many, after the deadline or beyond the budget", () => {
        expect(refusal({ request: "non-idempotent" })).to.equal("not-retryable");
        expect(refusal({ attempts: 3 })).to.equal("attempts-used");
        expect(refusal({ deadline: 99 })).to.equal("deadline");
        expect(policy(new RetryBudget()).onFailure(failed, 0).unwrapErr()).to.equal("budget-empty");
    });

    it("does not consume the budget for retries that do not take place", () => {
        const budget = filledBudget();
        for (let i = 0; i < 50; i++) {
            policy(budget).onFailure({ ...failed, deadline: 99 }, 0);
        }
        expect(policy(budget).onFailure(failed, 0).isOk()).to.be.true;
    });

    // Prevents simultaneous retries of requests that failed together, and unbounded delays.
    it("spreads retries over a bounded delay", () => {
        const random = new SeededRandom(2);
        const times = Array.from(Array(200).keys(), i => backoffMs(1 + i % 20, random));
        expect(new Set(times).size).to.equal(200);
        expect(Math.max(...times)).to.be.at.most(backoffDefaults.maxMs);
    });
});

describe("QuantileHedgingPolicy", () => {
    // Prevents hedges of non-idempotent calls, and hedges beyond the budget shared with retries.
    it("hedges only plain calls, within the retry budget", () => {
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
