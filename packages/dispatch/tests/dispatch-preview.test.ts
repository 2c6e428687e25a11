import {
    type Candidate,
    Dispatcher,
    type DispatchRequest,
    EndpointHealth,
    EndpointPace,
    EngineModel,
    EngineSpeedEstimate,
    type LatencyModel,
    LoadTracker,
    PrefixCacheIndex,
    RendezvousAffinity,
    ServiceModel,
} from "@lentilramp/dispatch";
import { ManualClock, SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import { inspect } from "node:util";

const endpoints: Candidate[] = ["e1", "e2", "e3", "e4", "e5"].map(id => ({ id, failureDomain: "a", slots: 4 }));
/** One endpoint without an estimate is chosen by about 1 in 600 draws. */
const draws = 10_000;

function request(now: number, work?: DispatchRequest["work"]): DispatchRequest {
    return {
        id: "r",
        service: "s",
        workspace: "w",
        rank: 0,
        arrivedAt: now,
        targetAt: now + 400,
        deadline: now + 3_000,
        work,
    };
}

/** Endpoints of which `e2` is slower, `e3` is full, `e4` is paused, and none states its pace unless `isEstimated`. */
function fixture(isEstimated: boolean, isEngine: boolean) {
    const clock = new ManualClock(10_000);
    const loads = new LoadTracker();
    const health = new EndpointHealth();
    const pace = new EndpointPace(clock);
    const prefixes = new PrefixCacheIndex();
    const model: LatencyModel = isEngine
        ? new EngineModel(prefixes, new RendezvousAffinity(() => endpoints), new EngineSpeedEstimate(100), pace)
        : new ServiceModel(pace);
    if (isEstimated) {
        for (const { id } of endpoints) {
            pace.recordReport(id, id === "e2" ? 500 : 100);
            Array.from({ length: 10 }).forEach(() => pace.observe(id, id === "e2" ? 500 : 100, 100));
            pace.observeConcurrency(id, 4, 1, 100, 100);
        }
    }
    loads.applyPeerLoad("peer", [["e3", { running: 6, unreadTokens: 0 }]], true);
    loads.trackRequest("e5", { firstByteMs: 80, idleFirstByteMs: 80, unreadTokens: 0 }, clock.now());
    health.pause("e4", clock.now() + 5_000);
    // The summaries of the estimates and the delays seen by local requests are out of date by then.
    clock.advanceTo(clock.now() + 60);
    const random = new SeededRandom(3);
    return { clock, loads, health, pace, model, random, dispatcher: new Dispatcher(loads, health, random) };
}

const cases = [false, true].flatMap(isEstimated =>
    [false, true].map(isEngine => ({
        isEstimated,
        isEngine,
        title: `${isEngine ? "engines" : "plain endpoints"} ${isEstimated ? "with" : "without"} estimates`,
    }))
);
const work = {
    parts: [{ id: "p", tokens: 1_000 }, { id: "own", tokens: 200 }],
    promptTokens: 1_200,
    maxOutputTokens: 20,
    outputTokens: 20,
};

describe("Dispatcher.preview", () => {
    for (const { isEstimated, isEngine, title } of cases) {
        // Guards against a report that names other endpoints than requests are sent to.
        it(`names the endpoints that requests are sent to, for ${title}`, () => {
            const { clock, model, dispatcher } = fixture(isEstimated, isEngine);
            const req = request(clock.now(), isEngine ? work : undefined);
            const { ranking, decision } = dispatcher.preview(req, endpoints, model.snapshot(), clock.now());
            const chosen = new Set<string>();
            for (let i = 0; i < draws; i++) {
                const real = dispatcher.decide(req, endpoints, model, clock.now());
                expect(real.kind).to.equal(decision.kind);
                chosen.add(real.kind === "send" ? real.choice.endpoint.id : "");
            }
            const named = ranking.filter(({ mayBeChosen }) => mayBeChosen).map(({ choice }) => choice.endpoint.id);
            expect([...chosen].sort()).to.deep.equal([...named].sort());
            expect(ranking.map(({ choice }) => choice.endpoint.id)).to.have.members(["e1", "e2", "e3", "e5"]);
            expect(ranking.at(-1)).to.deep.include({ isFull: true, mayBeChosen: false });
        });

        // Guards against a report that changes what is reported: draws of later requests, or summaries of estimates.
        it(`changes no state, for ${title}`, () => {
            const { clock, loads, health, model, dispatcher, random } = fixture(isEstimated, isEngine);
            const state = (): string =>
                inspect([loads, health, model, dispatcher, random], {
                    depth: Infinity,
                    maxArrayLength: Infinity,
                });
            const before = state();
            const req = request(clock.now(), isEngine ? work : undefined);
            dispatcher.preview(req, endpoints, model.snapshot(), clock.now(), 2);
            expect(state()).to.equal(before);
            dispatcher.decide(req, endpoints, model, clock.now());
            // The comparison sees the changes that a decision makes.
            expect(state()).not.to.equal(before);
        });
    }

    it("predicts the same with a snapshot as with the model", () => {
        for (const { isEstimated, isEngine, title } of cases) {
            const { clock, loads, model } = fixture(isEstimated, isEngine);
            const req = request(clock.now(), isEngine ? work : undefined);
            const predict = (by: LatencyModel) =>
                endpoints.map(endpoint => by.predict(req, endpoint, loads.load(endpoint.id, clock.now())));
            const snapshot = predict(model.snapshot());
            expect(snapshot, title).to.deep.equal(predict(model));
        }
    });

    it("reports a queue ahead, and that there is no endpoint", () => {
        const { clock, model, dispatcher } = fixture(true, false);
        const req = request(clock.now());
        expect(dispatcher.preview(req, endpoints, model.snapshot(), clock.now(), 1).decision.kind).to.equal("wait");
        const none = dispatcher.preview(req, [], model.snapshot(), clock.now());
        expect(none.decision).to.deep.include({ kind: "refuse", reason: "no-endpoint" });
        expect(none.ranking).to.deep.equal([]);
    });
});

describe("EndpointHealth.obstacle", () => {
    it("tells a pause, an ejection and a pending trial apart, and agrees with isUsable", () => {
        const health = new EndpointHealth();
        const ids = ["a", "b", "c"];
        Array.from({ length: 4 }).forEach(() => health.recordOutcome("a", ids, "broken", 1_000));
        health.pause("b", 2_000);
        const at = (now: number) => ids.map(id => health.obstacle(id, now));
        expect(at(1_500)).to.deep.equal(["ejected", "paused", undefined]);
        expect(at(9_500)).to.deep.equal([undefined, undefined, undefined]);
        health.recordDispatch("a", 9_500);
        expect(at(9_600)).to.deep.equal(["trial-pending", undefined, undefined]);
        for (const now of [1_500, 9_500, 9_600]) {
            expect(ids.map(id => health.isUsable(id, now))).to.deep.equal(at(now).map(why => why === undefined));
        }
    });
});
