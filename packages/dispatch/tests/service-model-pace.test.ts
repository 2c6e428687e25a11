import { type DispatchRequest, EndpointPace, ServiceModel } from "@lentilramp/dispatch";
import { ManualClock, SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";

const request: DispatchRequest = {
    id: "r",
    service: "s",
    workspace: "w",
    rank: 0,
    arrivedAt: 0,
    targetAt: 1_000,
    deadline: 5_000,
    work: undefined,
};

describe("ServiceModel with endpoints that state their pace", () => {
    // Guards against an endpoint that takes half of its requests for half a minute after a spell of 3 s in which its machine
    // was slow: the many requests beside each other at that time were taken for the cause.
    it("finds no knee in a spell of slowness that the endpoint states, and one in slowness that it does not", () => {
        for (const [statedPace, fullAt] of [[300, undefined], [100, 3]] as const) {
            const clock = new ManualClock();
            const pace = new EndpointPace(clock);
            const model = new ServiceModel(pace);
            const answer = (id: string, running: number, ms: number, stated: number): void => {
                const endpoint = { id, failureDomain: "a", slots: 6 };
                pace.recordReport(id, stated);
                const prediction = model.predict(request, endpoint, { running, unreadTokens: 0, firstByteDelayMs: 0 });
                model.observe(ms, { endpoint, prediction, running });
            };
            const run = (forMs: number, running: (i: number) => number, ms: number, stated: number): void => {
                for (let i = 0; i < forMs / 50; i++) {
                    answer("a", running(i), 80, 100);
                    answer("b", running(i), 80, 100);
                    answer("c", running(i), ms, stated);
                    clock.advanceTo(clock.now() + 50);
                }
            };
            run(5_000, i => i % 2 + 1, 80, 100);
            run(3_000, i => i % 3 + 3, 240, statedPace);
            expect(pace.fullAt("c"), "slow").to.equal(fullAt);
            run(2_000, i => i % (fullAt ?? 6), 80, 100);
            expect(pace.fullAt("c"), "recovered").to.equal(fullAt);
        }
    });

    // Load: an endpoint that is slow from half of its slots on gets as many requests as it handles, and becomes three times
    // slower at any number of them while it states the usual pace. Guards against a knee that is forgotten because the times
    // above it, measured before, look short beside the slow ones below it: the slow endpoint would be filled to its slots.
    it("keeps the knee of an endpoint that becomes slower at all numbers of requests and does not state it", () => {
        for (const seed of [1, 2, 3, 4, 5]) {
            const clock = new ManualClock();
            const random = new SeededRandom(seed);
            const pace = new EndpointPace(clock);
            const model = new ServiceModel(pace);
            const answer = (id: string, running: number, meanMs: number): void => {
                const endpoint = { id, failureDomain: "a", slots: 6 };
                pace.recordReport(id, 100);
                const prediction = model.predict(request, endpoint, { running, unreadTokens: 0, firstByteDelayMs: 0 });
                const ms = meanMs * (0.5 - 0.5 * Math.log(1 - random.next()));
                model.observe(ms, { endpoint, prediction, running });
            };
            for (let now = 0; now < 14_000; now += 50) {
                const isSlow = now >= 8_000;
                const running = isSlow ? now / 50 % 3 : now / 50 % 6;
                answer("a", running, 80);
                answer("b", running, 80);
                answer("c", running, (running < 3 ? 80 : 240) * (isSlow ? 3 : 1));
                clock.advanceTo(now + 50);
                // The estimate follows a change within 2 s, so that the knee may be unknown for that time.
                if (now >= 7_500 && !isSlow || now >= 10_000) {
                    expect(pace.fullAt("c") ?? 6, `seed ${seed}, ${now} ms`).to.be.at.most(3);
                }
            }
        }
    });
});
