import { FleetRoom } from "@lentilramp/steward";
import { expect } from "chai";
import { RoomFleet, type Source } from "./room-fleet.ts";

/** Share of the capacity that all sources together offer in ordinary times. */
const ordinary = 0.7;

function source(rank: number, workspace: string, load: Source["load"], more: Partial<Source> = {}): Source {
    return { name: `${rank}-${workspace}`, workspace, rank, load, ...more };
}

const constant = (load: number) => () => load;
const between = (from: number, to: number, inside: number, outside: number) => (now: number) =>
    now >= from && now < to ? inside : outside;

/** Checks that the largest tenth, the fifth below it and the shared prompt part are served as often as the others. */
function expectNoSizeStarved(fleet: RoomFleet, name: string): void {
    const { sizes, shared } = fleet.result(name);
    const rate = (classes: typeof sizes): number =>
        classes.reduce((sum, { served }) => sum + served, 0) / classes.reduce((sum, { requests }) => sum + requests, 0);
    expect(rate(sizes.slice(9)), `largest tenth of ${name}`).to.be.at.least(fleet.served(name) / 2);
    expect(rate(sizes.slice(7, 9)), `fifth below it of ${name}`).to.be.at.least(fleet.served(name) / 2);
    expect(rate([shared]), `shared part of ${name}`).to.be.at.least(fleet.served(name) / 2);
}

/** Two ranks of two workspaces, whose load is `peak` of the capacity between 4 s and `until`. */
function twoRanks(peak: number, until: number): Source[] {
    const part = (share: number) => between(4_000, until, peak * share, ordinary * share);
    return [
        source(1, "a", part(0.25)),
        source(1, "b", part(0.15)),
        source(2, "a", part(0.4)),
        source(2, "b", part(0.2)),
    ];
}

describe("Fleet-wide admission", () => {
    for (const peak of [1.5, 2]) {
        for (const seconds of [4, 40]) {
            it(`answers ${peak} times the capacity for ${seconds} s: urgent requests first, nobody starved`, () => {
                const until = 4_000 + seconds * 1_000;
                const fleet = new RoomFleet(twoRanks(peak, until), { seed: 7 }).run(4_000);
                expect(fleet.hasLevel).to.equal(false);
                fleet.resetResults().run(seconds * 1_000);
                expect(fleet.hasLevel).to.equal(true);
                for (const name of ["1-a", "1-b"]) {
                    expect(fleet.served(name), name).to.be.at.least(0.95);
                }
                // Max-min fairness: the smaller workspace of the rank that is cut is not cut more than the larger one.
                expect(fleet.served("2-b")).to.be.at.least(fleet.served("2-a") * 0.95);
                expect(fleet.served("2-a")).to.be.at.least(0.1);
                expect(fleet.usedMs / (fleet.slots * seconds * 1_000), "used capacity").to.be.at.least(0.85);
                expect(fleet.needlessRefusals).to.equal(0);
                [...fleet.results.keys()].forEach(name => expectNoSizeStarved(fleet, name));
                fleet.run(6_000);
                expect(fleet.hasLevel, "6 s after the peak").to.equal(false);
                fleet.resetResults().run(4_000);
                [...fleet.results.keys()].forEach(name => expect(fleet.served(name), name).to.be.at.least(0.95));
            });
        }
    }

    // Guards against a rank that gets nothing for as long as more urgent ones exceed the capacity.
    it("keeps a part for the less urgent rank while the urgent one alone is at twice the capacity", () => {
        const sources = [source(1, "a", constant(2)), source(2, "b", constant(0.2))];
        const fleet = new RoomFleet(sources, { seed: 11 }).run(4_000).resetResults().run(20_000);
        expectNoSizeStarved(fleet, "2-b");
        const { requests } = fleet.result("2-b");
        const counted = fleet.result("2-b");
        // The callers that were refused last have not come back yet.
        fleet.resetResults().run(2_000);
        // 5% of the capacity is a quarter of what the rank asks for. About 500 requests are drawn with that probability, so
        // that two standard deviations are a tenth of it.
        expect(counted.served / requests).to.be.at.least(0.25 * 0.9);
        expectNoSizeStarved(fleet, "1-a");
    });

    // Guards against the small workspaces that pay for the burst of one.
    it("answers one workspace at 7.5 times its usual load: the others are served as before", () => {
        const names = ["b", "c", "d", "e", "f"];
        const sources = [
            source(1, "a", between(4_000, 15_000, 7.5 * 0.2, 0.2)),
            ...names.map(name => source(1, name, constant(0.1))),
        ];
        const fleet = new RoomFleet(sources, { seed: 5 }).run(4_000).resetResults().run(11_000);
        for (const name of names) {
            expect(fleet.served(`1-${name}`), name).to.be.at.least(0.9);
        }
        // Its fair share is what the others leave: half of the capacity.
        const { served, requests } = fleet.result("1-a");
        expect(served / requests).to.be.at.least(0.5 / 1.5 * 0.8);
        expect(fleet.needlessRefusals).to.equal(0);
        expectNoSizeStarved(fleet, "1-a");
    });

    // Guards against callers that gain capacity by retrying, and against a level that follows their retries down.
    it("answers callers who retry three times at once: the workspaces that do not are served as before", () => {
        const sources = [
            source(1, "a", between(4_000, 24_000, 1.2, 0.3), { retriesAtOnce: 3 }),
            source(1, "b", constant(0.2)),
            source(1, "c", constant(0.2)),
        ];
        const fleet = new RoomFleet(sources, { seed: 3 }).run(4_000).resetResults().run(20_000);
        for (const name of ["1-b", "1-c"]) {
            expect(fleet.served(name), name).to.be.at.least(0.9);
        }
        expect(fleet.usedMs / (fleet.slots * 20_000), "used capacity").to.be.at.least(0.85);
        expect(fleet.needlessRefusals).to.equal(0);
    });

    // Guards against urgent requests that wait behind a burst of the less urgent kind.
    it("answers a burst of the less urgent kind while urgent requests arrive: these are all served", () => {
        const sources = [
            source(0, "a", constant(0.3)),
            source(2, "a", between(4_000, 10_000, 2, 0.3)),
            source(2, "b", constant(0.1)),
        ];
        const fleet = new RoomFleet(sources, { seed: 9 }).run(4_000).resetResults().run(6_000);
        expect(fleet.served("0-a")).to.be.at.least(0.98);
        expect(fleet.result("0-a").refused).to.equal(0);
        expect(fleet.served("2-b")).to.be.at.least(0.8);
        expect(fleet.served("2-a")).to.be.at.least(0.2);
    });

    // Guards against a level that ends, or doubles, with a report that does not come in time.
    for (
        const [what, deliver] of [
            ["lost", (index: number, now: number) => (index + Math.floor(now / 250)) % 4 === 0 ? "lost" : 2],
            ["late by two intervals", (index: number) => index % 3 === 0 ? 500 : 2],
        ] as const
    ) {
        it(`answers twice the capacity in the same way while reports are ${what}`, () => {
            const fleet = new RoomFleet(twoRanks(2, 24_000), { seed: 13, deliver }).run(4_000).resetResults();
            fleet.run(20_000);
            expect(fleet.hasLevel).to.equal(true);
            expect(fleet.served("1-a")).to.be.at.least(0.9);
            expect(fleet.served("1-b")).to.be.at.least(0.9);
            expect(fleet.served("2-b")).to.be.at.least(fleet.served("2-a") * 0.95);
            expect(fleet.usedMs / (fleet.slots * 20_000), "used capacity").to.be.at.least(0.85);
        });
    }

    // Guards against a level that stays in force without a leader, and against a new leader that cannot restore it.
    it("drops the level without a leader, and has it again two sync intervals after a new one leads", () => {
        let away = false;
        const deliver = (): number | "lost" => away ? "lost" : 2;
        const fleet = new RoomFleet(twoRanks(2, 60_000), { seed: 17, deliver }).run(8_000);
        expect(fleet.hasLevel).to.equal(true);
        away = true;
        expect(fleet.run(700).hasLevel, "two intervals without a leader").to.equal(true);
        expect(fleet.run(400).hasLevel, "four intervals without a leader").to.equal(false);
        fleet.room = new FleetRoom(undefined);
        away = false;
        expect(fleet.run(260).hasLevel, "one interval of the new leader").to.equal(false);
        expect(fleet.run(750).hasLevel, "three intervals of the new leader").to.equal(true);
        fleet.resetResults().run(10_000);
        expect(fleet.served("1-a")).to.be.at.least(0.95);
    });

    // Guards against refusals in ordinary times, whose load varies at random.
    it("refuses nothing by a level at 0.8 of the capacity, nor for a burst of less than a sync interval", () => {
        // With 1.9 of the capacity for 0.2 s, the work of the second around it is 1.02 of the capacity.
        const fleet = new RoomFleet([
            source(1, "a", between(20_000, 20_200, 1.6, 0.5)),
            source(2, "b", constant(0.3)),
        ], { seed: 21 }).run(40_000);
        expect(fleet.result("1-a").refused + fleet.result("2-b").refused).to.equal(0);
        expect(fleet.log.events).to.deep.equal([]);
    });

    // Guards against refusals by expected slot times that are far too long, as callers' estimates can be.
    it("uses the capacity although requests take half as long as expected", () => {
        const fleet = new RoomFleet(twoRanks(1.6, 40_000), { seed: 23 });
        fleet.slotFactor = 0.5;
        fleet.run(20_000).resetResults().run(15_000);
        [...fleet.results.keys()].forEach(name => expect(fleet.served(name), name).to.be.at.least(0.95));
    });

    // Guards against a leader that does not count the work of ingresses of the earlier software version.
    it("counts the demand of ingresses that report no work by rank as that of an unknown workspace", () => {
        const fleet = new RoomFleet(twoRanks(2, 40_000), { seed: 25, earlierVersion: 4 }).run(4_000).resetResults();
        fleet.run(15_000);
        expect(fleet.hasLevel).to.equal(true);
        expect(fleet.served("1-a")).to.be.at.least(0.8);
        expect(fleet.served("2-a")).to.be.at.least(0.1);
    });

    // Guards against lost capacity that the level learns of only by late answers.
    it("answers the loss of a third of the endpoints", () => {
        const fleet = new RoomFleet([
            source(1, "a", constant(0.4)),
            source(2, "b", constant(0.4)),
        ], { seed: 27 }).run(4_000);
        fleet.slots = 130;
        fleet.resetResults().run(10_000);
        expect(fleet.hasLevel).to.equal(true);
        expect(fleet.served("1-a")).to.be.at.least(0.95);
        expect(fleet.served("2-b")).to.be.at.least(0.4);
        fleet.slots = 200;
        expect(fleet.run(5_000).hasLevel).to.equal(false);
    });

    // Guards against log lines without bound in a long overload.
    it("logs the begin, the large changes and the end of a level, and no more", () => {
        const fleet = new RoomFleet(twoRanks(2, 44_000), { seed: 29 }).run(56_000);
        const names = fleet.log.events.map(({ name }) => name);
        expect(names[0]).to.equal("room.level-begun");
        expect(names.at(-1)).to.equal("room.level-ended");
        expect(names.length).to.be.at.most(20);
        expect(fleet.log.events[0]?.fields).to.include({ service: "s", slots: 200, resource: "slots", ingresses: 12 });
    });
});
