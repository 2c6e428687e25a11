import {
    type Candidate,
    type DispatchRequest,
    EndpointPace,
    EngineModel,
    NoAffinity,
    PrefixCacheIndex,
} from "@lentilramp/dispatch";
import { ManualClock } from "@lentilramp/runtime";
import { expect } from "chai";

const noLoad = { running: 0, unreadTokens: 0, firstByteDelayMs: 0 };
const engine: Candidate = { id: "e1", failureDomain: "a", slots: 32 };
const req: DispatchRequest = {
    id: "r",
    service: "s",
    workspace: "w",
    rank: 0,
    arrivedAt: 0,
    targetAt: 1_000,
    deadline: 5_000,
    work: { parts: [], promptTokens: 6_000, maxOutputTokens: 50, outputTokens: 50 },
};

function predict(pace: EndpointPace | undefined) {
    return new EngineModel(new PrefixCacheIndex(), new NoAffinity(), undefined, pace).predict(req, engine, noLoad);
}

/** Returns the estimates after 4 s in which each engine takes so many times what is predicted. */
function paceAfter(ratios: Readonly<Record<string, number>>): EndpointPace {
    const clock = new ManualClock();
    const pace = new EndpointPace(clock);
    for (let now = 0; now < 4_000; now += 100) {
        clock.advanceTo(now);
        for (const [id, ratio] of Object.entries(ratios)) {
            pace.recordReport(id, 100);
            pace.observe(id, 80 * ratio, 80);
        }
    }
    return pace;
}

describe("EngineModel while engines are reclaimed and prompts of all ingresses queue at the others", () => {
    const usual = predict(undefined);

    // Guards against requests that are given up although their engine could answer on time once the queue is shorter:
    // the times of answers hold the queue.
    it("lets requests wait for as long as before, although all engines are late", () => {
        const queued = predict(paceAfter({ e1: 3, e2: 3, e3: 3 }));
        expect(queued.firstByteMs / usual.firstByteMs).to.be.above(2);
        expect(queued.idleFirstByteMs / usual.idleFirstByteMs).to.be.within(0.75, 1.35);
    });

    // Guards against requests that wait in vain for an engine that is slow without a queue.
    it("does not let them wait as long for one engine that is slower than its siblings", () => {
        const slow = predict(paceAfter({ e1: 3, e2: 1, e3: 1 }));
        expect(slow.idleFirstByteMs / usual.idleFirstByteMs).to.be.above(1.35);
    });
});
