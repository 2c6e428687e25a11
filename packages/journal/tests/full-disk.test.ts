import { DiskFullError, Journal } from "@lentilramp/journal";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import fc from "fast-check";
import { FaultyFiles, type SpaceOperation } from "./faulty-files.ts";

const folder = "/data/log";
const options = { segmentBytes: 200, batchBytes: 150 };
const operations: readonly SpaceOperation[] = ["open", "sync", "truncate", "rename", "remove", "syncFolder"];
const errorOf = (promise: Promise<unknown>): Promise<unknown> => promise.then(() => undefined, (err: unknown) => err);

/** Returns the recovered records: those in the snapshot, which joins them with commas, and those after it. */
function recovered(contents: Awaited<ReturnType<typeof Journal.open>>["contents"]): string[] {
    const text = Buffer.from(contents.snapshot?.payload ?? []).toString();
    return [...(text === "" ? [] : text.split(",")), ...contents.records.map(r => Buffer.from(r.payload).toString())];
}

/** A journal on a disk that may be full, and the records that it has acknowledged. */
class Writer {
    acknowledged: string[] = [];
    private written = 0;

    private constructor(public files: FaultyFiles, private journal: Journal) {}

    static async open(): Promise<Writer> {
        const files = new FaultyFiles();
        return new Writer(files, (await Journal.open(files, folder, options)).journal);
    }

    /** Returns the error of the append, or undefined once it is acknowledged. */
    async append(size = 20): Promise<unknown> {
        const text = `${this.written++}:`.padEnd(size, "x");
        const list = this.acknowledged;
        const err = await errorOf(this.journal.append(Buffer.from(text)));
        if (err === undefined) {
            list.push(text);
        }
        return err;
    }

    async saveSnapshot(): Promise<unknown> {
        return await errorOf(
            this.journal.saveSnapshot(Buffer.from(this.acknowledged.join(",")), this.journal.lastIndex),
        );
    }

    giveRoom(): void {
        this.files.faults.freeBytes = Infinity;
        this.files.faults.outOfSpace = new Set();
        this.files.refusedNames = undefined;
    }

    /** Loses power, makes room, starts again, and returns the records that the journal has recovered. */
    async restart(keep: () => boolean): Promise<string[]> {
        this.files = this.files.crash(keep);
        const { journal, contents } = await Journal.open(this.files, folder, options);
        this.journal = journal;
        this.acknowledged = recovered(contents);
        return this.acknowledged;
    }
}

describe("Journal on a disk without space", () => {
    // Some file systems reserve space at the sync, the truncation or the change of a name. A journal that stopped for
    // good then took its process out of the group until a restart, although the disk had room again.
    for (const operation of operations) {
        it(`does not stop for good when there is no space to ${operation}`, async () => {
            const writer = await Writer.open();
            for (let round = 0; round < 30; round++) {
                expect(await writer.append()).to.equal(undefined);
                writer.files.faults.outOfSpace = new Set([operation]);
                if (operation === "truncate") {
                    writer.files.faults.freeBytes = 10 + round;
                }
                const errors = [
                    await writer.append(),
                    round % 3 === 0 ? await writer.saveSnapshot() : undefined,
                    await writer.append(),
                ];
                errors.filter(err => err !== undefined).forEach(err => expect(err).to.be.instanceOf(DiskFullError));
                writer.giveRoom();
                expect(await writer.append()).to.equal(undefined);
                expect(round % 4 === 0 ? await writer.saveSnapshot() : undefined).to.equal(undefined);
            }
            const { acknowledged } = writer;
            expect(await writer.restart(() => false)).to.deep.equal(acknowledged);
        });
    }

    // The next segment seals the one before it. What a refused write has left there would count as damage of synced
    // records, so that the process could not start after a loss of power.
    it("starts after a loss of power, although a new segment followed a refused write", async () => {
        for (let seed = 1; seed <= 100; seed++) {
            const random = new SeededRandom(seed);
            const files = new FaultyFiles();
            const { journal } = await Journal.open(files, folder);
            await journal.append(Buffer.from("first"));
            files.faults.freeBytes = 50;
            expect(await errorOf(journal.append(Buffer.alloc(100, "x")))).to.be.instanceOf(DiskFullError);
            files.faults.freeBytes = 200;
            expect(await errorOf(journal.saveSnapshot(Buffer.alloc(1_000), 1))).to.be.instanceOf(DiskFullError);
            files.faults.freeBytes = Infinity;
            await journal.append(Buffer.from("second"));
            const { contents } = await Journal.open(files.crash(() => random.next() < 0.5), folder);
            expect(recovered(contents), `seed ${seed}`).to.deep.equal(["first", "second"]);
        }
    });

    const step = fc.oneof(
        { weight: 6, arbitrary: fc.record({ kind: fc.constant("append" as const), sizes: fc.array(fc.nat(60)) }) },
        {
            weight: 3,
            arbitrary: fc.record({
                kind: fc.constant("full" as const),
                room: fc.nat(200),
                outOfSpace: fc.oneof(fc.constant([]), fc.subarray([...operations])),
                refusedNames: fc.constantFrom(undefined, /snapshot/, /segment/),
            }),
        },
        { weight: 2, arbitrary: fc.record({ kind: fc.constant("room" as const), snapshot: fc.boolean() }) },
        { weight: 3, arbitrary: fc.record({ kind: fc.constant("snapshot" as const) }) },
        {
            weight: 2,
            arbitrary: fc.record({ kind: fc.constant("crash" as const), keep: fc.double({ min: 0, max: 1 }) }),
        },
    );

    it("loses no acknowledged record and accepts writes as soon as there is room, whatever had failed", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(step, { maxLength: 30 }), fc.integer(), async (steps, seed) => {
                const random = new SeededRandom(seed);
                const writer = await Writer.open();
                const end = [
                    { kind: "room" as const, snapshot: random.next() < 0.5 },
                    { kind: "crash" as const, keep: 0.5 },
                ];
                for (const current of [...steps, ...end]) {
                    switch (current.kind) {
                        case "append":
                            await Promise.all(current.sizes.map(size => writer.append(size)));
                            break;
                        case "full":
                            writer.files.faults.freeBytes = current.room;
                            writer.files.faults.outOfSpace = new Set(current.outOfSpace);
                            writer.files.refusedNames = current.refusedNames;
                            break;
                        case "room":
                            writer.giveRoom();
                            expect(await writer.append()).to.equal(undefined);
                            expect(current.snapshot ? await writer.saveSnapshot() : undefined).to.equal(undefined);
                            expect(await writer.append()).to.equal(undefined);
                            break;
                        case "snapshot":
                            expect(await writer.saveSnapshot() ?? new DiskFullError("", undefined))
                                .to.be.instanceOf(DiskFullError);
                            break;
                        case "crash": {
                            const { acknowledged } = writer;
                            const found = await writer.restart(() => random.next() < current.keep);
                            expect(found.slice(0, acknowledged.length)).to.deep.equal(acknowledged);
                            break;
                        }
                    }
                }
            }),
            { seed: 20_261_205, numRuns: 1_000 },
        );
    });
});
