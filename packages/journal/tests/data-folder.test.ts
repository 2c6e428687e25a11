import {
    DataFolder,
    FolderLockedError,
    IncompleteFolderError,
    LinuxProcessProbe,
    NewerFormatError,
    NodeFileAccess,
    ProcessProbe,
} from "@lentilramp/journal";
import type { ProcessIdentity } from "@lentilramp/journal";
import { expect } from "chai";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { FaultyFiles } from "./faulty-files.ts";

const errorOf = (promise: Promise<unknown>): Promise<unknown> => promise.then(() => undefined, (err: unknown) => err);

class FakeProbe extends ProcessProbe {
    constructor(private readonly pid: number, private readonly alive: ReadonlySet<number>) {
        super();
    }

    override currentProcess(): ProcessIdentity {
        return { pid: this.pid, startTime: "1", bootId: "b" };
    }

    override isAlive(identity: ProcessIdentity): boolean {
        return this.alive.has(identity.pid);
    }
}

async function write(files: FaultyFiles, path: string, text: string): Promise<void> {
    await (await files.open(path)).write(Buffer.from(text), 0);
}

describe("DataFolder", () => {
    // With a new identity at each start, the process would not be a member of its group.
    it("does not change its identity in a restart, and creates another one only in an empty folder", async () => {
        const files = new FaultyFiles();
        const first = await DataFolder.open(files, "/data", new FakeProbe(1, new Set([1])));
        const second = await DataFolder.open(files.crash(() => false), "/data", new FakeProbe(2, new Set([2])));
        expect([second.identity, first.identityCreated, second.identityCreated]).to.deep.equal([
            first.identity,
            true,
            false,
        ]);
        const other = await DataFolder.open(new FaultyFiles(), "/data", new FakeProbe(1, new Set([1])));
        expect(other.identity).to.not.equal(first.identity);
    });

    // Two owners would append to the same journal.
    it("does not let more than one of several processes take over the lock of a dead process", async () => {
        const files = new FaultyFiles();
        await DataFolder.open(files, "/data", new FakeProbe(1, new Set([1])));
        const alive = new Set([2, 3, 4]);
        const opened = [...alive].map(pid => DataFolder.open(files, "/data", new FakeProbe(pid, alive)));
        const results = await Promise.allSettled(opened);
        const winners = results.filter(result => result.status === "fulfilled");
        expect(winners).to.have.length(1);
        expect(winners[0]!.value.lockTakenOver).to.equal(true);
        const refusals = results.flatMap(result => result.status === "rejected" ? [result.reason as unknown] : []);
        refusals.forEach(err => expect(err).to.be.instanceOf(FolderLockedError));
        await winners[0]!.value.close();
        await DataFolder.open(files, "/data", new FakeProbe(5, new Set([5, ...alive])));
    });

    it("does not read files of a newer format by the rules of this version, and names both versions", async () => {
        const files = new FaultyFiles();
        await write(files, "/data/folder.json", JSON.stringify({ format: 7, identity: "x" }));
        const err = await errorOf(DataFolder.open(files, "/data", new FakeProbe(1, new Set())));
        expect(err).to.be.instanceOf(NewerFormatError);
        expect(String(err)).to.contain("format version 7").and.contain("up to 1");
    });

    it("does not put old claims under a new identity when the identity of a folder with files is missing", async () => {
        const files = new FaultyFiles();
        await write(files, "/data/claims", "x");
        expect(await errorOf(DataFolder.open(files, "/data", new FakeProbe(1, new Set())))).to.be.instanceOf(
            IncompleteFolderError,
        );
    });

    // The in-memory files hide errors of the real file system calls.
    it("does not fail on real files, and detects this process as the lock owner", async () => {
        const path = mkdtempSync(join(tmpdir(), "lentilramp-journal-"));
        try {
            const files = new NodeFileAccess();
            const folder = await DataFolder.open(files, path);
            expect(await errorOf(DataFolder.open(files, path))).to.be.instanceOf(FolderLockedError);
            const { journal } = await folder.openJournal("claims");
            await Promise.all([1, 2, 3].map(n => journal.append(Buffer.alloc(n))));
            await journal.saveSnapshot(Buffer.from("s"), 3);
            await journal.append(Buffer.from("x"));
            const metadata = await folder.openMetadata("vote");
            await metadata.replace(Buffer.from("term 4"));
            await journal.close();
            await folder.close();
            const again = await DataFolder.open(files, path);
            const { contents, journal: reopened } = await again.openJournal("claims");
            await reopened.close();
            expect([contents.snapshot?.index, contents.records.length]).to.deep.equal([3, 1]);
            expect(Buffer.from((await again.openMetadata("vote")).value!).toString()).to.equal("term 4");
        }
        finally {
            rmSync(path, { recursive: true });
        }
    });

    it("does not take a process with a reused id or of an earlier boot for the lock owner", () => {
        const probe = new LinuxProcessProbe();
        const self = probe.currentProcess();
        expect(probe.isAlive(self)).to.equal(true);
        expect(probe.isAlive({ ...self, startTime: "0" })).to.equal(false);
        expect(probe.isAlive({ ...self, bootId: "other" })).to.equal(false);
    });
});
