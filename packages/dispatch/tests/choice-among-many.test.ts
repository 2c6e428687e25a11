import {
    bestChoice,
    type Candidate,
    type DispatchRequest,
    HashRing,
    LoadTracker,
    PrefixCacheIndex,
    RendezvousAffinity,
} from "@lentilramp/dispatch";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import murmurhash from "murmurhash";
import { ChoiceFleet, type ChoiceFleetOptions, describeDecision } from "./choice-fleet.ts";

const kinds = (["plain", "engine"] as const).flatMap(kind =>
    [false, true].map(isEstimated => ({
        kind,
        isEstimated,
        title: `${kind === "plain" ? "plain endpoints" : "engines"} ${isEstimated ? "with" : "without"} estimates`,
    }))
);
/** Considers all endpoints for each request, as for a small service. */
const unrestricted = { maxWholeChoice: Infinity };
/** A prompt of which all but the question may be cached. */
const longPrompt = {
    parts: [{ id: "system", tokens: 20 }, { id: "talk", tokens: 9_000 }, { id: "q", tokens: 50 }],
    promptTokens: 9_070,
    maxOutputTokens: 50,
    outputTokens: 50,
};
const smallSizes = [1, 2, 3, 17, 63, 64];
const seeds = [1, 2, 3];

function run(options: ChoiceFleetOptions, steps: number): string[] {
    const fleet = new ChoiceFleet(options);
    return Array.from({ length: steps }, () => describeDecision(fleet.step()));
}

/** Hashes of the decisions on 2,700 requests before the choice was restricted (commit 820c541), by `kinds`. */
const earlierDecisions = [974520972, 1907076839, 1264535194, 4078973218];

describe("Dispatcher with up to 64 endpoints of a service", () => {
    for (const [i, { kind, isEstimated, title }] of kinds.entries()) {
        // Guards against a small deployment that chooses other endpoints, or draws other numbers, than before.
        it(`decides as before and as without a restriction, for ${title}`, () => {
            const cases = smallSizes.flatMap(endpoints => seeds.map(seed => ({ endpoints, kind, isEstimated, seed })));
            const decisions = cases.flatMap(options => run(options, 150));
            expect(decisions).to.deep.equal(
                cases.flatMap(options => run({ ...options, dispatch: unrestricted }, 150)),
            );
            expect(murmurhash.v3(decisions.join("\n"))).to.equal(earlierDecisions[i]);
        });
    }
});

/** Counts what a choice does for single endpoints. */
class CountingLoads extends LoadTracker {
    lookUps = 0;

    override load(...args: Parameters<LoadTracker["load"]>): ReturnType<LoadTracker["load"]> {
        this.lookUps++;
        return super.load(...args);
    }
}

/** Returns how many endpoints are looked at for one request on average. */
function lookUpsPerRequest(options: Omit<ChoiceFleetOptions, "seed">, stepMs: number): number {
    const loads = new CountingLoads();
    const fleet = new ChoiceFleet({ ...options, seed: 1, loads });
    const steps = 400;
    loads.lookUps = 0;
    for (let i = 0; i < steps; i++) {
        const req = fleet.request();
        fleet.dispatcher.decide(req, fleet.candidates, fleet.model, fleet.clock.now());
        fleet.clock.advanceTo(fleet.clock.now() + stepMs);
    }
    return loads.lookUps / steps;
}

describe("Dispatcher with many endpoints of a service", () => {
    for (const { kind, isEstimated, title } of kinds) {
        // Guards against a choice that costs a node more than its 2% of a core for all control at 7,400 endpoints.
        it(`looks at no more endpoints for a request when there are 16 times as many, for ${title}`, () => {
            const [fewer, more] = [512, 8_192].map(endpoints =>
                lookUpsPerRequest({ endpoints, kind, isEstimated, fullPart: 0.2 }, 33)
            ) as [number, number];
            expect(more / fewer).to.be.below(1.25);
        });

        // A search may look at 50 endpoints in a millisecond, so that its cost does not depend on their number either.
        it(`looks at no more while all endpoints are full, for ${title}`, () => {
            const [fewer, more] = [2_048, 8_192].map(endpoints =>
                lookUpsPerRequest({ endpoints, kind, isEstimated, fullPart: 1 }, 2)
            ) as [number, number];
            expect(more / fewer).to.be.below(1.5);
        });

        // Guards against requests that are refused or late because the endpoints that could serve them are not considered.
        it(`sends as many requests at once as among all endpoints, for ${title}, 97 of 100 of them full`, () => {
            const count = (dispatch: Partial<ChoiceFleetOptions["dispatch"]>): number =>
                seeds.reduce((sum, seed) => {
                    const fleet = new ChoiceFleet({
                        endpoints: 2_048,
                        kind,
                        isEstimated,
                        seed,
                        fullPart: 0.97,
                        dispatch,
                    });
                    return sum + Array.from({ length: 200 }, () => fleet.step().kind).filter(k => k === "send").length;
                }, 0);
            expect(count({})).to.be.at.least(count(unrestricted) * 0.99);
        });

        // Guards against a restriction that gives up the better part of the choice.
        it(`predicts times close to those among all endpoints, for ${title}`, () => {
            const meanMs = (dispatch: Partial<ChoiceFleetOptions["dispatch"]>): number => {
                const fleet = new ChoiceFleet({ endpoints: 1_024, kind, isEstimated, seed: 4, dispatch });
                const times = Array.from({ length: 600 }, () => bestChoice(fleet.step())?.prediction.firstByteMs ?? 0);
                return times.reduce((sum, ms) => sum + ms, 0) / times.length;
            };
            expect(meanMs({}) / meanMs(unrestricted)).to.be.below(1.2);
        });

        // Guards against a report that names other endpoints than requests are sent to.
        it(`names in a preview each endpoint that requests are sent to, for ${title}`, () => {
            const fleet = new ChoiceFleet({ endpoints: 500, kind, isEstimated, seed: 5 });
            // A single endpoint is idle, so that most samples hold none as good.
            fleet.reportLoads((...[, i]) => ({ running: i === 0 ? 0 : 2 + i % 2, unreadTokens: 0 }));
            const req = { ...fleet.request(), targetAt: fleet.clock.now() + 600 };
            const now = fleet.clock.now();
            const { ranking } = fleet.dispatcher.preview(req, fleet.candidates, fleet.model.snapshot(), now);
            const named = ranking.filter(({ mayBeChosen }) => mayBeChosen).map(({ choice }) => choice.endpoint.id);
            const chosen = Array.from(
                { length: 500 },
                () => bestChoice(fleet.dispatcher.decide(req, fleet.candidates, fleet.model, now))?.endpoint.id,
            );
            expect(chosen.filter(id => !named.includes(id ?? ""))).to.deep.equal([]);
        });

        // Guards against an urgent request that waits or is refused because no free endpoint is in the sample.
        it(`finds one of three free endpoints among 4,000, for ${title}`, () => {
            const fleet = new ChoiceFleet({ endpoints: 4_000, kind, isEstimated, seed: 9 });
            const free = new Set(["e11", "e1700", "e3999"]);
            fleet.reportLoads(id => ({ running: free.has(id) ? 0 : 5, unreadTokens: 0 }));
            const decisions = fleet.decideOnUrgent();
            expect(decisions.filter(({ kind: decided }) => decided !== "send")).to.deep.equal([]);
            expect(decisions.filter(decision => !free.has(bestChoice(decision)?.endpoint.id ?? ""))).to.deep.equal([]);
        });
    }

    // Guards against requests that wait or are refused while engines with free slots are only reading short prompts.
    for (const isEstimated of [false, true]) {
        it(`finds the engines that read a prompt if all others are full, ${isEstimated ? "with" : "without"} estimates`, () => {
            const fleet = new ChoiceFleet({ endpoints: 2_000, kind: "engine", isEstimated, seed: 10 });
            const reading = new Set(["e11", "e700", "e1999"]);
            const full = { running: 5, unreadTokens: 0 };
            fleet.reportLoads(id => reading.has(id) ? { running: 1, unreadTokens: 200 } : full);
            const decisions = fleet.decideOnUrgent();
            expect(decisions.filter(({ kind }) => kind !== "send")).to.deep.equal([]);
        });
    }

    // Guards against requests that wait while endpoints that may be overbooked by one request are not considered.
    it("finds the endpoints that can be overbooked if all others are full", () => {
        const fleet = new ChoiceFleet({ endpoints: 2_000, kind: "plain", isEstimated: false, seed: 11 });
        const taken = new Set(["e11", "e700", "e1999"]);
        fleet.reportLoads(id => ({ running: taken.has(id) ? 4 : 5, unreadTokens: 0 }));
        const decisions = fleet.decideOnUrgent();
        expect(decisions.filter(({ kind }) => kind !== "send")).to.deep.equal([]);
    });

    // Guards against a request that is refused for lack of an endpoint while there is one.
    it("finds the only usable endpoint, although it is full", () => {
        const fleet = new ChoiceFleet({ endpoints: 1_000, kind: "plain", isEstimated: false, seed: 6 });
        const now = fleet.clock.now();
        fleet.candidates.filter(({ id }) => id !== "e777").forEach(({ id }) => fleet.health.pause(id, now + 60_000));
        fleet.loads.applyPeerLoad("peer", [["e777", { running: 9, unreadTokens: 0 }]], true);
        const choose = (excluded: Set<string>): string | undefined =>
            fleet.dispatcher.choose(fleet.request(), fleet.candidates, fleet.model, now, excluded)?.endpoint.id;
        expect(choose(new Set())).to.equal("e777");
        expect(choose(new Set(["e777"]))).to.equal(undefined);
    });

    // Guards against requests that wait until a sample happens to contain the endpoint that has become free.
    it("sends a waiting request to the endpoint whose request has just ended", () => {
        const fleet = new ChoiceFleet({ endpoints: 2_000, kind: "plain", isEstimated: false, seed: 7, fullPart: 1 });
        fleet.reportLoads(() => ({ running: 5, unreadTokens: 0 }));
        const decide = fleet.repeatedDecision();
        expect(decide().kind).to.equal("wait");
        fleet.loads.applyPeerLoad("peer", [["e1234", { running: 2, unreadTokens: 0 }]], false);
        expect(bestChoice(decide())?.endpoint.id).to.equal("e1234");
        expect(decide().kind).to.equal("send");
    });

    // Guards against requests that wait because endpoints of a busier service have become free since.
    it("sends a waiting request to the endpoint that has become free, also when 200 of other services have", () => {
        const fleet = new ChoiceFleet({ endpoints: 2_000, kind: "plain", isEstimated: false, seed: 7, fullPart: 1 });
        const full = { running: 5, unreadTokens: 0 };
        const others = Array.from({ length: 200 }, (...[, i]) => `other${i}`);
        fleet.loads.applyPeerLoad(
            "peer",
            [...fleet.candidates.map(({ id }) => id), ...others].map(id => [id, full]),
            true,
        );
        const decide = fleet.repeatedDecision();
        expect(decide().kind).to.equal("wait");
        const relief = { running: 2, unreadTokens: 0 };
        fleet.loads.applyPeerLoad("peer", ["e1234", ...others].map(id => [id, relief]), false);
        expect(bestChoice(decide())?.endpoint.id).to.equal("e1234");
    });

    // Guards against a choice that costs more when the loads of many endpoints have fallen.
    it("considers 32 endpoints at most because their load has fallen", () => {
        const loads = new CountingLoads();
        const fleet = new ChoiceFleet({ endpoints: 2_000, kind: "plain", isEstimated: false, seed: 7, loads });
        const apply = (running: number): void =>
            loads.applyPeerLoad("peer", fleet.candidates.map(({ id }) => [id, { running, unreadTokens: 0 }]), false);
        apply(9);
        const decide = fleet.repeatedDecision();
        expect(decide().kind).to.equal("wait");
        apply(8);
        loads.lookUps = 0;
        expect(decide().kind).to.equal("wait");
        expect(loads.lookUps).to.be.within(33, 32 + 32);
    });

    // Guards against requests for one version of a service that wait while requests for another one find nothing free.
    it("finds the free endpoints of each part of a service that requests are restricted to", () => {
        const fleet = new ChoiceFleet({ endpoints: 4_000, kind: "plain", isEstimated: false, seed: 12 });
        const free = new Set(["e11", "e1701", "e3999"]);
        fleet.reportLoads(id => ({ running: free.has(id) ? 0 : 5, unreadTokens: 0 }));
        const req = { ...fleet.request(), rank: 0, targetAt: fleet.clock.now() + 5_000 };
        // Each decision gets a new list, as from an ingress that filters its endpoints.
        const decide = (part: number) =>
            fleet.dispatcher.decide(
                req,
                fleet.candidates.filter((...[, i]) => i % 2 === part),
                fleet.model,
                fleet.clock.now(),
            ).kind;
        for (let i = 0; i < 50; i++) {
            expect([decide(0), decide(1)]).to.deep.equal(["wait", "send"]);
            fleet.clock.advanceTo(fleet.clock.now() + 15);
        }
    });

    // Guards against prompts that are read again by an engine of the sample while another one has cached them.
    it("sends a prompt to the engine that has cached it, also when others have a lower load", () => {
        const fleet = new ChoiceFleet({ endpoints: 4_000, kind: "engine", isEstimated: true, seed: 8, fullPart: 0 });
        fleet.loads.applyPeerLoad("peer", [["e5", { running: 1, unreadTokens: 0 }]], true);
        const now = fleet.clock.now();
        fleet.prefixes.record("e5", longPrompt.parts.slice(0, 2), 50_000, now);
        const other = { ...fleet.request(), work: longPrompt, targetAt: now + 500 };
        const chosen = fleet.chooseOften(other);
        // The engine that all processes assign to the prompt is expected to have cached it too.
        const assigned = fleet.affinity.preferredEndpoint(other);
        expect(chosen.filter(id => id !== "e5" && id !== assigned)).to.deep.equal([]);
    });

    // Guards against engines of another service, which has read the same prompt, that take the places of its own.
    it("sends a prompt to the engine that has cached it, also when many engines of another service have", () => {
        const fleet = new ChoiceFleet({ endpoints: 4_000, kind: "engine", isEstimated: true, seed: 8, fullPart: 0 });
        const now = fleet.clock.now();
        [...Array(12).keys()].forEach(i =>
            fleet.prefixes.record(`other${i}`, longPrompt.parts.slice(0, 2), 50_000, now)
        );
        fleet.prefixes.record("e5", longPrompt.parts.slice(0, 2), 50_000, now);
        fleet.loads.applyPeerLoad("peer", [["e5", { running: 1, unreadTokens: 0 }]], true);
        const req = { ...fleet.request(), work: longPrompt, targetAt: now + 500 };
        // The engine that all processes assign to the prompt cannot take it.
        const excluded = new Set([fleet.affinity.preferredEndpoint(req) ?? ""]);
        expect(excluded.has("e5")).to.equal(false);
        for (const candidates of [fleet.candidates, [...fleet.candidates]]) {
            const chosen = fleet.chooseOften(req, candidates, excluded);
            expect(chosen.filter(id => id !== "e5")).to.deep.equal([]);
        }
    });

    // Guards against a choice that costs more with each engine that has cached the start of a prompt.
    it("considers nine engines at most for having cached a prompt, whether the list is known or not", () => {
        const loads = new CountingLoads();
        const fleet = new ChoiceFleet({
            endpoints: 4_000,
            kind: "engine",
            isEstimated: true,
            seed: 8,
            loads,
            fullPart: 0,
        });
        const now = fleet.clock.now();
        const parts = [{ id: "system", tokens: 20 }, { id: "q", tokens: 50 }];
        fleet.candidates.slice(0, 500).forEach(({ id }) => fleet.prefixes.record(id, parts, 50_000, now));
        const work = { parts, promptTokens: 70, maxOutputTokens: 50, outputTokens: 50 };
        const req = { ...fleet.request(), work, targetAt: now + 5_000 };
        const listOnce = [...fleet.candidates];
        for (const candidates of [listOnce, fleet.candidates, fleet.candidates]) {
            loads.lookUps = 0;
            fleet.dispatcher.choose(req, candidates, fleet.model, now);
            expect(loads.lookUps).to.be.within(33, 32 + 9);
        }
    });
});

describe("RendezvousAffinity with many endpoints", () => {
    const candidates = (count: number): Candidate[] =>
        [...Array(count).keys()].map(i => ({ id: `e${i}`, failureDomain: "a", slots: 4 }));
    const prompt = (i: number): DispatchRequest => ({
        id: `r${i}`,
        service: "s",
        workspace: "w",
        rank: 0,
        arrivedAt: 0,
        targetAt: 500,
        deadline: 1_000,
        work: {
            parts: [{ id: `shared${i}`, tokens: 100 }, { id: "own", tokens: 10 }],
            promptTokens: 110,
            maxOutputTokens: 1,
            outputTokens: 1,
        },
    });

    // Guards against caches that are read again all over a service when one of its endpoints leaves.
    it("moves only the prompts of an endpoint that leaves, and all processes agree", () => {
        let list: readonly Candidate[] = candidates(1_000);
        const affinity = new RendezvousAffinity(() => list);
        const prompts = Array.from({ length: 3_000 }, (...[, i]) => prompt(i));
        const before = prompts.map(req => affinity.preferredEndpoint(req));
        const reversed = [...list].reverse();
        const other = new RendezvousAffinity(() => reversed);
        expect(prompts.map(req => other.preferredEndpoint(req))).to.deep.equal(before);
        const gone = new Set([before[0], before[1]]);
        list = list.filter(({ id }) => !gone.has(id));
        const after = prompts.map(req => affinity.preferredEndpoint(req));
        const moved = prompts.filter((...[, i]) => after[i] !== before[i]).length;
        expect(moved).to.equal(before.filter(id => gone.has(id)).length);
        expect(after.filter(id => gone.has(id))).to.deep.equal([]);
    });

    it("spreads the prompts evenly", () => {
        const ring = new HashRing(candidates(100).map(({ id }) => id));
        const counts = new Map<string | undefined, number>();
        const keys = 20_000;
        for (let i = 0; i < keys; i++) {
            const id = ring.find(`/p${i}`);
            counts.set(id, (counts.get(id) ?? 0) + 1);
        }
        expect(Math.max(...counts.values())).to.be.below(keys / 100 * 1.6);
        expect(new HashRing([]).find("/p")).to.equal(undefined);
    });
});

describe("PrefixCacheIndex.findHolders", () => {
    const part = (id: string) => ({ id, tokens: 10 });

    // Guards against a prompt that is read again because the engine which has cached it is not named.
    it("names all endpoints that have cached the start of a prompt, through evictions and removals", () => {
        const random = new SeededRandom(3);
        const index = new PrefixCacheIndex(6);
        const endpoints = ["a", "b", "c", "d", "e"];
        const anyParts = (count: number) => Array.from({ length: count }, () => part(`p${random.nextInt(3)}`));
        for (let i = 0; i < 3_000; i++) {
            const id = endpoints[random.nextInt(endpoints.length)] ?? "";
            if (random.next() < 0.05) {
                index.removeEndpoint(id);
            }
            else {
                index.record(id, anyParts(3), 50, i);
            }
            const asked = anyParts(2);
            const found = [...index.findHolders(asked)];
            expect(found).to.include.members(endpoints.filter(other => index.cachedTokens(other, asked) > 0));
            expect(new Set(found).size).to.equal(found.length);
        }
        endpoints.forEach(id => index.removeEndpoint(id));
        [0, 1, 2].forEach(i => expect([...index.findHolders([part(`p${i}`)])]).to.deep.equal([]));
    });

    it("names endpoints with the longest prefix first, then those that read it longest ago, and none that evicted it", () => {
        const index = new PrefixCacheIndex();
        ["a", "b", "c"].forEach((id, i) => index.record(id, [part("p")], 100, i));
        index.record("b", [part("p"), part("q")], 100, 3);
        index.record("a", [part("p")], 100, 4);
        expect([...index.findHolders([part("p"), part("q")])]).to.deep.equal(["b", "c", "a"]);
        index.record("c", [part("x"), part("y")], 20, 5);
        expect([...index.findHolders([part("p")])]).to.deep.equal(["b", "a"]);
    });
});
