import { BenchRunner } from "@lentilramp/platform-bench";
import { cac } from "cac";
import { mkdirSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import PQueue from "p-queue";
import { formatResult } from "../format-result.ts";
import { checkOut, workingTree } from "./checkout.ts";
import { compare, type Pair } from "./comparison.ts";

interface Options {
    fleetbench?: string;
    site?: string;
    days?: string;
    seeds: string;
    base: string;
    change: string;
    jobs: number;
    out: string;
}

const usageError = 2;

/** Plays the same days and seeds with two versions, side by side, and prints how they differ. */
async function runComparison(options: Options): Promise<number> {
    const { fleetbench, site, days } = options;
    if (fleetbench === undefined || site === undefined || days === undefined) {
        console.error("give --fleetbench PROGRAM, --site FILE and --days NAME,NAME");
        return usageError;
    }
    const out = resolve(options.out);
    mkdirSync(out, { recursive: true });
    const versions = { base: options.base, change: options.change };
    const folders = {
        base: await checkOut(versions.base, join(out, "base")),
        change: await checkOut(versions.change, join(out, "change")),
    };
    const player = new BenchRunner(resolve(fleetbench), resolve(site), out);
    const pairs: Pair[] = [];
    const runs = String(options.seeds).split(",").map(Number)
        .flatMap(seed => days.split(",").map(day => ({ day, seed })));
    const why = `comparison of ${versions.base} and ${versions.change}`;
    const result = () =>
        compare([...pairs].sort((a, b) => a.day.localeCompare(b.day) || a.seed - b.seed), {
            ...versions,
            site,
            seeds: String(options.seeds),
        });
    let failures = 0;
    const queue = new PQueue({ concurrency: Math.max(1, Math.floor(options.jobs / 2)) });
    await queue.addAll(runs.map(({ day, seed }) => async () => {
        const play = (side: keyof typeof folders) =>
            player.run({ folder: folders[side], day, seed, reason: why }, `${side}-${day}-${seed}`);
        const [base, change] = await Promise.all([play("base"), play("change")]);
        if (base.isErr() || change.isErr()) {
            failures++;
            console.error([base, change].flatMap(side => side.isErr() ? [side.error] : []).join("\n"));
            return;
        }
        pairs.push({ day, seed, base: base.value, change: change.value });
        console.error(
            `${pairs.length} of ${runs.length}: ${day} seed ${seed}: worth ${base.value.worth.toFixed(3)}, ${
                change.value.worth.toFixed(3)
            }`,
        );
        // Written after each pair, so that an interrupted comparison keeps what it has.
        writeFileSync(join(out, "comparison.json"), `${JSON.stringify(result(), undefined, 4)}\n`);
    }));
    if (pairs.length === 0) {
        return 1;
    }
    console.log(formatResult(result()));
    return failures === 0 ? 0 : 1;
}

const cli = cac("npm run compare --");
cli.command("", "Compare two versions on days of the users' bench")
    .option("--fleetbench <program>", "The bench")
    .option("--site <file>", "Deployment to play")
    .option("--days <names>", "Days, separated by commas")
    .option("--seeds <numbers>", "Seeds, separated by commas", { default: "1,2" })
    .option("--base <version>", "Commit to compare with", { default: "HEAD" })
    .option("--change <version>", `Commit, or ${workingTree} for the files as they are`, { default: workingTree })
    .option("--jobs <n>", "Days played at a time", { default: 6 })
    .option("--out <folder>", "New folder, not under /tmp, for checkouts, reports and comparison.json", {
        default: "../comparison",
    })
    .action(async (options: Options) => {
        process.exitCode = await runComparison(options);
    });
cli.help();
cli.parse();
