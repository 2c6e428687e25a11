import { type ReplicaOrder, ReplicaPlanner } from "@lentilramp/fleet";
import { expect } from "chai";
import fc from "fast-check";
import { ScalingPlatform } from "./scaling-platform.ts";

const stepMs = 400;
const domains = ["a", "b", "c"];
const capacity = { slots: 10, prefillPerSecond: 100_000 };
const range = {
    minReplicas: 0,
    maxReplicas: 40,
    bootMs: 4_000,
    reclaimablePrice: 0.2,
    domainPrices: new Map([["a", 0.85], ["b", 1], ["c", 1.2]]),
};

/** Demand that occupies `engines` engines at the planned utilization of 0.8. */
function demandOf(engines: number) {
    return { prefillPerSecond: 0, promptPerSecond: 0, occupiedSlots: engines * capacity.slots * 0.8 };
}

type OutcomeOf = Parameters<ScalingPlatform["execute"]>[3];

/**
 * Plans once, and checks that the orders leave the replicas that are needed, or all where there are fewer. Replicas are
 * counted as far as the list shows them.
 */
function step(
    planner: ReplicaPlanner,
    platform: ScalingPlatform,
    engines: number,
    now: number,
    { outcomeOf, failureDomains = domains, scaling = range }: {
        outcomeOf?: OutcomeOf;
        failureDomains?: readonly string[];
        scaling?: typeof range;
    } = {},
): ReplicaOrder[] {
    planner.observeDemand(demandOf(engines), now);
    platform.settle(now);
    const before = platform.listedUnreleased(now).length;
    const orders = planner.plan(platform.listed(now), scaling, failureDomains, capacity, now);
    const needed = planner.neededEngines(capacity) ?? 0;
    platform.execute(orders, planner, now, outcomeOf);
    const after = platform.listedUnreleased(now).length;
    expect(after, `of ${before} at ${now} ms, after ${JSON.stringify(orders)}`).to.be.at.least(
        Math.min(before, needed),
    );
    return orders;
}

describe("ReplicaPlanner", () => {
    // Two domains refused 25 and 22 reclaimable replicas; 0.4 s later the third was told to keep 6, although 35 were
    // needed. The list fell from 49 ready replicas to 23 for 8 s.
    it("keeps the replicas of a domain while two others refuse those that should replace them", () => {
        const planner = new ReplicaPlanner("model");
        const platform = new ScalingPlatform(range.bootMs);
        platform.install("a", 9, true);
        platform.install("b", 8, true);
        platform.install("c", 32, true);
        platform.exhausted.add("a").add("b");
        const scaling = { ...range, domainPrices: new Map([["a", 0.8], ["b", 0.8], ["c", 2]]) };
        for (let now = 0; now < 40_000; now += stepMs) {
            step(planner, platform, 34.5, now, { scaling });
            expect(platform.ready(now).length, `at ${now} ms`).to.be.at.least(35);
        }
    });

    // Guards against a fleet that stays too large for good, since it always finds replicas to keep.
    it("releases what is no longer planned once the replacements are ready, also one after the other", () => {
        const planner = new ReplicaPlanner("model");
        const platform = new ScalingPlatform(range.bootMs);
        platform.install("c", 38, true);
        platform.exhausted.add("a").add("b");
        let now = 0;
        for (; now < 20_000; now += stepMs) {
            step(planner, platform, 30, now);
        }
        expect(platform.ready(now).filter(({ failureDomain }) => failureDomain === "c").length).to.be.at.least(30);
        const heldBefore = planner.heldReplicas.reduce((sum, { kept, planned }) => sum + kept - planned, 0);
        expect(heldBefore).to.be.above(0);
        platform.exhausted.clear();
        for (; now < 70_000; now += stepMs) {
            step(planner, platform, 30, now);
        }
        const counts = domains.map(domain =>
            platform.ready(now).filter(({ failureDomain }) => failureDomain === domain).length
        );
        expect(Math.max(...counts)).to.be.at.most(25);
        expect(counts.reduce((sum, count) => sum + count, 0)).to.be.within(30, 60);
        expect(planner.heldReplicas).to.deep.equal([]);
    });

    // Guards against on-demand replicas that are released when reclaimable ones are ordered, before these serve.
    it("moves from on-demand to reclaimable replicas, and back when the platform refuses them", () => {
        const planner = new ReplicaPlanner("model");
        const platform = new ScalingPlatform(range.bootMs);
        domains.forEach(domain => platform.install(domain, 8, false));
        let now = 0;
        for (; now < 40_000; now += stepMs) {
            step(planner, platform, 16, now);
            expect(platform.ready(now).length, `at ${now} ms`).to.be.at.least(16);
        }
        const reclaimable = platform.ready(now).filter(entry => entry.reclaimable).length;
        expect(reclaimable).to.be.at.least(16);
        domains.forEach(domain => platform.exhausted.add(domain));
        platform.reclaim("a", now);
        platform.reclaim("b", now);
        for (const end = now + 15_000; now < end; now += stepMs) {
            step(planner, platform, 16, now);
        }
        expect(platform.ready(now).length).to.be.at.least(16);
        expect(platform.ready(now).filter(entry => !entry.reclaimable).length).to.be.above(0);
    });

    // Guards against a new leader that knows of no order and has heard from no ingress yet.
    it("keeps a serving fleet while a new leader has no demand reports", () => {
        const platform = new ScalingPlatform(range.bootMs);
        domains.forEach(domain => platform.install(domain, 13, true));
        platform.install("a", 6, false);
        const planner = new ReplicaPlanner("model");
        let now = 0;
        for (; now < 2_400; now += stepMs) {
            step(planner, platform, 0, now);
            expect(platform.ready(now).length, `at ${now} ms`).to.equal(45);
        }
        for (; now < 30_000; now += stepMs) {
            step(planner, platform, 35, now);
            expect(platform.ready(now).length, `at ${now} ms`).to.be.at.least(35);
        }
    });

    // Guards against orders of an earlier term of the same steward, which another leader has replaced since.
    it("does not repeat its own earlier orders when it leads again", () => {
        const platform = new ScalingPlatform(range.bootMs);
        domains.forEach(domain => platform.install(domain, 6, true));
        const planner = new ReplicaPlanner("model");
        for (let now = 0; now < 10_000; now += stepMs) {
            step(planner, platform, 8, now);
        }
        domains.forEach(domain => platform.install(domain, 20, true));
        planner.takeOver();
        for (let now = 30_000; now < 45_000; now += stepMs) {
            const lower = step(planner, platform, 8, now).filter(({ count }) => count < 20);
            expect(now < 42_000 ? lower : [], `at ${now} ms`).to.deep.equal([]);
        }
    });

    it("shrinks a fleet whose demand falls, and one that becomes idle", () => {
        const planner = new ReplicaPlanner("model");
        const platform = new ScalingPlatform(range.bootMs);
        domains.forEach(domain => platform.install(domain, 4, false));
        let now = 0;
        for (; now < 2_000; now += stepMs) {
            step(planner, platform, 0, now);
        }
        for (; now < 40_000; now += stepMs) {
            step(planner, platform, 30, now);
        }
        expect(platform.ready(now).length).to.be.at.least(30);
        for (; now < 80_000; now += stepMs) {
            step(planner, platform, 10, now);
        }
        const whenLow = platform.ready(now).length;
        expect(whenLow).to.be.within(10, 25);
        for (; now < 110_000; now += stepMs) {
            step(planner, platform, 0, now);
        }
        expect(platform.ready(now).length).to.be.below(25);
        expect(platform.ready(now).filter(entry => !entry.reclaimable).length).to.equal(0);
    });

    // The orders of one plan together, lost and unknown ones, and lists that do not show the last orders yet.
    it("never orders fewer than are needed, for any demand, refusals, reclaims and failures of calls", () => {
        const events = fc.record({
            engines: fc.integer({ min: 1, max: 45 }),
            exhausted: fc.subarray(domains),
            reclaimed: fc.option(fc.constantFrom(...domains), { nil: undefined, freq: 3 }),
            failing: fc.constantFrom(undefined, undefined, "lost" as const, "unknown" as const, "refused" as const),
            newLeader: fc.boolean(),
            steps: fc.integer({ min: 1, max: 40 }),
        });
        const installed = fc.array(fc.integer({ min: 0, max: 20 }), { minLength: 6, maxLength: 6 });
        const price = fc.constantFrom(0.1, 0.2, 0.9);
        const phaseList = fc.array(events, { minLength: 1, maxLength: 6 });
        fc.assert(
            fc.property(installed, price, phaseList, fc.boolean(), (counts, price, phases, releasesOldest) => {
                const platform = new ScalingPlatform(range.bootMs, releasesOldest);
                counts.forEach((count, i) => platform.install(domains[i % 3] ?? "a", count, i < 3));
                let planner = new ReplicaPlanner("model");
                let now = 0;
                for (const { engines, exhausted, reclaimed, failing, newLeader, steps } of phases) {
                    platform.exhausted.clear();
                    exhausted.forEach(domain => platform.exhausted.add(domain));
                    // A new leader cannot know of replicas that are starting, and that the platform keeps before ready ones.
                    planner = newLeader && !releasesOldest ? new ReplicaPlanner("model") : planner;
                    if (reclaimed !== undefined) {
                        platform.reclaim(reclaimed, now);
                    }
                    for (let i = 0; i < steps; i++, now += stepMs) {
                        step(planner, platform, engines, now, {
                            outcomeOf: () => i % 3 === 0 ? failing : undefined,
                            scaling: { ...range, reclaimablePrice: price },
                        });
                    }
                }
            }),
            { seed: 7, numRuns: 60 },
        );
    });
});
