import { cac } from "cac";
import { randomSchedule, runSchedule } from "./schedule.ts";

const scheduleLength = 150;

interface FuzzOptions {
    readonly seconds: number;
    readonly schedules: number;
    readonly seed: number;
}

/** Runs random schedules, one a seed, until the time or the number is used up; returns the exit status. */
function fuzz(options: FuzzOptions): number {
    const end = Date.now() + options.seconds * 1_000;
    let done = 0;
    let committed = 0;
    while (done < options.schedules && Date.now() < end) {
        const seed = options.seed + done;
        try {
            committed += runSchedule(randomSchedule(seed, scheduleLength), { seed }).history.lastIndex;
        }
        catch (err) {
            console.log(`violation at seed ${seed}: ${String(err)}`);
            console.log(`repeat with: npm run fuzz -- --schedules 1 --seed ${seed}`);
            return 1;
        }
        done += 1;
    }
    console.log(`${done} schedules of ${scheduleLength} steps, ${committed} entries committed, no violation`);
    return 0;
}

const cli = cac("npm run fuzz --");
cli.command("", "Run random schedules against the agreement code")
    .option("--seconds <n>", "Time to run", { default: 60 })
    .option("--schedules <n>", "Largest number of schedules", { default: Number.MAX_SAFE_INTEGER })
    .option("--seed <n>", "First seed; each schedule has the next one", { default: 1 })
    .action((options: FuzzOptions) => {
        process.exitCode = fuzz({
            seconds: Number(options.seconds),
            schedules: Number(options.schedules),
            seed: Number(options.seed),
        });
    });
cli.help();
cli.parse();
