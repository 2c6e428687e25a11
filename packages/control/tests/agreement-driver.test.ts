import { foundingState, type Role } from "@lentilramp/agreement";
import { AgreementDriver, AgreementStorage, encodeMemberAddress, type StateMachine } from "@lentilramp/control";
import { DataFolder } from "@lentilramp/journal";
import { ManualClock, MemoryEventLog, SeededRandom, SystemClock } from "@lentilramp/runtime";
import { expect } from "chai";
import { FaultyFiles } from "../../journal/tests/faulty-files.ts";

const address = encodeMemberAddress({ name: "m1", host: "127.0.0.1", port: 1, failureDomain: "a" });
const founders = foundingState([{ id: "m1", address }]);

class RecordingStateMachine implements StateMachine {
    readonly applied: string[] = [];
    onElected: () => void = () => undefined;

    apply(command: string): string {
        this.applied.push(command);
        return command;
    }

    snapshot(): string {
        return JSON.stringify(this.applied);
    }

    restore(state: string): void {
        this.applied.splice(0, Infinity, ...JSON.parse(state) as string[]);
    }

    onEntryApplied(): void {
        // Not needed here.
    }

    onRole(role: Role): void {
        if (role === "leader") {
            this.onElected();
        }
    }

    onLease(): void {
        // Not needed here.
    }
}

const clock = new SystemClock();
const log = new MemoryEventLog();

describe("AgreementDriver", () => {
    async function open(files: FaultyFiles, machine: StateMachine) {
        const folder = await DataFolder.open(files, "/data", "single-process");
        const storage = await AgreementStorage.open(folder, founders, clock, log);
        const transport = { send: () => undefined };
        const random = new SeededRandom(1);
        const driver = new AgreementDriver("m1", storage, machine, transport, clock, random, new MemoryEventLog());
        await driver.start();
        return { driver, storage };
    }

    // A proposal made while the effects of the election are executed must not be written before the entry that precedes
    // it in the log, because the member could then not recover its log after a restart.
    it("writes entries in log order if the state machine proposes as soon as it is elected", async () => {
        const files = new FaultyFiles();
        const machine = new RecordingStateMachine();
        const { driver } = await open(files, machine);
        const proposed = new Promise<unknown>((resolve, reject) => {
            machine.onElected = () => void driver.propose("command").then(resolve, reject);
        });
        expect(await proposed).to.equal("command");
        await driver.close();
        const restarted = await open(files, new RecordingStateMachine());
        expect(restarted.driver.status.lastIndex).to.equal(2);
        await restarted.driver.close();
    });
});

describe("AgreementStorage on a full disk", () => {
    // A write that failed because the disk was full must not be lost when a later write succeeds.
    it("retries a failed write before later ones, and completes a sync only when the write is durable", async () => {
        const files = new FaultyFiles();
        const folder = await DataFolder.open(files, "/data", "single-process");
        const storage = await AgreementStorage.open(folder, founders, clock, log);
        const entry = (index: number) => ({ index, term: 1, content: { kind: "no-op" as const } });
        files.faults.freeBytes = 0;
        storage.write({ type: "append", sequence: 1, entries: [entry(1)] });
        let durable = false;
        const synced = storage.sync().then(() => durable = true);
        await runEventLoopTurns();
        expect(durable).to.equal(false);
        files.faults.freeBytes = Infinity;
        storage.write({ type: "append", sequence: 2, entries: [entry(2)] });
        await synced;
        await storage.sync();
        await storage.close();
        const reopened = await AgreementStorage.open(folder, founders, clock, log);
        expect(reopened.stored.entries.map(({ index }) => index)).to.deep.equal([1, 2]);
    });
});

describe("Log of the agreement storage", () => {
    // Without these lines, nothing on a steward shows why it answers its leader late.
    it("tells once that the disk is full, and once that it has room again", async () => {
        const files = new FaultyFiles();
        const folder = await DataFolder.open(files, "/data", "single-process");
        const manualClock = new ManualClock(1_000);
        const ownLog = new MemoryEventLog();
        const storage = await AgreementStorage.open(folder, founders, manualClock, ownLog);
        files.faults.freeBytes = 0;
        storage.write({ type: "save-state", sequence: 1, term: 1, votedFor: "m1", commitIndex: 0 });
        for (let turn = 0; turn < 10; turn++) {
            await runEventLoopTurns();
            manualClock.advanceTo(manualClock.now() + 100);
        }
        files.faults.freeBytes = Infinity;
        await storage.sync();
        expect(ownLog.events.map(({ level, name }) => `${level} ${name}`)).to.deep.equal([
            "warn agreement.disk-full",
            "info agreement.disk-has-room",
        ]);
        expect(ownLog.events[1]?.fields).to.deep.equal({ fullMs: 1_000, writes: 1 });
    });
});

describe("AgreementStorage on a nearly full disk", () => {
    // A disk without room for a snapshot still takes writes. Each of them waited for the next attempt at the snapshot
    // to fail, and left another segment file behind.
    it("does not hold up writes for a snapshot that does not fit", async () => {
        const files = new FaultyFiles();
        const folder = await DataFolder.open(files, "/data", "single-process");
        // The clock stands still, so that no write can wait for it.
        const storage = await AgreementStorage.open(folder, founders, new ManualClock(1_000), log);
        const store = async (commitIndex: number) => {
            storage.write({ type: "save-state", sequence: commitIndex, term: 1, votedFor: "m1", commitIndex });
            await storage.sync();
        };
        for (let commitIndex = 1; commitIndex < 1_000; commitIndex++) {
            await store(commitIndex);
        }
        files.refusedNames = /snapshot/;
        for (let commitIndex = 1_000; commitIndex < 1_090; commitIndex++) {
            await store(commitIndex);
        }
        expect([...files.names.keys()].filter(name => name.includes("segment-")).length).to.be.at.most(2);
        files.refusedNames = undefined;
        for (let commitIndex = 1_090; commitIndex < 1_200; commitIndex++) {
            await store(commitIndex);
        }
        expect([...files.names.keys()].some(name => name.includes("snapshot-"))).to.equal(true);
    });
});

describe("AgreementStorage after a full disk", () => {
    // Changes that had queued up on a full disk were written as one record, and one above the largest record size
    // stopped the storage for good.
    it("writes what has queued up, however large the changes are", async () => {
        const files = new FaultyFiles();
        const folder = await DataFolder.open(files, "/data", "single-process");
        const storage = await AgreementStorage.open(folder, founders, clock, log);
        files.faults.freeBytes = 0;
        // Two bytes each, so that the record is too large before the queue overflows.
        const command = "é".repeat(2 ** 20);
        for (let index = 1; index <= 12; index++) {
            const entry = { index, term: 1, content: { kind: "command" as const, command } };
            storage.write({ type: "append", sequence: index, entries: [entry] });
        }
        const synced = storage.sync();
        await runEventLoopTurns();
        files.faults.freeBytes = Infinity;
        await synced;
        await storage.close();
        const reopened = await AgreementStorage.open(folder, founders, clock, log);
        expect(reopened.stored.entries).to.have.length(12);
    });
});

async function runEventLoopTurns(): Promise<void> {
    for (let i = 0; i < 20; i++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}
