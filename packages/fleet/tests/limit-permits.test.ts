import { LimitAllocator, LimitPermits, LimitTurns, permitLifetimeMs } from "@lentilramp/fleet";
import { expect } from "chai";
import { LimitedFleet } from "./limited-fleet.ts";

const endpoint = { id: "e", service: "app", startedAt: 1 };
const sizes = [3, 8, 64];
/** Time from the first answer with a limit until the users' rule holds, in milliseconds. */
const contactMs = 3_000;
/** Time from the first answer with a limit from which requests count, in milliseconds. */
const toldMs = 500;

/** Largest number of requests that the users' rule allows in 4 s. */
function allowed(perSecond: number): number {
    return 1.5 * perSecond * 4 + 5;
}

/** Starts a fleet under load and lets its endpoint name a limit from 2 s on. */
function limitedFrom2s(count: number, perSecond: number, offeredPerSecond: number, seed = 1): LimitedFleet {
    const fleet = new LimitedFleet(count, seed, offeredPerSecond);
    fleet.run(2_000);
    fleet.limit = perSecond;
    return fleet;
}

describe("permits for endpoints with a limit", () => {
    for (const count of sizes) {
        for (const perSecond of [0.5, 2, 3.8, 20]) {
            // Guards against ingresses that each use the whole limit, and against a fleet that uses almost none of it.
            it(`keep and use a limit of ${perSecond} a second at ${count} ingresses`, () => {
                const fleet = limitedFrom2s(count, perSecond, 100);
                fleet.run(30_000);
                expect(fleet.mostInWindow(2_000 + toldMs, 30_000)).to.be.at.most(allowed(perSecond));
                expect(fleet.usedShare(perSecond, 2_000 + contactMs, 30_000)).to.be.within(0.8, 1.2);
                expect(fleet.refused).to.be.above(500);
            });
        }

        // Guards against refusals although the endpoint takes more than callers ask for.
        it(`refuse almost nothing below the limit at ${count} ingresses`, () => {
            const fleet = limitedFrom2s(count, 40, 20);
            fleet.run(5_000);
            const { refused } = fleet;
            fleet.run(25_000);
            expect(fleet.refused - refused).to.be.below(20 * 20 * 0.05);
        });

        // Guards against a sum above the limit while ingresses restart, freeze, are cut off and come back.
        it(`keep the limit while ingresses restart, freeze and are cut off at ${count} ingresses`, () => {
            for (const seed of [1, 2, 3]) {
                const fleet = limitedFrom2s(count, 2, 100, seed);
                fleet.run(4_000);
                for (let round = 0; round < 8; round++) {
                    const at = fleet.now;
                    fleet.restart(round % count);
                    const frozen = fleet.ingresses[(round + 1) % count]!;
                    const cut = fleet.ingresses[(round + 2) % count]!;
                    frozen.running = false;
                    cut.inContact = false;
                    fleet.run(at + 2_500);
                    frozen.running = true;
                    cut.inContact = true;
                    fleet.run(at + 4_000);
                }
                expect(fleet.mostInWindow(2_000 + toldMs, fleet.now), `seed ${seed}`).to.be.at.most(allowed(2));
                expect(fleet.usedShare(2, 5_000, fleet.now), `seed ${seed}`).to.be.above(0.6);
            }
        });

        // Guards against an endpoint that gets nothing, or too much, while no steward leads.
        it(`keep and use the limit without a leader, and with another one after it, at ${count} ingresses`, () => {
            const fleet = limitedFrom2s(count, 4, 200);
            fleet.run(6_000);
            fleet.leader = undefined;
            fleet.run(26_000);
            fleet.leader = new LimitAllocator();
            fleet.run(40_000);
            expect(fleet.mostInWindow(2_000 + toldMs, 40_000)).to.be.at.most(allowed(4));
            expect(fleet.usedShare(4, 10_000, 26_000)).to.be.above(0.4);
            expect(fleet.usedShare(4, 29_000, 40_000)).to.be.above(0.8);
        });

        // Guards against both sides of a partition together sending more than the limit.
        it(`keep the limit when a part of ${count} ingresses loses the leader`, () => {
            for (const part of [0.3, 0.5, 0.7]) {
                const fleet = limitedFrom2s(count, 4, 200);
                fleet.run(6_000);
                fleet.ingresses.slice(0, Math.ceil(count * part)).forEach(ingress => ingress.inContact = false);
                fleet.run(26_000);
                fleet.ingresses.forEach(ingress => ingress.inContact = true);
                fleet.run(34_000);
                expect(fleet.mostInWindow(2_000 + toldMs, 34_000), `part ${part}`).to.be.at.most(allowed(4));
                expect(fleet.usedShare(4, 10_000, 26_000), `part ${part}`).to.be.above(0.5);
            }
        });

        // Guards against permits of an earlier, higher limit that outlast it, and against a limit that never ends.
        it(`follow a limit that falls, rises and ends at ${count} ingresses`, () => {
            const fleet = limitedFrom2s(count, 20, 100);
            fleet.run(10_000);
            fleet.limit = 2;
            fleet.run(20_000);
            expect(fleet.mostInWindow(10_000 + contactMs, 20_000)).to.be.at.most(allowed(2));
            fleet.limit = 10;
            fleet.run(30_000);
            expect(fleet.usedShare(10, 24_000, 30_000)).to.be.within(0.8, 1.2);
            fleet.limit = undefined;
            fleet.run(36_000);
            const { refused } = fleet;
            fleet.run(40_000);
            expect(fleet.refused).to.equal(refused);
        });

        // Guards against an endpoint that named zero and is never asked again, so that the end of its limit stays unknown.
        it(`find the end of a limit of zero at ${count} ingresses`, () => {
            const fleet = limitedFrom2s(count, 0, 100);
            fleet.run(20_000);
            expect(fleet.mostInWindow(2_000 + toldMs, 20_000)).to.be.at.most(allowed(0));
            fleet.limit = undefined;
            fleet.run(40_000);
            expect(fleet.usedShare(100, 35_000, 40_000)).to.be.above(0.9);
        });

        // Guards against a huge limit that costs callers or produces numbers that other processes cannot read.
        it(`do not bind at a huge limit at ${count} ingresses`, () => {
            const fleet = limitedFrom2s(count, 1e300, 100);
            fleet.run(6_000);
            const { refused } = fleet;
            fleet.run(12_000);
            expect(fleet.refused).to.equal(refused);
        });
    }

    // Guards against a sync interval that grows with the fleet and lets ingresses that were told send as before.
    it("keep and use a limit at 191 ingresses, counted at those that were told", () => {
        for (const seed of [1, 2, 3, 4, 5]) {
            const fleet = limitedFrom2s(191, 3.8, 100, seed);
            fleet.run(30_000);
            expect(fleet.mostInWindow(0, 30_000, fleet.toldArrivals), `seed ${seed}`).to.be.at.most(allowed(3.8));
            expect(fleet.usedShare(3.8, 2_000 + contactMs, 30_000), `seed ${seed}`).to.be.within(0.8, 1.2);
        }
    });

    /** Permits of one of many ingresses, which is in contact with the leader for some seconds. */
    function permitsInContact(granted = 0): LimitPermits {
        const permits = new LimitPermits(() => ({ members: 191, position: 0, fleetTimeMs: 0 }), () => undefined);
        permits.recordAnswer(endpoint, 2, 0, 10);
        permits.applyAnswer({ limits: {}, permits: { e: granted } }, {}, 100);
        return permits;
    }

    // Guards against a limit that outlives the lifetime of the endpoint that named it.
    it("forget the limit of an earlier lifetime of an endpoint", () => {
        const permits = permitsInContact();
        expect(permits.maySend("e", 200)).to.equal(false);
        permits.retain([{ ...endpoint, startedAt: 2 }]);
        expect(permits.maySend("e", 200)).to.equal(true);
        expect(permits.heardReports(200)).to.deep.equal({});
    });

    // Guards against permits of a process that slept and that the leader has granted again since.
    it("expire when they are not used", () => {
        const permits = permitsInContact(2);
        expect(permits.maySend("e", 200)).to.equal(true);
        permits.recordSend("e", 200);
        expect(permits.maySend("e", 100 + permitLifetimeMs - 1)).to.equal(true);
        expect(permits.maySend("e", 100 + permitLifetimeMs)).to.equal(false);
    });

    // Guards against an answer that was sent before the endpoint named its limit and lifts it.
    it("keep a limit when an older answer without one arrives later", () => {
        const permits = permitsInContact();
        permits.recordAnswer(endpoint, 2, 900, 1_000);
        permits.recordAnswer(endpoint, undefined, 950, 1_100);
        expect(permits.limitOf("e")).to.equal(2);
        permits.recordAnswer(endpoint, undefined, 1_400, 1_500);
        expect(permits.limitOf("e")).to.equal(undefined);
    });
});

describe("LimitTurns", () => {
    // Guards against turns of several ingresses at one instant, and against turns that add up while nobody sends.
    it("belong to one ingress each and do not add up", () => {
        const turns = Array.from({ length: 4 }, () => new LimitTurns());
        const taken: number[] = [];
        for (let now = 100_000; now < 140_000; now += 5) {
            turns.forEach((own, position) => {
                const share = { members: 4, position, fleetTimeMs: now };
                if (own.available("e", 2, share) > 0) {
                    own.take("e", 2, share);
                    // At first each ingress has the turns of the last second.
                    if (now >= 101_000) {
                        taken.push(now);
                    }
                }
            });
        }
        expect(taken.length).to.be.within(76, 80);
        expect(new Set(taken).size).to.equal(taken.length);
        expect(new LimitTurns().available("e", 2, { members: 4, position: 1, fleetTimeMs: 500_000 })).to.be.at.most(1);
    });

    it("allow each turn once when the number of ingresses changes", () => {
        const turns = new LimitTurns();
        let taken = 0;
        for (let now = 50_000; now < 90_000; now += 5) {
            const share = { members: now < 70_000 ? 4 : 8, position: 0, fleetTimeMs: now };
            if (turns.available("e", 2, share) > 0) {
                turns.take("e", 2, share);
                taken++;
            }
        }
        expect(taken).to.be.within(13, 17);
    });

    // Guards against an ingress that has no turn until the fleet's time has caught up with a clock that was ahead.
    it("go on when the fleet's time is set back", () => {
        const turns = new LimitTurns();
        const share = (fleetTimeMs: number) => ({ members: 4, position: 0, fleetTimeMs });
        turns.take("e", 2, share(100_000));
        expect(turns.available("e", 2, share(70_000))).to.equal(1);
    });
});
