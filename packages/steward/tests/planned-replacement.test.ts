import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import { type SimulatedSteward, StewardGroup } from "./steward-group.ts";

/** Time for which an instance still counts as lost after its start, in milliseconds. */
const catchUpMs = 4_000;
/** Time after the last event within which the group confirms changes again, in milliseconds. */
const recoveryMs = 4_000;
const seeds = [1, 2, 3, 4, 5, 6];

/** Group of three stewards that may lose one disk, and the disk that is lost at the earliest allowed moment. */
class Trial {
    readonly group: StewardGroup;
    private readonly random: SeededRandom;
    private nextSeed: number;

    constructor(seed: number, linkCharsPerMs = Infinity) {
        this.group = new StewardGroup(undefined, linkCharsPerMs);
        this.random = new SeededRandom(seed);
        this.nextSeed = seed * 1_000;
    }

    async start(): Promise<void> {
        await this.group.start(this.nextSeed++, 3, 0, 1);
        await this.group.run(3_000);
        await this.group.storeCatalog(1);
    }

    async addSuccessor(): Promise<SimulatedSteward> {
        return await this.group.addSuccessor(this.nextSeed++);
    }

    /** The leader, or another steward. */
    one(role: "leader" | "follower"): SimulatedSteward {
        const { leader, stewards } = this.group;
        const chosen = role === "leader" ? leader : stewards.find(steward => steward !== leader);
        if (chosen === undefined) {
            throw new Error(`there is no ${role}`);
        }
        return chosen;
    }

    /** Ends the process of a steward, which comes back with an empty disk after a second. */
    async loseDiskOfAny(except: readonly SimulatedSteward[] = []): Promise<void> {
        const candidates = this.group.stewards.filter(steward => !except.includes(steward));
        const lost = candidates[Math.floor(this.random.next() * candidates.length)] as SimulatedSteward;
        this.group.kill(lost, () => true);
        this.group.loseDisk(lost.host);
        await this.group.run(1_000);
        await this.group.startAgain(lost.host, this.nextSeed++);
    }

    /** Expects that the group has a leader, confirms a change and holds the newest one everywhere. */
    async expectChanges(version: number): Promise<void> {
        await this.group.run(recoveryMs);
        await this.group.storeCatalog(version);
        await this.group.run(1_000);
        expect(this.group.stewards.map(({ state }) => state.catalog?.version)).to.deep.equal(
            this.group.stewards.map(() => version),
        );
        expect(this.group.voters).to.be.at.least(3);
    }
}

describe("A group of stewards with a large configuration", () => {
    for (const seed of seeds) {
        // Guards against the end of the group: a successor received each configuration since the start of the log, one
        // in a round trip, and had no vote when the next member was replaced.
        it(`bears the replacement of two members one after the other, seed ${seed}`, async () => {
            const trial = new Trial(seed, 2_000);
            await trial.start();
            for (let version = 2; version <= 40; version++) {
                await trial.group.storeCatalog(version, `catalog ${version}`.padEnd(500_000, "x"));
            }
            for (let round = 0; round < 2; round++) {
                trial.group.kill(trial.one("leader"), () => true);
                await trial.group.run(1_000);
                await trial.addSuccessor();
                await trial.group.run(catchUpMs);
            }
            await trial.expectChanges(41);
        });
    }
});

describe("A group of stewards whose member is replaced", () => {
    for (const seed of seeds) {
        for (const role of ["leader", "follower"] as const) {
            // Guards against the end of the group: the vote of a process that has stopped for good made four voters of
            // three, two of which were gone after the loss of one disk.
            it(`bears the loss of a disk right after the planned stop of a ${role}, seed ${seed}`, async () => {
                const trial = new Trial(seed);
                await trial.start();
                await trial.addSuccessor();
                await trial.group.run(catchUpMs);
                await trial.group.stopAsPlanned(trial.one(role));
                await trial.loseDiskOfAny();
                await trial.expectChanges(2);
            });

            // Guards against a dead member that keeps its vote longer than its instance counts as lost.
            it(`bears the loss of a disk once the successor of a crashed ${role} has caught up, seed ${seed}`, async () => {
                const trial = new Trial(seed);
                await trial.start();
                trial.group.kill(trial.one(role), () => true);
                await trial.group.run(1_000);
                await trial.addSuccessor();
                await trial.group.run(catchUpMs);
                await trial.loseDiskOfAny();
                await trial.expectChanges(2);
            });
        }

        // Guards against a successor that gets a vote while the member that it replaces is on its way out.
        it(`replaces its members in turn, one disk lost after each, seed ${seed}`, async () => {
            const trial = new Trial(seed);
            await trial.start();
            for (let round = 1; round <= 4; round++) {
                await trial.addSuccessor();
                await trial.group.run(catchUpMs);
                await trial.group.stopAsPlanned(trial.one(round % 2 === 0 ? "leader" : "follower"));
                await trial.loseDiskOfAny();
                await trial.group.run(catchUpMs);
                await trial.expectChanges(1 + round);
            }
        });

        // Guards against a stopped member that is kept without a vote after it has come back.
        it(`gives a member that returns after its planned stop its vote back, seed ${seed}`, async () => {
            const trial = new Trial(seed);
            await trial.start();
            await trial.addSuccessor();
            await trial.group.run(catchUpMs);
            const stopped = trial.one("leader");
            await trial.group.stopAsPlanned(stopped);
            expect(trial.group.voters).to.equal(3);
            await trial.group.startAgain(stopped.host, seed);
            await trial.group.run(catchUpMs);
            expect(trial.group.voters).to.equal(4);
            await trial.loseDiskOfAny();
            await trial.expectChanges(2);
        });

        // Guards against votes that are released until too few are left, and against a stop that waits without need.
        it(`keeps the votes that it needs when members stop and return one after the other, seed ${seed}`, async () => {
            const trial = new Trial(seed);
            await trial.start();
            for (const role of ["follower", "leader", "follower"] as const) {
                const stopped = trial.one(role);
                const stoppedAt = trial.group.clock.now();
                await trial.group.stopAsPlanned(stopped);
                expect(trial.group.clock.now() - stoppedAt).to.be.below(500);
                await trial.group.run(1_000);
                expect(trial.group.voters).to.equal(3);
                await trial.group.startAgain(stopped.host, seed);
                await trial.group.run(catchUpMs);
            }
            await trial.expectChanges(2);
        });
    }
});
