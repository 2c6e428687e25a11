import {
    type Candidate,
    ConcurrencyCurve,
    Dispatcher,
    type DispatchRequest,
    EndpointHealth,
    EndpointPace,
    EngineModel,
    EngineSpeedEstimate,
    LoadTracker,
    NoAffinity,
    PrefixCacheIndex,
    ServiceModel,
    SlownessWatch,
} from "@lentilramp/dispatch";
import { ManualClock, SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";

const noLoad = { running: 0, unreadTokens: 0, firstByteDelayMs: 0 };

function plainEndpoint(id: string): Candidate {
    return { id, failureDomain: "a", slots: 6 };
}

function request(change: Partial<DispatchRequest> = {}): DispatchRequest {
    return {
        id: "r",
        service: "s",
        workspace: "w",
        rank: 0,
        arrivedAt: 0,
        targetAt: 1_000,
        deadline: 5_000,
        work: undefined,
        ...change,
    };
}

/** Returns a random part of an answer's time with a long tail and the mean 1. */
function longTail(random: SeededRandom): number {
    return 0.5 - 0.5 * Math.log(1 - random.next());
}

class PaceFixture {
    readonly clock = new ManualClock();
    readonly random = new SeededRandom(3);
    readonly pace = new EndpointPace(this.clock);

    /** Records an answer of each endpoint each 100 ms, with the given ratio of measured to expected times. */
    observe(forMs: number, ratios: Readonly<Record<string, number>>, statedPace: number | "none" = 100): void {
        const until = this.clock.now() + forMs;
        while (this.clock.now() < until) {
            for (const [id, ratio] of Object.entries(ratios)) {
                this.pace.recordReport(id, statedPace === "none" ? undefined : statedPace);
                this.pace.observe(id, 80 * ratio * longTail(this.random), 80);
            }
            this.clock.advanceTo(this.clock.now() + 100);
        }
    }

    factor(id: string): number {
        return this.pace.factor(id) ?? NaN;
    }
}

describe("EndpointPace", () => {
    // Guards against a slow endpoint of a service that is chosen as if it were like the others.
    it("sees one endpoint that is three times slower than its siblings within 2 s", () => {
        const fixture = new PaceFixture();
        fixture.observe(2_000, { a: 1, b: 1, c: 3 });
        expect(fixture.factor("c")).to.be.above(2);
        expect(fixture.factor("a")).to.be.within(0.7, 1.4);
        expect(fixture.factor("b")).to.be.within(0.7, 1.4);
    });

    // Guards against an endpoint that stays out of use after it has recovered, or in use after it has become slow.
    it("follows an endpoint that becomes slow and recovers, each within 2 s", () => {
        const fixture = new PaceFixture();
        fixture.observe(3_000, { a: 1, b: 1, c: 1 });
        expect(fixture.factor("c")).to.be.within(0.7, 1.4);
        fixture.observe(2_000, { a: 1, b: 1, c: 3 });
        expect(fixture.factor("c") / fixture.factor("a")).to.be.above(1.7);
        fixture.observe(2_000, { a: 1, b: 1, c: 1 });
        expect(fixture.factor("c") / fixture.factor("a")).to.be.below(1.5);
    });

    // Guards against an endpoint that gets no request any more because no answer shows that it has recovered.
    it("returns to the usual factor gradually without fresh evidence", () => {
        const fixture = new PaceFixture();
        fixture.observe(3_000, { a: 1, b: 1, c: 4 });
        const ratios = [0, 2_000, 2_000, 4_000].map(ms => {
            fixture.observe(ms, { a: 1, b: 1 });
            return fixture.factor("c") / fixture.factor("a");
        });
        expect(ratios[0]).to.be.above(2);
        expect(ratios).to.deep.equal([...ratios].sort((a, b) => b - a));
        expect(ratios[1]).to.be.above(1.25);
        expect(ratios[3]).to.be.below(1.25);
    });

    // Guards against a third of the answers that are late after many engines were lost: the prediction was too low for
    // all engines, and only those that had answered lately were corrected.
    it("applies to an endpoint without evidence of its own what is usual for the service", () => {
        const fixture = new PaceFixture();
        const ids = [...Array(30).keys()].map(i => `e${i}`);
        for (let i = 0; i < 60; i++) {
            const id = ids[i % ids.length] ?? "";
            fixture.pace.recordReport(id, 100);
            fixture.pace.observe(id, 200 * longTail(fixture.random), 100);
            fixture.clock.advanceTo(fixture.clock.now() + 15);
        }
        expect(fixture.factor("new")).to.be.within(1.6, 2.4);
    });

    // Guards against one slow endpoint that makes the predictions for all others too high.
    it("takes what is usual for the service from most of its endpoints, not from one", () => {
        const fixture = new PaceFixture();
        fixture.observe(2_000, { a: 1, b: 1, c: 1, d: 1, e: 1, f: 8 });
        expect(fixture.factor("new")).to.be.within(0.8, 1.25);
    });

    // Guards against an endpoint that draws or repels all requests by what it says of itself.
    it("bounds the influence of a false pace, and ignores it where measured times contradict it", () => {
        for (const stated of [1, 10_000]) {
            const fixture = new PaceFixture();
            fixture.observe(2_000, { a: 1, b: 1, c: 1 });
            for (let i = 0; i < 20; i++) {
                fixture.pace.recordReport("c", stated);
                fixture.pace.recordReport("unmeasured", stated);
                fixture.clock.advanceTo(fixture.clock.now() + 10);
            }
            expect(fixture.factor("c") / fixture.factor("a")).to.be.within(0.7, 1.4);
            expect(fixture.factor("unmeasured") / fixture.factor("new")).to.be.within(0.5, 2);
        }
    });

    // Guards against a pace that is stated by all, and says nothing of their differences, for one endpoint alone.
    it("compares the stated pace with that of the siblings, and smooths it", () => {
        const fixture = new PaceFixture();
        for (let i = 0; i < 100; i++) {
            ["a", "b", "c"].forEach(id => fixture.pace.recordReport(id, 200));
            fixture.pace.recordReport("d", i % 2 === 0 ? 200 : 400);
            fixture.clock.advanceTo(fixture.clock.now() + 10);
        }
        expect(fixture.factor("a")).to.be.closeTo(1, 0.01);
        expect(fixture.factor("d")).to.be.within(1.05, 1.35);
        fixture.clock.advanceTo(fixture.clock.now() + 5_000);
        expect(fixture.factor("d")).to.be.closeTo(1, 0.01);
    });

    // Guards against a change for endpoints that do not state their pace.
    it("estimates no endpoint that has answered without a pace, and no service without any", () => {
        const fixture = new PaceFixture();
        fixture.observe(2_000, { a: 5 }, "none");
        expect([fixture.pace.factor("a"), fixture.pace.factor("new"), fixture.pace.fullAt("a")]).to.deep.equal(
            [undefined, undefined, undefined],
        );
        fixture.observe(2_000, { b: 2 });
        expect(fixture.pace.factor("a")).to.equal(undefined);
        // A missing header after a pace has been stated does not end the estimate.
        fixture.observe(500, { b: 2 }, "none");
        expect(fixture.factor("b")).to.be.above(1.2);
    });

    // Guards against estimates that are spoilt for good by one odd time.
    it("ignores times that are no time, and bounds the weight of one answer", () => {
        const fixture = new PaceFixture();
        fixture.observe(2_000, { a: 1 });
        [[NaN, 80], [-1, 80], [80, 0], [80, NaN], [1e12, 80]].forEach(([measured = 0, expected = 0]) =>
            fixture.pace.observe("a", measured, expected)
        );
        expect(fixture.factor("a")).to.be.within(0.5, 2);
        fixture.pace.applyFleetFactors(new Map([["a", NaN], ["b", -1], ["c", Infinity], ["d", 1e300]]));
        expect([..."abcd"].every(id => fixture.factor(id) >= 1 / 8 && fixture.factor(id) <= 8)).to.equal(true);
    });

    it("takes what the fleet sees at an endpoint until it is old", () => {
        const fixture = new PaceFixture();
        fixture.observe(1_000, { a: 1 });
        fixture.pace.applyFleetFactors(new Map([["z", 3]]));
        const before = fixture.factor("z");
        expect(before).to.be.above(2.2);
        fixture.observe(5_000, { a: 1 });
        expect(fixture.factor("z")).to.be.below(1.5);
        fixture.pace.applyFleetFactors(new Map([["z", 3]]));
        fixture.pace.applyFleetFactors(new Map());
        expect(fixture.factor("z")).to.be.closeTo(fixture.factor("new"), 0.01);
    });

    it("reports each piece of evidence once, and a bounded number of endpoints", () => {
        const fixture = new PaceFixture();
        const ids = [...Array(200).keys()].map(i => `e${i}`);
        fixture.observe(300, Object.fromEntries(ids.map(id => [id, 3])));
        const reports = fixture.pace.takeReports();
        expect(reports).to.have.length(24);
        expect(reports.every(([, [factor, samples]]) => factor > 0 && samples === 3)).to.equal(true);
        expect(fixture.pace.takeReports()).to.deep.equal([]);
        expect(JSON.stringify(Object.fromEntries(reports)).length).to.be.below(1_000);
    });

    // Guards against a report that the leader cannot read, with all others in the message: a prompt that turned out to be
    // cached takes far less than a hundredth of the expected time.
    it("reports a factor above zero for an answer that took no time", () => {
        const fixture = new PaceFixture();
        fixture.pace.recordReport("a", 100);
        fixture.pace.observe("a", 0, 400);
        fixture.pace.recordReport("b", 100);
        fixture.pace.observe("b", 1, 4_000);
        expect(fixture.pace.takeReports().map(([, [factor]]) => factor)).to.deep.equal([0.13, 0.13]);
    });

    // Guards against memory that grows with each endpoint that has ever been listed.
    it("forgets endpoints that are gone, and remembers a bounded number", () => {
        const fixture = new PaceFixture();
        fixture.observe(2_000, { a: 3 });
        fixture.pace.removeEndpoint("a");
        expect(fixture.pace.factor("a")).to.equal(undefined);
        expect(fixture.pace.takeReports()).to.deep.equal([]);
        fixture.pace.recordReport("first", 100);
        for (let i = 0; i < 8_192; i++) {
            fixture.pace.recordReport(`e${i}`, 100);
        }
        expect(fixture.pace.statesPace("first")).to.equal(false);
        expect(fixture.pace.statesPace("e8191")).to.equal(true);
    });

    it("limits an endpoint that rejects requests to what it ran then, for a second, and never to nothing", () => {
        const fixture = new PaceFixture();
        fixture.pace.recordReport("a", 100);
        fixture.pace.recordRejection("a", 4);
        expect(fixture.pace.fullAt("a")).to.equal(4);
        fixture.pace.recordRejection("a", 0);
        expect(fixture.pace.fullAt("a")).to.equal(1);
        fixture.clock.advanceTo(1_001);
        expect(fixture.pace.fullAt("a")).to.equal(undefined);
    });

    it("tells once that an endpoint has become slow, and once that it has recovered", () => {
        const fixture = new PaceFixture();
        const changes: [string, boolean][] = [];
        for (const ratio of [1, 4, 4, 1, 1, 1]) {
            for (let i = 0; i < 10; i++) {
                fixture.observe(200, { a: 1, b: 1, c: ratio });
                changes.push(
                    ...fixture.pace.takeChanges().map(({ endpoint, slow }): [string, boolean] => [endpoint, slow]),
                );
            }
        }
        expect(changes).to.deep.equal([["c", true], ["c", false]]);
        expect(fixture.pace.slowEndpoints).to.equal(0);
    });

    // Guards against a log of single late answers: an ingress sees one answer of an engine in several seconds.
    it("does not call an endpoint slow for one late answer", () => {
        const fixture = new PaceFixture();
        fixture.observe(2_000, { a: 1, b: 1 });
        fixture.pace.recordReport("c", 100);
        fixture.pace.observe("c", 640, 80);
        fixture.clock.advanceTo(fixture.clock.now() + 100);
        expect(fixture.pace.takeChanges()).to.deep.equal([]);
        fixture.pace.applyFleetFactors(new Map([["c", 4]]));
        fixture.clock.advanceTo(fixture.clock.now() + 100);
        expect(fixture.pace.takeChanges().map(({ endpoint }) => endpoint)).to.deep.equal(["c"]);
    });
});

describe("SlownessWatch", () => {
    // Guards against a log that fills with the lines of one endpoint.
    it("tells of an endpoint whose factor jumps at most once a second", () => {
        const watch = new SlownessWatch();
        for (let now = 0; now < 10_000; now += 10) {
            watch.observe("a", now % 20 === 0 ? 4 : 1, now);
        }
        expect(watch.takeChanges().length).to.be.within(2, 10);
    });
});

describe("ConcurrencyCurve", () => {
    // Guards against an endpoint that is filled to its slots although it gets slow long before.
    it("finds the number of requests from which an endpoint gets slow, and counts it as full there", () => {
        const curve = new ConcurrencyCurve(6);
        const random = new SeededRandom(9);
        for (let i = 0; i < 120; i++) {
            const running = 1 + i % 6;
            curve.observe(running, 80 * (running <= 3 ? 1 : 3) * longTail(random), 80, i * 50);
        }
        expect(curve.knee(6_000)).to.equal(3);
        expect(curve.factor(5, 6_000) / curve.factor(2, 6_000)).to.be.above(1.8);
        // Without evidence for long, the endpoint may be tried again.
        expect(curve.knee(30_000)).to.equal(undefined);
        expect(curve.factor(6, 30_000)).to.equal(1);
    });

    it("finds no such number where the time does not depend on the load, or rises less than the load", () => {
        for (const time of [() => 1, (running: number) => 1 + 0.05 * running]) {
            const curve = new ConcurrencyCurve(6);
            const random = new SeededRandom(4);
            for (let i = 0; i < 600; i++) {
                const running = 1 + i % 6;
                curve.observe(running, 80 * time(running) * longTail(random), 80, i * 20);
            }
            expect(curve.knee(12_000) ?? 6).to.be.at.least(5);
        }
    });

    it("holds a bounded number of levels for any number of slots and requests", () => {
        const curve = new ConcurrencyCurve(1e6);
        for (const running of [0, 1, 1e3, 1e6, 1e9]) {
            curve.observe(running, 80, 80, 0);
        }
        expect(curve.factor(1e9, 0)).to.be.closeTo(1, 0.01);
    });
});

describe("EngineModel with endpoints that state their pace", () => {
    const engines = [...Array(50).keys()].map(i => ({ id: `e${i}`, failureDomain: "a", slots: 32 }));
    const work = { parts: [], promptTokens: 6_000, maxOutputTokens: 50, outputTokens: 50 };

    function runColdEngines(pace: EndpointPace | undefined, clock: ManualClock) {
        const loads = new LoadTracker();
        const model = new EngineModel(
            new PrefixCacheIndex(),
            new NoAffinity(),
            new EngineSpeedEstimate(40),
            pace,
        );
        const dispatcher = new Dispatcher(loads, new EndpointHealth(), new SeededRandom(2));
        const random = new SeededRandom(6);
        const answers: { predictedMs: number; measuredMs: number; at: number; }[] = [];
        const refusals: number[] = [];
        // All engines take 2.5 times longer than the model predicts from 2 s on, as with cold caches.
        for (let i = 0; i < 400; i++) {
            const now = i * 15;
            clock.advanceTo(now);
            const req = request({ targetAt: now + 400, arrivedAt: now, deadline: now + 3_000, work });
            const decision = dispatcher.decide(req, engines, model, now);
            if (decision.kind !== "send") {
                refusals.push(now);
                continue;
            }
            const { endpoint, prediction } = decision.choice;
            const expectedMs = 45 + 10 + 6_000 / 40;
            const measuredMs = expectedMs * (now < 2_000 ? 1 : 2.5) * (0.8 + 0.4 * random.next());
            const booking = loads.trackRequest(endpoint.id, prediction, now);
            answers.push({ predictedMs: prediction.firstByteMs, measuredMs, at: now });
            clock.schedule(now + measuredMs, () => {
                booking.recordFirstByte(clock.now());
                booking.recordEnd();
                pace?.recordReport(endpoint.id, 100);
                pace?.observe(endpoint.id, measuredMs, prediction.firstByteMs / (prediction.factor ?? 1));
            });
        }
        return { answers, refusals };
    }

    // Guards against a third of the answers that are late while 1% is refused: the seconds after many engines were lost.
    it("refuses a request for which all engines have become too slow, once answers show it", () => {
        const clock = new ManualClock();
        const { answers, refusals } = runColdEngines(new EndpointPace(clock), clock);
        const late = answers.filter(({ at, measuredMs }) => at >= 3_500 && measuredMs > 400);
        const refused = refusals.filter(now => now >= 3_500);
        expect(refusals.filter(now => now < 2_000)).to.deep.equal([]);
        expect(refused.length).to.be.above(late.length);
        const before = runColdEngines(undefined, new ManualClock());
        const lateBefore = before.answers.filter(({ at, measuredMs }) => at >= 3_500 && measuredMs > 400);
        expect(late.length).to.be.below(lateBefore.length / 2);
    });

    // Guards against a change of behaviour where endpoints do not state their pace.
    it("chooses and predicts as without estimates while no endpoint states its pace", () => {
        const clock = new ManualClock();
        const pace = new EndpointPace(clock);
        engines.forEach(({ id }) => pace.recordReport(id, undefined));
        const make = (estimates: EndpointPace | undefined) => {
            const model = new EngineModel(
                new PrefixCacheIndex(),
                new NoAffinity(),
                new EngineSpeedEstimate(40),
                estimates,
            );
            const dispatcher = new Dispatcher(new LoadTracker(), new EndpointHealth(), new SeededRandom(2));
            return Array.from({ length: 50 }, () => {
                const decision = dispatcher.decide(request({ targetAt: 400, work }), engines, model, 0);
                return JSON.stringify(decision);
            });
        };
        expect(make(pace)).to.deep.equal(make(undefined));
        const [plain, estimated] = [new ServiceModel(), new ServiceModel(pace)];
        for (let i = 0; i < 20; i++) {
            const prediction = estimated.predict(request(), plainEndpoint("e1"), noLoad);
            plain.observe(50 + i);
            estimated.observe(50 + i, { endpoint: plainEndpoint("e1"), prediction, running: i });
            const load = { ...noLoad, running: i };
            expect(estimated.predict(request(), plainEndpoint("e1"), load)).to.deep.equal(
                plain.predict(request(), plainEndpoint("e1"), load),
            );
        }
    });

    // A measured delay already holds the slowness of the engine; multiplied by the factor, it would count twice.
    it("applies the factor to the work and not to a delay that was measured", () => {
        const fixture = new PaceFixture();
        fixture.observe(4_000, { e1: 2 });
        const model = new EngineModel(
            new PrefixCacheIndex(),
            new NoAffinity(),
            undefined,
            fixture.pace,
        );
        const [engine] = [{ id: "e1", failureDomain: "a", slots: 32 }];
        const idle = model.predict(request({ work }), engine, noLoad);
        const delayed = model.predict(request({ work }), engine, { ...noLoad, firstByteDelayMs: 500 });
        expect(delayed.firstByteMs - idle.firstByteMs).to.be.closeTo(500, 0.001);
    });
});

describe("Dispatcher with endpoints that state their pace", () => {
    // Guards against a service without endpoints because all of them are slow, at their knees, or have rejected one.
    it("still chooses an endpoint when all are slow and have rejected requests", () => {
        const fixture = new PaceFixture();
        fixture.observe(2_000, { a: 8, b: 8, c: 8 });
        ["a", "b", "c"].forEach(id => fixture.pace.recordRejection(id, 1));
        const dispatcher = new Dispatcher(new LoadTracker(), new EndpointHealth(), new SeededRandom(1));
        const model = new ServiceModel(fixture.pace);
        const endpoints = ["a", "b", "c"].map(plainEndpoint);
        expect(dispatcher.decide(request({ targetAt: 8_000 }), endpoints, model, 2_000).kind).to.equal("send");
    });

    it("sends nothing more to an endpoint at its knee while a sibling has a free slot", () => {
        const fixture = new PaceFixture();
        ["a", "b"].forEach(id => fixture.pace.recordReport(id, 100));
        for (let i = 0; i < 120; i++) {
            const running = 1 + i % 6;
            const ms = 80 * (running <= 3 ? 1 : 3) * longTail(fixture.random);
            fixture.pace.observeConcurrency("a", 6, running, ms, 80);
            fixture.clock.advanceTo(fixture.clock.now() + 50);
        }
        const loads = new LoadTracker();
        const model = new ServiceModel(fixture.pace);
        const dispatcher = new Dispatcher(loads, new EndpointHealth(), new SeededRandom(1));
        const now = fixture.clock.now();
        for (let i = 0; i < 3; i++) {
            loads.trackRequest("a", { firstByteMs: 80, idleFirstByteMs: 80, unreadTokens: 0 }, now);
        }
        for (let i = 0; i < 5; i++) {
            loads.trackRequest("b", { firstByteMs: 80, idleFirstByteMs: 80, unreadTokens: 0 }, now);
        }
        const chosen = Array.from(
            { length: 20 },
            () => dispatcher.choose(request({ targetAt: now + 1_000 }), ["a", "b"].map(plainEndpoint), model, now),
        );
        expect(new Set(chosen.map(choice => choice?.endpoint.id))).to.deep.equal(new Set(["b"]));
    });
});
