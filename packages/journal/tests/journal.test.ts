import { CorruptionError, DiskFullError, Journal, RestartRequiredError } from "@lentilramp/journal";
import { expect } from "chai";
import { FaultyFiles } from "./faulty-files.ts";

const folder = "/data/log";
const bytes = (text: string) => Buffer.from(text);
const texts = (records: readonly { payload: Uint8Array; }[]) => records.map(r => Buffer.from(r.payload).toString());
const errorOf = (promise: Promise<unknown>): Promise<unknown> => promise.then(() => undefined, (err: unknown) => err);
const segments = (files: FaultyFiles) => [...files.names.keys()].filter(name => name.includes("segment-")).sort();

async function appendAll(journal: Journal, count: number, prefix = "r"): Promise<void> {
    for (let i = 0; i < count; i++) {
        await journal.append(bytes(`${prefix}${i}`));
    }
}

describe("Journal", () => {
    // A sync for each record would limit the claims per second by the sync time of the disk.
    it("does not sync once for each of several waiting appends, and returns their indices in order", async () => {
        const { journal } = await Journal.open(new FaultyFiles(), folder);
        const indices = await Promise.all([..."abcdef"].map(text => journal.append(bytes(text))));
        expect(indices).to.deep.equal([1, 2, 3, 4, 5, 6]);
        expect(journal.syncs).to.be.at.most(2);
    });

    it("does not acknowledge an incomplete record after a short write", async () => {
        const files = new FaultyFiles();
        const { journal } = await Journal.open(files, folder);
        files.faults.nextWriteLimitBytes = 5;
        await journal.append(bytes("complete"));
        const restarted = files.crash(() => false);
        expect(texts((await Journal.open(restarted, folder)).contents.records)).to.deep.equal(["complete"]);
    });

    it("neither recovers records refused on a full disk nor refuses writes when space is free again", async () => {
        const files = new FaultyFiles();
        const { journal } = await Journal.open(files, folder);
        await journal.append(bytes("kept"));
        files.faults.freeBytes = 60;
        // The first two are written whole and have the size of the later one, so that the second would be recovered
        // without truncation.
        const appends = ["refused-1", "refused-2", "refused-3"].map(text => errorOf(journal.append(bytes(text))));
        const refused = await Promise.all(appends);
        refused.forEach(err => expect(err).to.be.instanceOf(DiskFullError));
        expect(await errorOf(journal.saveSnapshot(Buffer.alloc(100), 1))).to.be.instanceOf(DiskFullError);
        files.faults.freeBytes = Infinity;
        expect(await journal.append(bytes("accepted!"))).to.equal(2);
        const restarted = files.crash(() => true);
        expect(texts((await Journal.open(restarted, folder)).contents.records)).to.deep.equal(["kept", "accepted!"]);
    });

    // After a failed sync, the kernel drops the error and reports later syncs as successful.
    it("neither accepts writes after a failed sync nor loses records of the restart in the next crash", async () => {
        const files = new FaultyFiles();
        const { journal } = await Journal.open(files, folder);
        files.faults.failNextSync = true;
        expect(await errorOf(journal.append(bytes("doubtful")))).to.be.instanceOf(RestartRequiredError);
        const second = await errorOf(journal.append(bytes("later")));
        expect(second).to.be.instanceOf(RestartRequiredError);
        expect(String(second)).to.contain("restart the process");
        const reopened = await Journal.open(files, folder);
        expect(texts(reopened.contents.records)).to.deep.equal(["doubtful"]);
        const restarted = files.crash(() => false);
        expect(texts((await Journal.open(restarted, folder)).contents.records)).to.deep.equal(["doubtful"]);
    });

    it("neither fails to start because of a torn tail nor truncates it without a report", async () => {
        const files = new FaultyFiles();
        const { journal } = await Journal.open(files, folder);
        await journal.append(bytes("first"));
        const end = (await files.readFile(segments(files)[0]!))!.length;
        await journal.append(bytes("a record that is longer than one sector of the disk"));
        const file = await files.open(segments(files)[0]!);
        await file.truncate(end + 20);
        const { contents } = await Journal.open(files, folder);
        expect(texts(contents.records)).to.deep.equal(["first"]);
        expect(contents.tornTail).to.include({ offset: end, bytes: 20, reason: "incomplete record payload" });
        expect((await Journal.open(files, folder)).contents.tornTail).to.equal(undefined);
    });

    // Truncation of an acknowledged record would let a second claim or vote succeed.
    it("does not truncate a record that had been synced, whichever of its bytes is damaged", async () => {
        for (let offset = 24; offset < 24 + 18; offset++) {
            const files = new FaultyFiles();
            const { journal } = await Journal.open(files, folder);
            await appendAll(journal, 3);
            files.flipByte(segments(files)[0]!, offset);
            const err = await errorOf(Journal.open(files, folder));
            expect(err, `offset ${offset}`).to.be.instanceOf(CorruptionError);
            expect(String(err)).to.match(/segment-0+1 is corrupt at offset 24: .*remove the data folder and restart/);
        }
    });

    it("does not take a missing segment or damage at the end of an older segment for a torn tail", async () => {
        const build = async () => {
            const files = new FaultyFiles();
            const { journal } = await Journal.open(files, folder, { segmentBytes: 60 });
            await appendAll(journal, 8);
            return files;
        };
        const missing = await build();
        await missing.remove(segments(missing)[1]!);
        expect(String(await errorOf(Journal.open(missing, folder)))).to.match(/records \d+ to \d+ are missing/);
        const damaged = await build();
        const path = segments(damaged)[0]!;
        damaged.flipByte(path, (await damaged.readFile(path))!.length - 1);
        expect(await errorOf(Journal.open(damaged, folder))).to.be.instanceOf(CorruptionError);
    });

    // The restart reads the snapshot and the records after it; the segments that it replaces have been removed.
    it("does not read all records ever written at a restart when there is a snapshot", async () => {
        const files = new FaultyFiles();
        const { journal } = await Journal.open(files, folder, { segmentBytes: 100 });
        await appendAll(journal, 20);
        await journal.saveSnapshot(bytes("state of 20"), 20);
        await appendAll(journal, 2, "after");
        expect(segments(files)).to.have.length(1);
        const restarted = files.crash(() => false);
        const { contents, journal: reopened } = await Journal.open(restarted, folder);
        expect(contents.snapshot?.index).to.equal(20);
        expect(Buffer.from(contents.snapshot!.payload).toString()).to.equal("state of 20");
        expect(texts(contents.records)).to.deep.equal(["after0", "after1"]);
        expect(await reopened.append(bytes("next"))).to.equal(23);
    });

    it("does not recover conflicting log entries after their truncation across segments", async () => {
        const files = new FaultyFiles();
        const { journal } = await Journal.open(files, folder, { segmentBytes: 60 });
        await appendAll(journal, 9);
        await journal.truncateFrom(4);
        expect(await journal.append(bytes("new"))).to.equal(4);
        const restarted = files.crash(() => false);
        expect(texts((await Journal.open(restarted, folder)).contents.records)).to.deep.equal([
            "r0",
            "r1",
            "r2",
            "new",
        ]);
    });

    it("does not bring records back with a snapshot when they are truncated while it is written", async () => {
        const { journal } = await Journal.open(new FaultyFiles(), folder);
        await appendAll(journal, 5);
        const saving = errorOf(journal.saveSnapshot(bytes("state of 5"), 5));
        const second = errorOf(journal.saveSnapshot(bytes("state of 5"), 5));
        await journal.truncateFrom(4);
        expect(await saving).to.be.instanceOf(RangeError);
        expect(String(await second)).to.contain("a snapshot is being saved");
    });

    it("does not take a damaged snapshot for an empty state, wherever the damaged byte is", async () => {
        for (const offset of [0, 5, 9, 14]) {
            const files = new FaultyFiles();
            const { journal } = await Journal.open(files, folder);
            await appendAll(journal, 2);
            await journal.saveSnapshot(bytes("state"), 2);
            files.flipByte(`${folder}/snapshot-0000000000000002`, offset);
            expect(await errorOf(Journal.open(files, folder)), `offset ${offset}`).to.be.instanceOf(CorruptionError);
        }
    });

    // The error of the failed snapshot states that writes are refused.
    it("does not accept appends on a disk that has failed to sync a snapshot", async () => {
        const files = new FaultyFiles();
        const { journal } = await Journal.open(files, folder);
        await appendAll(journal, 2);
        // The first sync is that of the new segment; the second one is that of the snapshot file.
        const saving = errorOf(journal.saveSnapshot(bytes("state"), 2));
        while (!files.names.has(`${folder}/snapshot-0000000000000002.tmp`)) {
            await Promise.resolve();
        }
        files.faults.failNextSync = true;
        expect(await saving).to.be.instanceOf(RestartRequiredError);
        expect(await errorOf(journal.append(bytes("later")))).to.be.instanceOf(RestartRequiredError);
    });
});
