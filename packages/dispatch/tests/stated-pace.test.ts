import { EndpointPace } from "@lentilramp/dispatch";
import { ManualClock } from "@lentilramp/runtime";
import { expect } from "chai";

/** Three endpoints that were alike until now. */
function alikeEndpoints() {
    const clock = new ManualClock();
    const pace = new EndpointPace(clock);
    const run = (times: number, stepMs: number, answer: () => void): void => {
        for (let i = 0; i < times; i++) {
            ["a", "b"].forEach(id => {
                pace.recordReport(id, 100);
                pace.observe(id, 80, 80);
            });
            answer();
            clock.advanceTo(clock.now() + stepMs);
        }
    };
    run(20, 100, () => {
        pace.recordReport("c", 100);
        pace.observe("c", 80, 80);
    });
    const ratio = (id: string): number => (pace.factor(id) ?? NaN) / (pace.factor("a") ?? NaN);
    return { clock, pace, run, ratio };
}

describe("EndpointPace with an endpoint that states that it is slow", () => {
    // Load: an endpoint that has not been asked for 4 s has become four or six times slower, states it, and answers three
    // requests. Guards against an estimate that leaves the statement out, since cut to the bound of its influence it is far
    // from the measured times: the endpoint would look faster than both say.
    it("counts a stated slowness beyond the bound as far as measured times show it", () => {
        for (const slowness of [4, 6]) {
            const [stated = NaN, unstated = NaN] = [100 * slowness, 100].map(percent => {
                const { pace, run, ratio } = alikeEndpoints();
                run(40, 100, () => undefined);
                run(3, 100, () => {
                    pace.recordReport("c", percent);
                    pace.observe("c", 80 * slowness, 80);
                });
                return ratio("c");
            });
            expect(stated, `${slowness} times slower`).to.be.above(unstated * 1.1);
            expect(stated, `${slowness} times slower`).to.be.at.most(slowness);
        }
    });

    // Load: an endpoint serves at the usual pace, or twice as slowly, and states that it is eight times slower. Guards against
    // statements that keep requests away from it beyond what its times show.
    it("believes no more than measured times show, and at most twice the usual time without them", () => {
        for (const slowness of [1, 2]) {
            const { pace, run, ratio } = alikeEndpoints();
            run(8, 250, () => {
                pace.recordReport("c", 800);
                pace.observe("c", 80 * slowness, 80);
                pace.recordReport("unmeasured", 800);
            });
            expect(ratio("c"), `${slowness} times slower`).to.be.within(0.9 * slowness ** 0.5, slowness * 1.01);
            expect(ratio("unmeasured")).to.be.within(1, 2);
        }
    });
});
