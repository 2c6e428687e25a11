import { rolloutDefaults } from "@lentilramp/rollouts";
import type { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import {
    type SimulatedFleet,
    type SimulatedResponse,
    simulateRollout,
    type SimulationResult,
} from "./rollout-fleet.ts";

const { exposureShare, exposureSlack, rollbackMs } = rolloutDefaults;
const seeds = [1, 2, 3];

/** Returns a response of a sound version: one in a hundred fails, and one in ten takes twice to three times as long. */
function sound(random: SeededRandom, failureShare = 0.01): SimulatedResponse {
    const slow = random.next() < 0.1 ? 2 + random.next() : 1;
    return { failed: random.next() < failureShare, timeMs: (30 + 30 * random.next()) * slow };
}

/** Returns a response of a version of whose responses the given parts fail and take five times as long. */
function faulty(random: SeededRandom, failing: number, slow = 0): SimulatedResponse {
    const { failed, timeMs } = sound(random);
    return random.next() < failing
        ? { failed: true, timeMs }
        : { failed, timeMs: random.next() < slow ? Math.max(210, timeMs * 5) : timeMs };
}

function playAll(fleet: Omit<SimulatedFleet, "seed">): SimulationResult[] {
    return seeds.map(seed => simulateRollout({ ...fleet, seed }));
}

function expectCompleted(fleet: Omit<SimulatedFleet, "seed">): SimulationResult[] {
    const limitMs = fleet.limitMs ?? 60_000;
    const results = playAll(fleet);
    for (const { rollout, endedAt, strandedAtEnd } of results) {
        expect(rollout.state).to.equal("completed");
        expect(endedAt).to.be.below(limitMs);
        // Old replicas end at once, with all that is in flight there or sent there later.
        expect(strandedAtEnd).to.equal(0);
    }
    return results;
}

function expectRolledBack(fleet: Omit<SimulatedFleet, "seed">): SimulationResult[] {
    const results = playAll(fleet);
    for (const { rollout, arrived, exposed, fiftiethBadAt, lastExposedAt } of results) {
        expect(rollout.state).to.equal("rolled_back");
        expect(exposed).to.be.at.most(exposureShare * arrived + exposureSlack);
        expect(lastExposedAt).to.be.at.most(fiftiethBadAt + rollbackMs);
    }
    return results;
}

describe("RolloutJudge over a simulated fleet", function() {
    this.timeout(60_000);

    // Guards against sound versions that are rolled back by chance, or not moved to in time.
    it("completes a good version within the time limit, for short and long limits and few requests", () => {
        const respond: SimulatedFleet["respond"] = (...[, , { random }]) => sound(random);
        expectCompleted({ respond });
        expectCompleted({ respond, limitMs: 15_000 });
        expectCompleted({ respond, requestsPerSecond: () => 3 });
        expectCompleted({ respond, requestsPerSecond: () => 0 });
        expectCompleted({ respond, readyAt: 25_000 });
        expectCompleted({ respond, ingresses: 58, requestsPerSecond: () => 1_000, limitMs: 30_000 });
    });

    // Guards against a version that waits for responses that nobody asks for.
    it("completes a good version although the requests end at the canary or a later step", () => {
        for (const until of [30_000, 36_500]) {
            expectCompleted({
                requestsPerSecond: now => now < until ? 200 : 0,
                respond: (...[, , { random }]) => sound(random),
            });
        }
    });

    // Guards against a canary that gives a bad version more than its part before it can prove bad.
    it("gives the canary no more than its part of the requests", () => {
        const exposedAt: number[] = [];
        simulateRollout({
            respond: (isTarget, ...[, { random, now, share }]) => {
                if (isTarget && now < 33_000 && share < 0.2) {
                    exposedAt.push(now);
                }
                return sound(random);
            },
        });
        expect(exposedAt.length).to.be.within(0.04 * 12_000, 0.06 * 12_000 + exposureSlack);
    });

    // Guards against a budget that grows with requests that no endpoint gets: in an overload the target has free slots,
    // so that it is sent its share of all requests, while most of the others are refused.
    it("keeps the bound of a bad version while requests are refused", () => {
        const refuses: SimulatedFleet["refuses"] = (isTarget, { random }) => !isTarget && random.next() < 0.8;
        for (const badFrom of [0, 12_000, 32_500, 36_000]) {
            expectRolledBack({
                refuses,
                requestsPerSecond: () => 500,
                respond: (isTarget, ...[, { random, now }]) => faulty(random, isTarget && now >= badFrom ? 0.4 : 0),
            });
        }
    });

    it("gives the canary no more than its part of the requests that are served", () => {
        let exposed = 0;
        let served = 0;
        simulateRollout({
            refuses: (isTarget, { random }) => !isTarget && random.next() < 0.8,
            requestsPerSecond: () => 500,
            respond: (isTarget, ...[, { random, now, share }]) => {
                exposed += isTarget && now < 33_000 && share < 0.2 ? 1 : 0;
                served += now < 60_000 ? 1 : 0;
                return sound(random);
            },
        });
        expect(exposed).to.be.at.most(0.06 * served + exposureSlack);
    });

    // Guards against an order that is not carried out because the service is overloaded.
    it("completes a good version within the time limit while requests are refused", () => {
        expectCompleted({
            refuses: (isTarget, { random }) => !isTarget && random.next() < 0.8,
            respond: (...[, , { random }]) => sound(random),
        });
        expectCompleted({
            refuses: (...[, { random, now }]) => random.next() < (now > 20_000 && now < 45_000 ? 1 : 0.3),
            respond: (...[, , { random }]) => sound(random),
        });
    });

    it("rolls back a version that fails at once", () => {
        for (const part of [0.15, 0.3, 1]) {
            const results = expectRolledBack({
                respond: (isTarget, ...[, { random }]) => faulty(random, isTarget ? part : 0),
            });
            results.forEach(({ endedAt }) => expect(endedAt).to.be.below(20_000));
        }
    });

    it("rolls back a version of which a part, half or all responses are slow at once", () => {
        for (const part of [0.4, 0.7, 1]) {
            expectRolledBack({ respond: (isTarget, ...[, { random }]) => faulty(random, 0, isTarget ? part : 0) });
        }
    });

    it("rolls back a version that becomes bad later", () => {
        for (const badFrom of [12_000, 32_000, 37_000]) {
            const isBad = (isTarget: boolean, now: number): boolean => isTarget && now >= badFrom;
            expectRolledBack({
                respond: (isTarget, ...[, { random, now }]) => faulty(random, isBad(isTarget, now) ? 0.4 : 0),
            });
            expectRolledBack({
                respond: (isTarget, ...[, { random, now }]) => faulty(random, 0, isBad(isTarget, now) ? 0.8 : 0),
            });
        }
    });

    it("rolls back a version that is bad only under load", () => {
        for (const share of [0.2, 0.4]) {
            expectRolledBack({
                respond: (isTarget, ...[, { random, share: present }]) =>
                    faulty(random, 0, isTarget && present > share ? 0.8 : 0),
            });
        }
    });

    it("rolls back a version that is bad on one route", () => {
        expectRolledBack({
            routes: ["a", "b", "c", "d", "e"],
            respond: (isTarget, route, { random }) => faulty(random, isTarget && route === "c" ? 0.4 : 0),
        });
    });

    // Guards against a verdict on a version for a fault of the network, the store or the load.
    it("completes a good version although trouble hits both versions", () => {
        const troubled = (now: number): boolean => now >= 8_000 && now < 13_000 || now >= 30_000 && now < 37_000;
        expectCompleted({
            respond: (...[, , { random, now }]) => faulty(random, troubled(now) ? 0.4 : 0, troubled(now) ? 0.5 : 0),
        });
    });

    // Guards against a suspicion from the start of the last step, which nothing clears, as no other version is left.
    it("completes a good version although trouble of both versions ends shortly before the last step", () => {
        for (const until of [36_000, 37_500, 39_000]) {
            expectCompleted({
                respond: (...[, , { random, now }]) => sound(random, now >= until - 3_500 && now < until ? 0.5 : 0.01),
            });
        }
    });

    it("completes a good version, and rolls a bad one back, when reports are lost and late", () => {
        const faults = {
            isLost: (random: SeededRandom) => random.next() < 0.3,
            lateMs: (random: SeededRandom) => random.next() < 0.3 ? 500 : 0,
        };
        expectCompleted({ ...faults, respond: (...[, , { random }]) => sound(random) });
        expectRolledBack({
            ...faults,
            respond: (isTarget, ...[, { random }]) => faulty(random, isTarget ? 0.3 : 0),
        });
    });

    it("goes on under a new leader, at the canary and at each later step", () => {
        for (const leaderLostAt of [[5_000], [20_000, 34_000], [37_000], [40_000]]) {
            expectCompleted({ leaderLostAt, respond: (...[, , { random }]) => sound(random) });
            expectRolledBack({
                leaderLostAt,
                respond: (isTarget, ...[, { random, now }]) => faulty(random, isTarget && now > 4_000 ? 0.3 : 0),
            });
        }
    });

    // Guards against a verdict of a new leader on counts since the order, which mix times with and without trouble.
    it("completes a good version when the leader is lost right after trouble of both versions", () => {
        for (const [until, lostAt] of [[37_500, 37_600], [39_000, 39_200]] as const) {
            expectCompleted({
                leaderLostAt: [lostAt],
                respond: (...[, , { random, now }]) => sound(random, now >= until - 3_500 && now < until ? 0.5 : 0.01),
            });
        }
    });

    // Guards against requests of an ingress without contact to old replicas that have been stopped, and against its
    // refusing requests while the roll-out cannot have ended.
    it("completes without an ingress that has lost contact once that uses no old endpoint any more", () => {
        const respond: SimulatedFleet["respond"] = (...[, , { random }]) => sound(random);
        for (const cutOffAt of [3_000, 20_000, 32_000, 34_000, 36_500, 38_000, 38_500]) {
            expectCompleted({ respond, cutOffAt, requestsPerSecond: () => 100 });
        }
        const [early] = playAll({ respond, cutOffAt: 3_000, limitMs: 600_000, requestsPerSecond: () => 10 });
        expect(early?.refusedWithoutContact).to.be.below(0.45 * 600 * 10 / 20);
    });

    describe("with 1,600 ingresses, whose syncs are 8 s apart", () => {
        const large = { ingresses: 1_600, requestsPerSecond: () => 2_000, limitMs: 120_000 };

        // Guards against a share that never holds at all ingresses at once, because it ends before their next syncs.
        it("completes a good version within the time limit", () => {
            expectCompleted({ ...large, respond: (...[, , { random }]) => sound(random) });
        });

        // Guards against responses that are reported long after the share was handed out.
        it("rolls back a version that fails at once or later, within the time and the exposure", () => {
            for (const badFrom of [0, 40_000, 72_000]) {
                expectRolledBack({
                    ...large,
                    // The failures of a sound version would count as the first bad ones.
                    respond: (isTarget, ...[, { random, now }]) => sound(random, isTarget && now >= badFrom ? 0.4 : 0),
                });
            }
        });

        // Guards against a share that ends at some ingress each time because a call is lost, or the leader.
        it("completes a good version when calls are lost and late, and when the leader is lost at the last steps", () => {
            const respond: SimulatedFleet["respond"] = (...[, , { random }]) => sound(random);
            const lossy = { isLost: (random: SeededRandom) => random.next() < 0.02, lateMs: () => 100 };
            expect(simulateRollout({ ...large, ...lossy, respond }).endedAt).to.be.below(large.limitMs);
            for (const lostAt of [75_000, 91_000]) {
                const { endedAt, strandedAtEnd } = simulateRollout({ ...large, leaderLostAt: [lostAt], respond });
                expect(endedAt).to.be.below(large.limitMs);
                expect(strandedAtEnd).to.equal(0);
            }
        });

        // Guards against renewals by all ingresses for as long as the canary lasts.
        it("asks the leader little more often than with syncs alone until the last steps", () => {
            const { mostCalls } = simulateRollout({ ...large, respond: (...[, , { random }]) => sound(random) });
            const { mostCalls: ofCanary } = simulateRollout({
                ...large,
                respond: (isTarget, ...[, { random, now }]) => sound(random, isTarget && now > 60_000 ? 0.4 : 0),
            });
            // 200 syncs a second, and a renewal each 1.5 s by at most a quarter of the ingresses (267), or by all (1,067).
            expect(ofCanary).to.be.below(480);
            expect(mostCalls).to.be.below(1_300);
        });
    });

    // Guards against all requests going to the few replicas of the target that are ready or left.
    it("gives the target no more than it has slots for", () => {
        const shares = { few: 0 };
        expectCompleted({
            targetSlots: now => now < 20_000 ? 1 : now >= 45_000 && now < 48_000 ? 20 : 64,
            requestsPerSecond: () => 500,
            respond: (isTarget, ...[, { random, now, share }]) => {
                if (now > 4_000 && now < 20_000) {
                    shares.few = Math.max(shares.few, share);
                }
                return isTarget && now < 20_000 && share > 0.05 ? faulty(random, 0, 1) : sound(random);
            },
        });
        expect(shares.few).to.be.within(0.001, 0.05);
    });

    it("keeps reports short", () => {
        const [{ largestReport } = { largestReport: Infinity }] = playAll({
            routes: ["a", "b", "c", "d"],
            requestsPerSecond: () => 400,
            respond: (...[, , { random }]) => sound(random),
        });
        expect(largestReport).to.be.below(3_000);
    });
});
