import { allowedOf, bestChoice, type Candidate, type CandidatePool, type Candidates } from "@lentilramp/dispatch";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import { ChoiceFleet, type ChoiceFleetOptions, describeDecision } from "./choice-fleet.ts";
import { countReads } from "./count-reads.ts";
import { lengthsAfterCollections } from "./freed-lists.ts";

const kinds = (["plain", "engine"] as const).flatMap(kind =>
    [false, true].map(isEstimated => ({
        kind,
        isEstimated,
        title: `${kind === "plain" ? "plain endpoints" : "engines"} ${isEstimated ? "with" : "without"} estimates`,
    }))
);

/** Endpoints that may not be sent to, other ones at each choice. */
class ChangingBars {
    readonly barred = new Set<string>();
    private readonly random: SeededRandom;

    constructor(seed: number, private readonly barredPart: number) {
        this.random = new SeededRandom(seed);
    }

    readonly isAllowed = ({ id }: Candidate): boolean => !this.barred.has(id);

    change(all: readonly Candidate[]): void {
        for (let i = 0; i < Math.ceil(all.length / 20); i++) {
            const { id = "" } = all[this.random.nextInt(all.length)] ?? {};
            if (this.random.next() < this.barredPart) {
                this.barred.add(id);
            }
            else {
                this.barred.delete(id);
            }
        }
    }

    pool(all: readonly Candidate[]): CandidatePool<Candidate> {
        this.change(all);
        return { isKept: true, list: all, isAllowed: this.isAllowed };
    }
}

describe("Dispatcher with a kept list and a predicate, up to 192 endpoints", () => {
    for (const { kind, isEstimated, title } of kinds) {
        // Guards against a service of today's size that chooses other endpoints, or draws other numbers, than from a filtered list.
        it(`decides as from a filtered list, for ${title}`, () => {
            let allowed = 0;
            let barred = 0;
            for (const endpoints of [1, 2, 3, 17, 64, 150, 191, 192]) {
                for (const [seed, part] of [[1, 0.1], [2, 0.5], [3, 0.95]] as const) {
                    const run = (candidatesFrom: (pool: CandidatePool<Candidate>) => Candidates<Candidate>) => {
                        const bars = new ChangingBars(seed, part);
                        const candidatesOf = (all: readonly Candidate[]) => candidatesFrom(bars.pool(all));
                        const fleet = new ChoiceFleet({ endpoints, kind, isEstimated, seed, candidatesOf });
                        const decisions = Array.from({ length: 100 }, () => describeDecision(fleet.step()));
                        barred += bars.barred.size;
                        allowed += endpoints - bars.barred.size;
                        const preview = fleet.dispatcher.preview(
                            fleet.request(),
                            candidatesOf(fleet.candidates),
                            fleet.model.snapshot(),
                            fleet.clock.now(),
                        );
                        return [...decisions, preview.ranking.map(({ choice }) => choice.endpoint.id).join()];
                    };
                    expect(run(pool => pool)).to.deep.equal(run(allowedOf));
                }
            }
            expect(allowed).to.be.above(1_000);
            expect(barred).to.be.above(1_000);
        });
    }
});

/** Reads of a list and questions of a predicate for one choice: four draws of each of 32 endpoints, and those scored. */
const maxReads = 32 * 4;
const maxQuestions = 32 * 4 + 256 + 32 + 9;

describe("Dispatcher with a kept list and a predicate, above 192 endpoints", () => {
    for (const { kind, isEstimated, title } of kinds) {
        // Guards against an ingress that looks at each of 7,400 endpoints for each request: 0.8% of a core at 30 a second.
        for (const endpoints of [500, 2_000, 8_000]) {
            it(`looks at a bounded number of ${endpoints} endpoints, a tenth of which may not be sent to, for ${title}`, () => {
                const fleet = new ChoiceFleet({ endpoints, kind, isEstimated, seed: 1 });
                const { counted, takeReads } = countReads(fleet.candidates);
                let questions = 0;
                const isAllowed = ({ id }: Candidate): boolean => {
                    questions++;
                    return Number(id.slice(1)) % 10 !== 3;
                };
                const choose = () => {
                    const req = { ...fleet.request(), targetAt: fleet.clock.now() + 5_000 };
                    return fleet.dispatcher.choose(
                        req,
                        { isKept: true, list: counted, isAllowed },
                        fleet.model,
                        fleet.clock.now(),
                    );
                };
                // The first choice indexes the list.
                choose();
                for (let i = 0; i < 300; i++) {
                    takeReads();
                    questions = 0;
                    expect(choose()).not.to.equal(undefined);
                    expect(takeReads()).to.be.within(1, maxReads);
                    expect(questions).to.be.within(1, maxQuestions);
                    fleet.clock.advanceTo(fleet.clock.now() + 10);
                }
            });
        }

        // Guards against searches whose number grows with the versions that are chosen from in turn.
        it(`searches each of two kept lists once while all endpoints are full, for ${title}`, () => {
            const fleet = new ChoiceFleet({ endpoints: 4_000, kind, isEstimated, seed: 2, fullPart: 1 });
            const now = fleet.clock.now();
            const lists = [0, 1].map(part => countReads(fleet.candidates.filter((...[, i]) => i % 2 === part)));
            const choose = (): void => {
                const req = { ...fleet.request(), targetAt: now + 600 };
                for (const { counted } of lists) {
                    fleet.dispatcher.decide(
                        req,
                        { isKept: true, list: counted, isAllowed: () => true },
                        fleet.model,
                        now,
                    );
                }
            };
            Array.from({ length: 3 }).forEach(choose);
            lists.forEach(({ takeReads }) => takeReads());
            Array.from({ length: 100 }).forEach(choose);
            lists.forEach(({ takeReads }) => expect(takeReads()).to.be.within(100, 100 * maxReads));
        });

        // Guards against an endpoint that is chosen because an index, a search or a load of before still names it.
        it(`chooses none that is not listed, allowed and usable any more, for ${title}`, () => {
            for (
                const [seed, fullPart, barredPart] of [[1, 0.2, 0.2], [2, 0.98, 0.3], [3, 1, 0.1], [
                    4,
                    0.9,
                    0.9,
                ]] as const
            ) {
                checkChanges({ endpoints: 600, kind, isEstimated, seed, fullPart }, barredPart);
            }
        });
    }

    /** A fleet of 4,000 plain endpoints, all of which are full but those of `free`. */
    const fullExcept = (free: (index: number) => boolean, seed = 5): ChoiceFleet => {
        const fleet = new ChoiceFleet({ endpoints: 4_000, kind: "plain", isEstimated: false, seed });
        fleet.loads.applyPeerLoad(
            "peer",
            fleet.candidates.map(({ id }, i) => [id, { running: free(i) ? 0 : 5, unreadTokens: 0 }]),
            true,
        );
        return fleet;
    };

    // Guards against requests that wait because the free endpoints that a search has kept may not be sent to.
    it("finds the free endpoint that may be sent to beside 1,000 free ones that may not", () => {
        const fleet = fullExcept(i => i % 4 === 1 || i === 2_002);
        const pool = {
            isKept: true,
            list: fleet.candidates,
            isAllowed: ({ id }: Candidate) => Number(id.slice(1)) % 4 !== 1,
        };
        const now = fleet.clock.now();
        for (let i = 0; i < 50; i++) {
            const req = { ...fleet.request(), targetAt: now + 600 };
            const decision = fleet.dispatcher.decide(req, pool, fleet.model, now);
            expect([decision.kind, bestChoice(decision)?.endpoint.id]).to.deep.equal(["send", "e2002"]);
        }
    });

    // Guards against an endpoint over its limit that is chosen because all others are paused.
    it("chooses none if the endpoints that may be sent to are all paused", () => {
        const fleet = new ChoiceFleet({ endpoints: 1_000, kind: "plain", isEstimated: false, seed: 7 });
        const now = fleet.clock.now();
        const isAllowed = ({ id }: Candidate): boolean => Number(id.slice(1)) % 10 !== 3;
        fleet.candidates.filter(isAllowed).forEach(({ id }) => fleet.health.pause(id, now + 700));
        const pool = { isKept: true, list: fleet.candidates, isAllowed };
        const decision = fleet.dispatcher.decide(fleet.request(), pool, fleet.model, now);
        expect(decision).to.deep.include({ kind: "refuse", reason: "no-endpoint" });
        expect(decision.kind === "refuse" && decision.retryAfterMs).to.be.within(700, 1_400);
    });

    // Guards against requests for one version that wait because a search among all versions has found others.
    it("finds the free endpoint of a kept part after a search of the whole list", () => {
        for (let seed = 1; seed <= 20; seed++) {
            const fleet = fullExcept(i => i >= 3_960 || i === 11, seed);
            const part = fleet.candidates.slice(0, 2_000);
            const now = fleet.clock.now();
            const decide = (list: readonly Candidate[]) => {
                const req = { ...fleet.request(), targetAt: now + 600 };
                return fleet.dispatcher.decide(req, { isKept: true, list, isAllowed: () => true }, fleet.model, now);
            };
            // Some samples of all endpoints hold a free one, so that they are not searched.
            for (const list of [...Array<readonly Candidate[]>(5).fill(fleet.candidates), part]) {
                expect(decide(list).kind).to.equal("send");
            }
            for (let i = 0; i < 5; i++) {
                expect(bestChoice(decide(part))?.endpoint.id).to.equal("e11");
                expect(decide(fleet.candidates).kind).to.equal("send");
            }
        }
    });

    // Guards against requests for one version that wait because the list of another one has changed often.
    it("finds the free endpoint of a kept part after other parts have changed four times", () => {
        for (const ofEachList of [1_990, 4_000]) {
            const fleet = fullExcept(i => i === 3_333);
            const now = fleet.clock.now();
            const decide = (list: readonly Candidate[]) => {
                const req = { ...fleet.request(), targetAt: now + 600 };
                return fleet.dispatcher.decide(req, { isKept: true, list, isAllowed: () => true }, fleet.model, now);
            };
            const others = fleet.candidates.filter(({ id }) => id !== "e3333");
            for (let i = 0; i < 4; i++) {
                expect(decide(others.slice(i, ofEachList)).kind).to.equal("wait");
            }
            const part = fleet.candidates.slice(2_000);
            for (let i = 0; i < 50; i++) {
                expect(bestChoice(decide(part))?.endpoint.id).to.equal("e3333");
            }
        }
    });

    // Guards against lists of thousands of endpoints that stay in memory after they have been replaced.
    for (const [next, title] of [[2_000, "has free endpoints"], [100, "has become small"]] as const) {
        it(`keeps no list in memory that has been replaced and searched, if the service ${title}`, async () => {
            const fleet = fullExcept(() => false);
            const choose = (list: readonly Candidate[]) => {
                const pool = { isKept: true, list, isAllowed: () => true };
                fleet.dispatcher.choose(fleet.request(), pool, fleet.model, fleet.clock.now());
            };
            const searched = [0, 1, 2].map(i => {
                const list = fleet.candidates.slice(i);
                choose(list);
                return new WeakRef(list);
            });
            fleet.loads.applyPeerLoad("peer", [], true);
            fleet.clock.advanceTo(fleet.clock.now() + 1_000);
            choose(fleet.candidates.slice(0, next));
            expect(await lengthsAfterCollections(searched)).to.deep.equal([undefined, undefined, undefined]);
        });
    }

    // Guards against searches without end while requests alternate between more parts than searches are kept of.
    it("searches each of six kept lists once while all endpoints are full", () => {
        const fleet = fullExcept(() => false);
        const now = fleet.clock.now();
        const lists = [0, 1, 2, 3, 4, 5].map(part => countReads(fleet.candidates.filter((...[, i]) => i % 6 === part)));
        const choose = (): void => {
            for (const { counted } of lists) {
                const pool = { isKept: true, list: counted, isAllowed: () => true };
                fleet.dispatcher.decide({ ...fleet.request(), targetAt: now + 600 }, pool, fleet.model, now);
            }
        };
        let looks = 0;
        const load = fleet.loads.load.bind(fleet.loads);
        fleet.loads.load = (...args) => {
            looks++;
            return load(...args);
        };
        choose();
        expect(looks).to.be.within(4_000, 4_000 + 6 * 64);
        looks = 0;
        Array.from({ length: 100 }).forEach(choose);
        expect(looks).to.be.within(1, 100 * 6 * 64);
    });

    // Guards against a sample that holds a few of the endpoints that may be sent to, and not the best ones.
    it("chooses the best endpoint if fewer than 192 of 4,000 may be sent to", () => {
        const fleet = new ChoiceFleet({ endpoints: 4_000, kind: "plain", isEstimated: false, seed: 6 });
        fleet.loads.applyPeerLoad(
            "peer",
            fleet.candidates.map(({ id }) => [id, { running: id === "e1640" ? 0 : 3, unreadTokens: 0 }]),
            true,
        );
        const pool = {
            isKept: true,
            list: fleet.candidates,
            isAllowed: ({ id }: Candidate) => Number(id.slice(1)) % 40 === 0,
        };
        for (let i = 0; i < 50; i++) {
            const req = { ...fleet.request(), targetAt: fleet.clock.now() + 600 };
            const choice = fleet.dispatcher.choose(req, pool, fleet.model, fleet.clock.now());
            expect(choice?.endpoint.id).to.equal("e1640");
        }
    });

    // Guards against a request that is refused for lack of an endpoint while there is one that may be sent to.
    it("finds the only endpoint that may be sent to, also after it has become another one", () => {
        const fleet = new ChoiceFleet({ endpoints: 1_000, kind: "plain", isEstimated: false, seed: 3 });
        for (const only of ["e7", "e500", "e999", "e7"]) {
            const pool = { isKept: true, list: fleet.candidates, isAllowed: ({ id }: Candidate) => id === only };
            const choose = (excluded: Set<string>) =>
                fleet.dispatcher.choose(fleet.request(), pool, fleet.model, fleet.clock.now(), excluded)?.endpoint.id;
            expect(choose(new Set())).to.equal(only);
            expect(choose(new Set([only]))).to.equal(undefined);
        }
    });

    // Guards against requests that wait while an endpoint is free that may be sent to again.
    it("sends to the endpoint whose load has fallen if it may be sent to, and to no other one", () => {
        const fleet = new ChoiceFleet({ endpoints: 2_000, kind: "plain", isEstimated: false, seed: 4, fullPart: 1 });
        const now = fleet.clock.now();
        const apply = (ids: readonly string[], running: number): void =>
            fleet.loads.applyPeerLoad("peer", ids.map(id => [id, { running, unreadTokens: 0 }]), false);
        apply(fleet.candidates.map(({ id }) => id), 5);
        const barred = new Set(["e11"]);
        const pool = { isKept: true, list: fleet.candidates, isAllowed: ({ id }: Candidate) => !barred.has(id) };
        const decide = () =>
            fleet.dispatcher.decide({ ...fleet.request(), targetAt: now + 600 }, pool, fleet.model, now);
        expect(decide().kind).to.equal("wait");
        apply(["e11"], 0);
        expect([decide(), decide()].map(({ kind }) => kind)).to.deep.equal(["wait", "wait"]);
        barred.clear();
        expect(bestChoice(decide())?.endpoint.id).to.equal("e11");
    });
});

/** Chooses while endpoints leave, are barred, paused, ejected, filled and relieved at random, and checks each choice. */
function checkChanges(options: ChoiceFleetOptions, barredPart: number): void {
    const fleet = new ChoiceFleet(options);
    const { clock, health, loads, dispatcher, model } = fleet;
    const random = new SeededRandom(options.seed + 100);
    const bars = new ChangingBars(options.seed + 200, barredPart);
    const siblings = fleet.candidates.map(({ id }) => id);
    const left = new Set<string>();
    let list = fleet.candidates;
    let chosen = 0;
    let ejected = 0;
    for (let step = 0; step < 400; step++) {
        const now = clock.now();
        bars.change(fleet.candidates);
        const any = () => siblings[random.nextInt(siblings.length)] ?? "";
        const load = { running: random.nextInt(2) * 5, unreadTokens: 0 };
        loads.applyPeerLoad("peer", [[any(), load], [any(), { running: 0, unreadTokens: 0 }]], false);
        if (random.next() < 0.3) {
            const id = any();
            left.add(id);
            left.delete(any());
            list = fleet.candidates.filter(candidate => !left.has(candidate.id));
        }
        // Ejections need siblings that answer.
        Array.from({ length: 10 }).forEach(() => health.recordOutcome(any(), siblings, "answered", now));
        if (random.next() < 0.2) {
            health.pause(any(), now + 300);
        }
        if (random.next() < 0.2) {
            const id = any();
            [0, 1].forEach(() => health.recordOutcome(id, siblings, "broken", now));
        }
        // The endpoint that was chosen last is the likeliest to be named by what is kept.
        const excluded = new Set([any()]);
        const req = { ...fleet.request(), targetAt: now + 600 };
        const pool = { isKept: true, list, isAllowed: bars.isAllowed };
        const choice = dispatcher.choose(req, pool, model, now, excluded);
        const mayBeChosen = (id: string): boolean =>
            !left.has(id) && !bars.barred.has(id) && !excluded.has(id) && health.isUsable(id, now);
        if (choice === undefined) {
            expect(list.filter(({ id }) => mayBeChosen(id))).to.deep.equal([]);
        }
        else {
            const { id } = choice.endpoint;
            expect(mayBeChosen(id)).to.equal(true);
            chosen++;
            // What is kept names it, and the next choice must not.
            const change = random.nextInt(4);
            if (change === 0) {
                left.add(id);
                list = fleet.candidates.filter(candidate => !left.has(candidate.id));
            }
            else if (change === 1) {
                bars.barred.add(id);
            }
            else if (change === 2) {
                health.pause(id, now + 300);
            }
            else {
                // An endpoint is not ejected while half of the others are, or have failed as well.
                [0, 1].forEach(() => health.recordOutcome(id, siblings, "broken", now));
                ejected += health.isUsable(id, now) ? 0 : 1;
            }
            const again = dispatcher.choose(
                req,
                { isKept: true, list, isAllowed: bars.isAllowed },
                model,
                now,
                excluded,
            );
            if (change !== 3) {
                expect(again?.endpoint.id).not.to.equal(id);
            }
            expect(again === undefined || mayBeChosen(again.endpoint.id)).to.equal(true);
        }
        clock.advanceTo(now + 1 + random.nextInt(20));
    }
    expect(chosen).to.be.above(200);
    expect(ejected).to.be.above(20);
}
