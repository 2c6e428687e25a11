import { DataFolder, NodeFileAccess } from "@lentilramp/journal";
import { SeededRandom } from "@lentilramp/runtime";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import type { ExperimentResult, SeriesPoint } from "../experiment.ts";
import { atMost, Experiment } from "../experiment.ts";
import { folderBytes, quantile, withTemporaryFolder } from "./temporary-folder.ts";

const recordCounts = [1_000, 2_000, 4_000, 7_000, 14_000];
/** Size of a change; a generated configuration change of a deployment of today's size is smaller. */
const recordBytes = 1_024;
const stateBytes = 1024 * 1024;
const snapshotInterval = 1_000;
const repeats = 7;
const targetMs = 1_000;

async function fill(path: string, count: number, snapshots: boolean, random: SeededRandom): Promise<void> {
    const folder = await DataFolder.open(new NodeFileAccess(), path);
    const { journal } = await folder.openJournal("log");
    const state = Buffer.alloc(stateBytes, random.nextInt(256));
    for (let done = 0; done < count; done += snapshotInterval) {
        // The snapshot lags by half an interval, so that the restart has records to read after it.
        for (const part of [0, 1]) {
            const appends = Array.from(
                { length: snapshotInterval / 2 },
                () => journal.append(Buffer.alloc(recordBytes, random.nextInt(256))),
            );
            await Promise.all(appends);
            if (part === 0 && snapshots) {
                await journal.saveSnapshot(state, journal.lastIndex);
            }
        }
    }
    await journal.close();
    await folder.close();
}

async function restart(path: string): Promise<{ milliseconds: number; records: number; }> {
    const start = performance.now();
    const folder = await DataFolder.open(new NodeFileAccess(), path);
    const { journal, contents } = await folder.openJournal("log");
    const milliseconds = performance.now() - start;
    await journal.close();
    await folder.close();
    return { milliseconds, records: contents.records.length };
}

/** Time to open the data folder and read the journal after a number of changes. */
export class RecoveryExperiment extends Experiment {
    override readonly name = "recovery";
    override readonly description = "restart time of the journal against the number of records, on real files";
    override readonly reproducible = false;

    override async run(seed: number): Promise<ExperimentResult> {
        const points: SeriesPoint[] = [];
        const worst = new Map<boolean, number>();
        for (const snapshots of [false, true]) {
            for (const records of recordCounts) {
                const point = await this.measure(seed, records, snapshots);
                points.push(point);
                worst.set(snapshots, point.figures.maxMs as number);
            }
        }
        const last = recordCounts.at(-1) as number;
        return {
            experiment: this.name,
            seed,
            settings: { recordBytes, stateBytes, snapshotInterval, repeats },
            points,
            targets: [false, true].map(snapshots =>
                atMost(
                    `restart after ${last} changes ${snapshots ? "with" : "without"} snapshot`,
                    targetMs,
                    worst.get(snapshots) ?? Infinity,
                    "ms",
                )
            ),
        };
    }

    private measure(seed: number, records: number, snapshots: boolean): Promise<SeriesPoint> {
        return withTemporaryFolder(async path => {
            await fill(path, records, snapshots, new SeededRandom(seed));
            const runs = [];
            for (let i = 0; i < repeats; i++) {
                runs.push(await restart(path));
            }
            const times = runs.map(run => run.milliseconds);
            return {
                variant: snapshots ? "with snapshot" : "without snapshot",
                setting: { records },
                figures: {
                    medianMs: quantile(times, 0.5),
                    maxMs: Math.max(...times),
                    recordsRead: runs[0]?.records ?? 0,
                    diskBytes: await folderBytes(join(path, "log")),
                },
            };
        });
    }
}
