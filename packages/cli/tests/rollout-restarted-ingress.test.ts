import { ManualClock } from "@lentilramp/runtime";
import { expect } from "chai";
import { rolloutEndpoint } from "../../steward/tests/rollout-sync.ts";
import { SimulatedIngress, SimulatedSteward } from "./rollout-simulation.ts";

const stepMs = 20;
const limitMs = 4_000;
const syncMs = 260;

describe("an ingress that restarts during a roll-out and reaches a follower only", () => {
    let clock: ManualClock;
    let leader: SimulatedSteward;
    let follower: SimulatedSteward;
    let restarting: SimulatedIngress;
    let other: SimulatedIngress;
    let reachesLeader: boolean;

    beforeEach(async () => {
        clock = new ManualClock(1_000_000);
        leader = new SimulatedSteward(clock, true);
        follower = new SimulatedSteward(clock, false);
        restarting = new SimulatedIngress("restarting", clock);
        other = new SimulatedIngress("other", clock);
        reachesLeader = true;
        await leader.director.start();
        const orderedAt = clock.now();
        leader.apply({
            type: "rollout-order",
            service: "app",
            target: "v2",
            orderedAt,
            deadline: orderedAt + limitMs,
            listed: ["v1"],
            repeatsSince: orderedAt - 5_000,
        });
    });

    afterEach(() => leader.director.close());

    /** Lets time pass until `isOver`, and calls `check` in each step. */
    async function runUntil(isOver: () => boolean, check: () => void = () => undefined): Promise<void> {
        for (const end = clock.now() + 20_000; !isOver();) {
            expect(clock.now()).to.be.below(end);
            clock.advanceTo(clock.now() + stepMs);
            const tick = clock.now() / stepMs;
            leader.coordinator.updateEndpointList(
                [rolloutEndpoint("old", "v1"), rolloutEndpoint("new", "v2")],
                clock.now(),
                tick,
            );
            if (tick % (syncMs / stepMs) === 0) {
                other.sync(leader);
                restarting.sync(reachesLeader ? leader : follower);
            }
            await new Promise(resolve => setImmediate(resolve));
            check();
        }
    }

    const rollout = () => leader.state.rollouts.services.app;

    /** Restarts the ingress, which hears from now on what the follower knows, and that is what holds now. */
    function restartAtFollower(): void {
        follower.state.restore(leader.state.snapshot());
        reachesLeader = false;
        restarting.restart();
        restarting.sync(follower);
    }

    // Guards against requests to old replicas that the platform has stopped: the leader completes by what the earlier run
    // of the ingress reported, and the state of the follower is from before that.
    for (const step of [1, 2, 3]) {
        it(`sends nothing to the old version when \`completed\` is decided, from the step ${step} on`, async () => {
            await runUntil(() => rollout()?.step === step);
            if (step === 3) {
                await runUntil(() => leader.director.notices(undefined)?.services.app?.closed === true);
            }
            await runUntil(() => clock.now() / stepMs % (syncMs / stepMs) === 0);
            restartAtFollower();
            await runUntil(
                () => rollout()?.state === "completed",
                () => expect(restarting.maySendTo("v2")).to.equal(false),
            );
            const endedAt = clock.now();
            await runUntil(
                () => clock.now() > endedAt + 3_000,
                () => expect(restarting.maySendTo("v1")).to.equal(false),
            );
            reachesLeader = true;
            await runUntil(() => restarting.maySendTo("v2"), () => {
                expect(restarting.maySendTo("v1")).to.equal(false);
            });
        });
    }

    // Guards against the word of a follower that does not know that the canary has ended.
    it("sends nothing to the old version after the end when the follower has stayed in the canary", async () => {
        restartAtFollower();
        restarting.isFollowerCurrent = false;
        await runUntil(() => rollout()?.state === "completed");
        const endedAt = clock.now();
        await runUntil(
            () => clock.now() > endedAt + 3_000,
            () => expect(restarting.maySendTo("v1")).to.equal(false),
        );
    });

    // Guards against a service that a restarted ingress refuses although the end of the roll-out is far.
    it("goes on to serve with the old version during the canary, as long as the follower is in contact", async () => {
        restartAtFollower();
        await runUntil(() => clock.now() >= 1_001_500, () => {
            expect(restarting.maySendTo("v1")).to.equal(true);
            expect(restarting.maySendTo("v2")).to.equal(false);
        });
        reachesLeader = true;
        await runUntil(() => rollout()?.state === "completed", () => {
            expect(restarting.maySendTo("v1") || restarting.maySendTo("v2")).to.equal(true);
        });
        expect(restarting.maySendTo("v1")).to.equal(false);
    });
});
