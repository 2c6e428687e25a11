import { cac } from "cac";
import { playCalm } from "./calm-run.ts";
import type { Habit } from "./losses.ts";
import { habitShares } from "./requests.ts";

const cli = cac("calm");
cli.option("--seeds <range>", "Seeds A..B, or one seed", { default: "1..5" });
cli.option("--seconds <seconds>", "Time of planned work for each seed", { default: 30 });
cli.option("--callers <count>", "Callers, each with one connection", { default: 100 });
cli.option("--without <habits>", `Habits of callers to leave out: ${Object.keys(habitShares).join(",")}`, {
    default: "",
});
cli.option("--silent", "Send only streams that may be resumed, at endpoints that pause and then refuse repeats");
cli.option("--long", "Send streams that outlast the grace time, stop several ingresses at once, and change rarely");
cli.option("--excused", "Print the requests that an exception of the rule excuses");
cli.help();
const { options } = cli.parse();
const [first, last] = String(options.seeds).split("..").map(Number);
const leftOut = Object.keys(habitShares).filter(habit => String(options.without).split(",").includes(habit)) as Habit[];
let failed = 0;
const print = (lines: readonly string[]): void => lines.forEach(line => process.stdout.write(`    ${line}\n`));
for (let seed = first ?? 1; !options.help && seed <= (last ?? first ?? 1); seed++) {
    const result = await playCalm({
        seed,
        seconds: Number(options.seconds),
        stewards: 3,
        ingresses: 4,
        callers: Number(options.callers),
        leftOut,
        profile: options.silent ? "silent" : options.long ? "long" : "mixed",
    });
    const { calls, answered, excused, disputed, lost, broken, statuses, works, failed: failures } = result;
    process.stdout.write(
        `seed=${seed} calls=${calls} answered=${answered} excused=${excused.length} disputed=${disputed.length} lost=${lost.length} `
            + `broken=${broken.length} failed=${failures.length} statuses=${JSON.stringify(statuses)} works=${
                JSON.stringify(works)
            }\n`,
    );
    print(broken);
    print(lost);
    print(failures.map(line => `failed: ${line}`));
    print(options.excused ? excused : disputed);
    failed += lost.length + broken.length > 0 ? 1 : 0;
}
process.exitCode = failed === 0 ? 0 : 1;
