import { rolloutDefaults } from "@lentilramp/rollouts";
import { ManualClock, SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import { rolloutEndpoint } from "../../steward/tests/rollout-sync.ts";
import { SimulatedIngress, SimulatedSteward } from "./rollout-simulation.ts";

const stepMs = 20;
const syncMs = 260;
/** At the last one, a leader completed and was lost just before an ingress without contact asked a follower. */
const seeds = [...Array.from({ length: 40 }, (...[, i]) => i + 1), 1_060];

/** An ingress with a link to the leader that is cut and restored at random. */
interface Linked {
    ingress: SimulatedIngress;
    nextSyncAt: number;
    /** Instant until which neither the leader nor a follower that knows it answers. */
    cutUntil: number;
    /** What happens to a sync while the link is cut. */
    cut: "request-lost" | "answer-lost" | "follower";
}

/** A fleet with one roll-out from "v1" to "v2", in which links are cut, ingresses restart and leaders change. */
class FaultyFleet {
    readonly clock = new ManualClock(1_000_000);
    readonly leader: SimulatedSteward;
    readonly links: Linked[];
    private readonly follower = new SimulatedSteward(this.clock, false);
    /** Earlier states of the leader, of which the follower knows the last one that is old enough. */
    private readonly snapshots: { at: number; state: string; }[] = [];
    private readonly late: { at: number; apply: () => void; }[] = [];
    private noLeaderUntil = -Infinity;

    constructor(
        private readonly random: SeededRandom,
        private readonly limitMs: number,
        rollbackMs = rolloutDefaults.rollbackMs,
    ) {
        this.leader = new SimulatedSteward(this.clock, true, { ...rolloutDefaults, rollbackMs });
        this.links = ["a", "b", "c", "d"].map(name => ({
            ingress: new SimulatedIngress(name, this.clock),
            nextSyncAt: this.clock.now() + random.nextInt(syncMs),
            cutUntil: -Infinity,
            cut: "request-lost",
        }));
    }

    get state(): string | undefined {
        return this.leader.state.rollouts.services.app?.state;
    }

    async start(): Promise<void> {
        await this.leader.director.start();
        const orderedAt = this.clock.now();
        this.leader.apply({
            type: "rollout-order",
            service: "app",
            target: "v2",
            orderedAt,
            deadline: orderedAt + this.limitMs,
            listed: ["v1"],
            repeatsSince: orderedAt - 5_000,
        });
    }

    async close(): Promise<void> {
        await this.leader.director.close();
    }

    /** Plays one step of time; faults begin only if `hasFaults`. */
    async step(hasFaults: boolean): Promise<void> {
        this.clock.advanceTo(this.clock.now() + stepMs);
        const now = this.clock.now();
        this.late.splice(0).forEach(item => item.at <= now ? item.apply() : this.late.push(item));
        if (hasFaults) {
            await this.breakSomething(now);
        }
        if (now >= this.noLeaderUntil && this.noLeaderUntil > -Infinity) {
            this.noLeaderUntil = -Infinity;
            await this.leader.director.start();
        }
        if (now >= this.noLeaderUntil) {
            const endpoints = [rolloutEndpoint("old", "v1"), rolloutEndpoint("new", "v2")];
            this.leader.coordinator.updateEndpointList(endpoints, now, now / stepMs);
        }
        this.snapshots.push({ at: now, state: this.leader.state.snapshot() });
        for (const link of this.links.filter(({ nextSyncAt }) => now >= nextSyncAt)) {
            link.nextSyncAt = now + syncMs;
            this.sync(link, now);
        }
        await new Promise(resolve => setImmediate(resolve));
    }

    private sync({ ingress, cutUntil, cut }: Linked, now: number): void {
        if (now < this.noLeaderUntil || now < cutUntil && cut === "follower") {
            const lagMs = this.random.nextInt(850);
            const known = this.snapshots.findLast(({ at }) => at <= now - lagMs) ?? this.snapshots[0];
            this.follower.state.restore(known?.state ?? this.leader.state.snapshot());
            ingress.isFollowerCurrent = now >= this.noLeaderUntil;
            ingress.sync(this.follower);
            return;
        }
        if (now >= cutUntil) {
            // Longer than the next sync takes to come, as with renewals, which overlap with syncs.
            const lateMs = this.random.next() < 0.1 ? this.random.nextInt(600) : 0;
            ingress.sync(this.leader, apply => lateMs > 0 ? this.late.push({ at: now + lateMs, apply }) : apply());
        }
        else if (cut === "answer-lost") {
            ingress.sync(this.leader, () => undefined);
        }
    }

    private async breakSomething(now: number): Promise<void> {
        const { random } = this;
        const link = this.links[random.nextInt(this.links.length)] as Linked;
        // Each kind of fault begins about once in four seconds.
        const fault = random.nextInt(800);
        if (fault < 4) {
            link.cutUntil = now + random.nextInt(9_000);
            link.cut = (["request-lost", "answer-lost", "follower"] as const)[random.nextInt(3)] ?? "request-lost";
        }
        else if (fault < 6) {
            link.ingress.restart();
        }
        else if (fault < 8 && now >= this.noLeaderUntil) {
            this.noLeaderUntil = now + 900 + random.nextInt(2_000);
            await this.leader.director.close();
            this.leader.beginTerm();
        }
    }
}

describe("a roll-out while ingresses lose contact", function() {
    this.timeout(120_000);

    // Guards against requests to old replicas that have been stopped, by whichever ingress.
    it("sends nothing to the old version after its end, whatever is cut, restarted and replaced", async () => {
        let completed = 0;
        for (const seed of seeds) {
            // A share of closed versions holds for this time, others may be used for 4 s without contact.
            const rollbackMs = seed % 2 === 0 ? 1_500 : rolloutDefaults.rollbackMs;
            const fleet = new FaultyFleet(new SeededRandom(seed), 6_000, rollbackMs);
            await fleet.start();
            const endAt = fleet.clock.now() + 40_000;
            let endedAt: number | undefined;
            while (fleet.clock.now() < (endedAt ?? endAt + 10_000) + 10_000) {
                // Faults cease after a time, so that each roll-out ends.
                await fleet.step(fleet.clock.now() < endAt);
                if (fleet.state === "completed") {
                    endedAt ??= fleet.clock.now();
                    const at = `seed ${seed}, ${fleet.clock.now() - endedAt} ms after the end`;
                    const using = fleet.links.filter(({ ingress }) => ingress.hasHeard && ingress.maySendTo("v1"));
                    expect(using.map(({ ingress }) => ingress.name), at).to.deep.equal([]);
                }
            }
            completed += fleet.state === "completed" ? 1 : 0;
            await fleet.close();
        }
        expect(completed).to.equal(seeds.length);
    });

    // Guards against an ingress that refuses all requests of a service while the roll-out cannot end.
    it("serves with the old version without a leader, and without contact until the steps can have been taken", async () => {
        const fleet = new FaultyFleet(new SeededRandom(1), 60_000);
        await fleet.start();
        const startedAt = fleet.clock.now();
        for (const link of fleet.links.slice(2)) {
            link.cutUntil = startedAt + 120_000;
        }
        // These have heard the leader once.
        fleet.links.forEach(({ ingress }) => ingress.sync(fleet.leader));
        while (fleet.clock.now() < startedAt + 2_000) {
            await fleet.step(false);
        }
        fleet.links.slice(2).forEach(({ ingress }) => ingress.sync(fleet.leader));
        while (fleet.clock.now() < startedAt + 33_000) {
            await fleet.step(false);
            for (const { ingress } of fleet.links) {
                expect(ingress.maySendTo("v1"), `${fleet.clock.now() - startedAt} ms`).to.equal(true);
            }
        }
        await fleet.close();
    });
});
