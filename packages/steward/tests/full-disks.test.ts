import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import type { SpaceOperation } from "../../journal/tests/faulty-files.ts";
import { StewardGroup } from "./steward-group.ts";

/** Time within which a change is acknowledged while no more than one disk is full, in milliseconds. */
const acknowledgedWithinMs = 4_000;
const changeIntervalMs = 100;
const restartMs = 500;
const operations: readonly SpaceOperation[] = ["open", "sync", "truncate", "rename", "remove", "syncFolder"];

interface Change {
    version: number;
    sentAt: number;
    acknowledgedAt: number | undefined;
}

/** What else happens while a disk is full. */
type Beside = "nothing" | "restart of its steward" | "restart of another steward";

/** Operators that send changes to a group, and disks that become full one after the other. */
class Trial {
    readonly changes: Change[] = [];
    private readonly group = new StewardGroup({
        heartbeatMs: 100,
        electionTimeoutMinMs: 450,
        electionTimeoutMaxMs: 900,
        leaseMs: 0,
        snapshotIntervalEntries: 40,
        retainedEntries: 10,
    });
    private readonly random: SeededRandom;
    private readonly restarts = new Map<string, number>();
    private sending = true;

    constructor(private readonly seed: number) {
        this.random = new SeededRandom(seed);
    }

    get hosts(): string[] {
        return this.group.stewards.map(({ host }) => host).sort();
    }

    get restartCount(): number {
        return [...this.restarts.values()].reduce((sum, count) => sum + count, 0);
    }

    get slowestMs(): number {
        return Math.max(...this.changes.map(({ sentAt, acknowledgedAt = Infinity }) => acknowledgedAt - sentAt));
    }

    async start(stewards: number): Promise<void> {
        await this.group.start(this.seed, 3, stewards - 3, stewards > 3 ? 2 : 1);
        await this.group.run(8_000);
        expect(this.group.voters).to.equal(stewards);
        this.sendChanges();
    }

    async run(ms: number): Promise<void> {
        await this.group.run(ms);
    }

    /** Fills a disk; what fails on it besides writes is drawn. */
    fill(host: string): void {
        const disk = this.group.disk(host);
        const { random } = this;
        const kind = random.nextInt(3);
        disk.freeBytes = kind === 0 ? Infinity : random.nextInt(2) * random.nextInt(400);
        disk.outOfSpace = new Set(kind === 0 ? ["sync"] : operations.filter(() => kind === 1 && random.next() < 0.5));
    }

    makeRoom(host: string): void {
        Object.assign(this.group.disk(host), { freeBytes: Infinity, outOfSpace: new Set() });
    }

    /** Fills a disk for `ms` milliseconds. */
    async fillFor(host: string, ms: number, beside: Beside): Promise<void> {
        const { random } = this;
        this.fill(host);
        const others = this.hosts.filter(other => other !== host);
        if (beside !== "nothing") {
            await this.run(ms / 3);
            this.restart(beside === "restart of its steward" ? host : others[random.nextInt(others.length)] ?? "");
        }
        await this.run(beside === "nothing" ? ms : ms * 2 / 3);
        this.makeRoom(host);
    }

    /** Fills every disk once, in random order. */
    async fillAll(beside: Beside): Promise<void> {
        const left = this.hosts;
        while (left.length > 0) {
            const [host = ""] = left.splice(this.random.nextInt(left.length), 1);
            await this.fillFor(host, 1_000 + this.random.nextInt(4_000), beside);
            await this.run(beside === "nothing" ? this.random.nextInt(1_000) : 2_000);
        }
    }

    /** Fails a sync on every disk in turn; the process ends and is started again. */
    async failSyncs(): Promise<void> {
        for (const host of this.hosts) {
            const steward = this.group.stewards.find(other => other.host === host);
            this.group.disk(host).failNextSync = true;
            void steward?.driver.storageFailed.then(() => this.restart(host));
            await this.run(3_000);
        }
    }

    /** Stops the operators and lets their last changes end. */
    async finish(): Promise<void> {
        this.sending = false;
        await this.run(acknowledgedWithinMs);
    }

    /** Fails unless all stewards hold the newest acknowledged change, also after all have lost power. */
    async expectNothingLost(stewards: number): Promise<void> {
        const newest = Math.max(...this.changes.filter(change => change.acknowledgedAt).map(change => change.version));
        const versions = () => this.group.stewards.map(({ state }) => state.catalog?.version ?? -1);
        expect(this.group.voters).to.equal(stewards);
        expect(Math.min(...versions())).to.be.at.least(newest);
        for (const steward of [...this.group.stewards]) {
            this.group.kill(steward, () => false);
            await this.group.startAgain(steward.host, this.seed);
        }
        await this.run(3_000);
        expect(versions()).to.have.length(stewards);
        expect(Math.min(...versions())).to.be.at.least(newest);
    }

    private restart(host: string): void {
        const steward = this.group.stewards.find(other => other.host === host);
        if (steward !== undefined) {
            this.group.kill(steward, () => this.random.next() < 0.5);
            this.startAgain(host);
        }
    }

    /** Starts a steward again; the platform repeats this until the process runs. */
    private startAgain(host: string): void {
        const attempts = (this.restarts.get(host) ?? 0) + 1;
        this.restarts.set(host, attempts);
        const { clock } = this.group;
        clock.schedule(clock.now() + restartMs, () => {
            this.group.startAgain(host, this.seed * 1_000 + attempts).catch(() => this.startAgain(host));
        });
    }

    private sendChanges(): void {
        const { clock } = this.group;
        if (this.sending) {
            const change = { version: this.changes.length + 1, sentAt: clock.now(), acknowledgedAt: undefined };
            this.changes.push(change);
            void this.send(change);
            clock.schedule(clock.now() + changeIntervalMs, () => this.sendChanges());
        }
    }

    /** Sends a change to any steward, and to another one after a refusal or a second without an answer. */
    private async send(change: Change): Promise<void> {
        const { clock, stewards } = this.group;
        const steward = stewards[this.random.nextInt(stewards.length)];
        const outcome = await Promise.race([
            steward?.operators.submitCatalog(String(change.version)),
            clock.sleepUntil(clock.now() + 1_000),
        ]);
        if (outcome?.kind === "accepted") {
            change.acknowledgedAt ??= clock.now();
        }
        else {
            await clock.sleepUntil(clock.now() + 100);
            await this.send(change);
        }
    }
}

describe("Stewards whose disks are full or fail in turn", () => {
    // Guards against a group that loses its members to full disks one by one, until changes are refused or stay
    // unanswered although every disk has room again and every process runs.
    for (const beside of ["nothing", "restart of its steward", "restart of another steward"] as const) {
        for (const stewards of [3, 5, 6]) {
            for (const seed of [1, 2, 3]) {
                const title = `acknowledge changes in time and lose none, ${stewards} stewards, beside: ${beside}`;
                it(`${title}, seed ${seed}`, async () => {
                    const trial = new Trial(seed);
                    await trial.start(stewards);
                    await trial.fillAll(beside);
                    await trial.fillAll(beside);
                    await trial.finish();
                    expect(trial.slowestMs).to.be.below(acknowledgedWithinMs);
                    await trial.expectNothingLost(stewards);
                });
            }
        }
    }

    // A failed sync that is not for lack of space stops the storage until the process is started again.
    for (const seed of [1, 2, 3]) {
        it(`acknowledge changes in time and lose none when syncs fail in turn, 3 stewards, seed ${seed}`, async () => {
            const trial = new Trial(seed);
            await trial.start(3);
            await trial.failSyncs();
            await trial.failSyncs();
            await trial.finish();
            expect(trial.restartCount).to.equal(6);
            expect(trial.slowestMs).to.be.below(acknowledgedWithinMs);
            await trial.expectNothingLost(3);
        });
    }

    // Five voters tolerate the loss of two.
    for (const seed of [1, 2, 3]) {
        it(`acknowledge changes in time and lose none while two disks are full at once, 5 stewards, seed ${seed}`, async () => {
            const trial = new Trial(seed);
            await trial.start(5);
            for (const first of trial.hosts) {
                for (const second of trial.hosts.filter(host => host > first)) {
                    [first, second].forEach(host => trial.fill(host));
                    await trial.run(1_500);
                    [first, second].forEach(host => trial.makeRoom(host));
                    await trial.run(200);
                }
            }
            await trial.finish();
            expect(trial.slowestMs).to.be.below(acknowledgedWithinMs);
            await trial.expectNothingLost(5);
        });
    }
});
