import { Journal, MetadataFile } from "@lentilramp/journal";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import fc from "fast-check";
import { FaultyFiles } from "./faulty-files.ts";

const folder = "/data/log";
const step = fc.oneof(
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("append" as const), sizes: fc.array(fc.nat(60)) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("full" as const), room: fc.nat(200) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("room" as const) }) },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("short" as const), bytes: fc.integer({ min: 1, max: 40 }) }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("failSync" as const) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("snapshot" as const) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("crash" as const), keep: fc.double({ min: 0, max: 1 }) }) },
);

/** Returns the recovered records: those in the snapshot, which joins them with commas, and those after it. */
function recovered(contents: Awaited<ReturnType<typeof Journal.open>>["contents"]): string[] {
    const text = Buffer.from(contents.snapshot?.payload ?? []).toString();
    return [...(text === "" ? [] : text.split(",")), ...contents.records.map(r => Buffer.from(r.payload).toString())];
}

describe("Journal properties", () => {
    it("does not lose, change or reorder an acknowledged record under any sequence of disk faults", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(step, { maxLength: 25 }), fc.integer(), async (steps, seed) => {
                const random = new SeededRandom(seed);
                let files = new FaultyFiles();
                const options = { segmentBytes: 200, batchBytes: 150 };
                let { journal } = await Journal.open(files, folder, options);
                let acknowledged: string[] = [];
                let written = 0;
                const append = async (size: number) => {
                    const text = `${written++}:`.padEnd(size, "x");
                    const list = acknowledged;
                    try {
                        const index = await journal.append(Buffer.from(text));
                        expect(index).to.equal(list.length + 1);
                        list.push(text);
                    }
                    catch (err) {
                        expect(err).to.have.property("file");
                    }
                };
                const crash = async (keep: number) => {
                    const pending = Promise.all([append(40), append(30)]);
                    for (let turns = random.nextInt(40); turns > 0; turns--) {
                        await Promise.resolve();
                    }
                    const confirmed = [...acknowledged];
                    files = files.crash(() => random.next() < keep);
                    await pending;
                    const opened = await Journal.open(files, folder, options);
                    journal = opened.journal;
                    acknowledged = recovered(opened.contents);
                    expect(acknowledged.slice(0, confirmed.length)).to.deep.equal(confirmed);
                };
                for (const current of [...steps, { kind: "crash" as const, keep: 0.5 }]) {
                    switch (current.kind) {
                        case "append":
                            await Promise.all(current.sizes.map(append));
                            break;
                        case "full":
                            files.faults.freeBytes = current.room;
                            break;
                        case "room":
                            files.faults.freeBytes = Infinity;
                            break;
                        case "short":
                            files.faults.nextWriteLimitBytes = current.bytes;
                            break;
                        case "failSync":
                            files.faults.failNextSync = true;
                            break;
                        case "snapshot":
                            await journal.saveSnapshot(Buffer.from(acknowledged.join(",")), journal.lastIndex).catch(
                                (err: unknown) => expect(err).to.have.property("file"),
                            );
                            break;
                        case "crash":
                            await crash(current.keep);
                            break;
                    }
                }
            }),
            { seed: 20_261_204, numRuns: 600 },
        );
    });

    it("neither loses an acknowledged metadata record, such as a vote, nor half replaces it in a crash", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(fc.tuple(fc.string(), fc.nat(30), fc.double({ min: 0, max: 1 }))), async list => {
                const random = new SeededRandom(list.length);
                let files = new FaultyFiles();
                for (const [text, turns, keep] of list) {
                    const before = Buffer.from((await MetadataFile.open(files, "/data/vote")).value ?? []).toString();
                    const file = await MetadataFile.open(files, "/data/vote");
                    let done = false;
                    const replacing = file.replace(Buffer.from(text)).then(() => done = true, () => undefined);
                    for (let turn = 0; turn < turns; turn++) {
                        await Promise.resolve();
                    }
                    const acknowledged = done;
                    files = files.crash(() => random.next() < keep);
                    const value = (await MetadataFile.open(files, "/data/vote")).value;
                    expect(acknowledged ? [text] : [before, text]).to.include(Buffer.from(value ?? []).toString());
                    await replacing;
                }
            }),
            { seed: 20_261_204, numRuns: 300 },
        );
    });
});
