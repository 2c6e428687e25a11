import type { AdmissionRequest, Ticket } from "@lentilramp/limits";
import {
    ConcurrencyLimit,
    FairAdmissionPolicy,
    FairQueue,
    fairQueueDefaults,
    FairShares,
    latencyTargetDefaults,
    LatencyTargetLimit,
} from "@lentilramp/limits";
import { expect } from "chai";
import fc from "fast-check";

class FixedLimit extends ConcurrencyLimit {
    constructor(override readonly limit: number) {
        super();
    }

    override onSample(): void {}
}

const request = (change: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
    workspace: "w",
    priority: "normal",
    deadline: 100_000,
    cost: 1,
    kind: "k",
    ...change,
});
const ticket = (change: Partial<AdmissionRequest>): Ticket => ({ request: request(change), admittedAt: 0 });

/** Returns a policy with a concurrency limit of 1 that has recorded service times of `ms`. */
function trainedPolicy(ms: number, options = {}): FairAdmissionPolicy {
    const policy = new FairAdmissionPolicy(new FixedLimit(1), options);
    for (let i = 0; i < 200; i++) {
        policy.admit(request(), 0);
        policy.onFinished(policy.next(0) as Ticket, true, ms);
    }
    return policy;
}

describe("FairShares", () => {
    // A busy key must not receive more than its share in any interval.
    it("serves keys that have work in proportion to their weights, so that a busy key does not starve others", () => {
        const key = fc.record({ weight: fc.integer({ min: 1, max: 5 }), cost: fc.integer({ min: 1, max: 20 }) });
        fc.assert(
            fc.property(fc.array(key, { minLength: 2, maxLength: 6 }), fc.nat(200), (keys, rounds) => {
                const shares = new FairShares<number>(i => keys[i]!.weight);
                const served = keys.map(() => 0);
                for (let round = 0; round < rounds; round++) {
                    const next = shares.next(keys.keys()) as number;
                    shares.charge(next, keys[next]!.cost);
                    served[next]! += keys[next]!.cost / keys[next]!.weight;
                }
                const largest = Math.max(...keys.map(({ cost, weight }) => cost / weight));
                expect(Math.max(...served) - Math.min(...served)).to.be.at.most(2 * largest);
            }),
            { seed: 21 },
        );
    });

    it("gives no credit for idle time, so that a key that was idle does not block the others afterwards", () => {
        const shares = new FairShares<string>(() => 1);
        for (let i = 0; i < 100; i++) {
            shares.charge("busy", 1);
        }
        const order = Array.from(Array(10).keys(), () => {
            const next = shares.next(["idle", "busy"]) as string;
            shares.charge(next, 1);
            return next;
        });
        expect(order.filter(key => key === "busy").length).to.be.within(4, 6);
    });
});

describe("FairQueue", () => {
    it("serves small workspaces beside a large one, and low priorities beside high ones, without starvation", () => {
        const queue = new FairQueue();
        for (let i = 0; i < 100; i++) {
            queue.push(ticket({ workspace: "large", priority: "high" }));
            queue.push(ticket({ workspace: "large", priority: "low" }));
        }
        for (let i = 0; i < 4; i++) {
            queue.push(ticket({ workspace: `small ${i}` }));
        }
        const first = Array.from(Array(40).keys(), () => {
            const taken = queue.take() as Ticket;
            queue.charge(taken);
            return taken.request;
        });
        const last = first.findLastIndex(({ workspace }) => workspace !== "large");
        expect(last).to.be.below(9);
        expect(first.filter(({ priority }) => priority === "low").length).to.be.within(2, 6);
    });

    // Prevents a full queue from refusing important or small callers, and unbounded memory use.
    it("displaces tickets by priority, then by the queued work of the workspace, when the queue is full", () => {
        const queue = new FairQueue();
        queue.push(ticket({ workspace: "a", priority: "low" }));
        queue.push(ticket({ workspace: "b", priority: "normal" }));
        queue.push(ticket({ workspace: "b", priority: "normal" }));
        expect(queue.displace("c", "high")?.request.priority).to.equal("low");
        expect(queue.displace("c", "normal")?.request.workspace).to.equal("b");
        expect(queue.displace("b", "normal")).to.equal(undefined);
        expect(queue.displace("c", "low")).to.equal(undefined);
        expect([queue.size, queue.cost]).to.deep.equal([1, 1]);
    });
});

describe("FairAdmissionPolicy", () => {
    // Prevents accepted requests that miss their deadlines, and retry delays after which the retry is refused too.
    it("refuses a request that would miss its deadline in the queue, and admits it after the retry delay", () => {
        const policy = trainedPolicy(100, { maxWaitMs: 10_000, uncachedWaitShare: 1 });
        for (let i = 0; i < 11; i++) {
            policy.admit(request(), 0);
        }
        const running = policy.next(0) as Ticket;
        const refusal = policy.admit(request({ deadline: 1_000 }), 0).unwrapErr();
        expect(refusal.kind).to.equal("deadline");
        let now = 0;
        for (let next: Ticket | undefined = running; next && now < refusal.retryAfterMs; next = policy.next(now)) {
            now += 100;
            policy.onFinished(next, true, now);
        }
        expect(policy.admit(request({ deadline: now + 1_000 }), now).isOk()).to.be.true;
    });

    // Prevents queues that stay long after an overload, and keeps the cheapest requests.
    it("bounds the expected wait, with a lower bound for requests without cached work", () => {
        const policy = trainedPolicy(100, { maxWaitMs: 1_000 });
        for (let i = 0; i < 6; i++) {
            policy.admit(request({ cachedShare: 1 }), 0);
        }
        expect(policy.admit(request(), 0).isErr()).to.be.true;
        expect(policy.admit(request({ cachedShare: 1 }), 0).isOk()).to.be.true;
        for (let i = 0; i < 10; i++) {
            policy.admit(request({ cachedShare: 1 }), 0);
        }
        expect(policy.admit(request({ cachedShare: 1 }), 0).isErr()).to.be.true;
    });

    it("allows a longer wait below the fair share, so that a large workspace does not lock out a small one", () => {
        const policy = trainedPolicy(100, { maxWaitMs: 1_000 });
        for (let i = 0; i < 7; i++) {
            policy.admit(request({ workspace: "large", cachedShare: 1 }), 0);
        }
        policy.admit(request({ workspace: "small", cachedShare: 1 }), 0);
        policy.admit(request({ workspace: "small", cachedShare: 1 }), 0);
        expect(policy.admit(request({ workspace: "large" }), 0).isErr()).to.be.true;
        expect(policy.admit(request({ workspace: "small" }), 0).isOk()).to.be.true;
    });

    // After a slow period, all requests would be refused and no sample could correct the estimate.
    it("admits one request of a kind despite a high estimate, so that the kind is not locked out", () => {
        const policy = trainedPolicy(5_000);
        expect(policy.admit(request({ deadline: 1_000 }), 0).isOk()).to.be.true;
        expect(policy.next(0)).to.not.equal(undefined);
        expect(policy.admit(request({ deadline: 1_000 }), 0).isErr()).to.be.true;
        expect(policy.admit(request({ kind: "other", deadline: 0 }), 0).isErr()).to.be.true;
    });

    // Prevents the dispatch of requests that became late in the queue, and refusals that are never answered.
    it("refuses queued requests that can no longer end by their deadline", () => {
        const policy = trainedPolicy(100);
        policy.admit(request(), 0);
        const first = policy.next(0) as Ticket;
        const late = policy.admit(request({ deadline: 400 }), 0).unwrap();
        policy.admit(request(), 0);
        policy.onFinished(first, true, 350);
        expect(policy.next(350)).to.not.equal(late);
        expect(policy.takeRefused().map(({ ticket, refusal }) => [ticket, refusal.kind])).to.deep.equal([
            [late, "deadline"],
        ]);
        expect(policy.takeRefused()).to.deep.equal([]);
    });

    it("bounds the queue of each workspace and priority, so that a busy one does not fill the whole queue", () => {
        const policy = new FairAdmissionPolicy(new FixedLimit(1), { maxPerClass: 2 });
        const admit = (change: Partial<AdmissionRequest>) => policy.admit(request(change), 0).isOk();
        expect([1, 2, 3].map(() => admit({}))).to.deep.equal([true, true, false]);
        expect(admit({ priority: "low" })).to.be.true;
        expect(admit({ workspace: "other" })).to.be.true;
    });

    // Prevents lost tickets and leaks: each ticket is queued, in flight, ended or refused, within the bounds.
    it("accounts for every admitted ticket under random arrivals", () => {
        const arrival = fc.record({
            workspace: fc.constantFrom("a", "b"),
            priority: fc.constantFrom("high" as const, "normal" as const, "low" as const),
            take: fc.boolean(),
        });
        fc.assert(
            fc.property(fc.array(arrival, { maxLength: 100, size: "max" }), arrivals => {
                const options = { ...fairQueueDefaults, maxPerClass: 4, maxTotal: 10 };
                const policy = new FairAdmissionPolicy(new FixedLimit(3), options);
                let admitted = 0;
                let ended = 0;
                let refused = 0;
                for (const { take, ...change } of arrivals) {
                    admitted += policy.admit(request(change), 0).isOk() ? 1 : 0;
                    const next = take ? policy.next(0) : undefined;
                    if (next && ended % 2 === 0) {
                        policy.onFinished(next, true, 0);
                        ended++;
                    }
                    refused += policy.takeRefused().length;
                    expect(policy.queued).to.be.at.most(10);
                    expect(policy.inFlight).to.be.at.most(3);
                    expect(policy.queued + policy.inFlight + ended + refused).to.equal(admitted);
                }
            }),
            { seed: 22 },
        );
    });
});

describe("LatencyTargetLimit", () => {
    const feedSamples = (limit: LatencyTargetLimit, ms: number, succeeded = true, inFlight = () => limit.limit) => {
        for (let i = 0; i < 40 * latencyTargetDefaults.windowSamples; i++) {
            limit.onSample(ms, inFlight(), succeeded);
        }
        return limit.limit;
    };

    // Prevents a limit that stays too high for slow or failing endpoints, or too low for fast ones.
    it("adapts to the latency, and grows only while it is used up", () => {
        const { initialLimit, minLimit, targetMs } = latencyTargetDefaults;
        expect(feedSamples(new LatencyTargetLimit(), targetMs / 2)).to.be.above(2 * initialLimit);
        expect(feedSamples(new LatencyTargetLimit(), targetMs / 2, true, () => 1)).to.equal(initialLimit);
        expect(feedSamples(new LatencyTargetLimit(), targetMs * 2)).to.equal(minLimit);
        expect(feedSamples(new LatencyTargetLimit(), targetMs / 2, false)).to.equal(minLimit);
    });
});
