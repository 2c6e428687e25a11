import { cac } from "cac";
import { builtProgram } from "./mixed-builds.ts";
import { soak } from "./soak-run.ts";

const cli = cac("soak");
cli.option("--seeds <range>", "Seeds A..B, or one seed", { default: "1..5" });
cli.option("--seconds <seconds>", "Time of faults for each seed", { default: 20 });
cli.option("--processes <count>", "Processes of the fleet, three of them stewards", { default: 8 });
cli.option("--other-build <folder>", "Checkout with another build, from which every second process starts");
cli.help();
const { options } = cli.parse();
const [first, last] = String(options.seeds).split("..").map(Number);
const otherProgram = options.otherBuild === undefined ? undefined : builtProgram(String(options.otherBuild));
let broken = 0;
for (let seed = first ?? 1; seed <= (last ?? first ?? 1); seed++) {
    const ingresses = Math.max(1, Number(options.processes) - 3);
    const result = await soak({ seed, seconds: Number(options.seconds), stewards: 3, ingresses, otherProgram });
    const { calls, answered, acknowledged, faults } = result;
    process.stdout.write(
        `seed=${seed} faults=${faults.length} calls=${calls} answered=${answered} acknowledged=${acknowledged} `
            + `broken=${result.broken.length}\n`,
    );
    if (result.broken.length > 0) {
        broken++;
        process.stdout.write(`${[...faults, ...result.broken].map(line => `    ${line}`).join("\n")}\n`);
    }
}
process.exitCode = broken === 0 ? 0 : 1;
