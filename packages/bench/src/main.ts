import { cac } from "cac";
import { writeFileSync } from "node:fs";
import { formatResult } from "./format-result.ts";
import { experiments } from "./registry.ts";

const defaultSeed = 1;
const usageError = 2;

async function runExperiment(name: string, seed: number, jsonFile: string | undefined): Promise<number> {
    const experiment = experiments.find(candidate => candidate.name === name);
    if (experiment === undefined) {
        console.error(`no experiment named ${name}; --list names them`);
        return usageError;
    }
    const result = await experiment.run(seed);
    console.log(formatResult(result));
    if (jsonFile !== undefined) {
        writeFileSync(jsonFile, `${JSON.stringify(result, undefined, 4)}\n`);
    }
    return 0;
}

const cli = cac("npm run bench --");
cli.command("[name]", "Run one experiment")
    .option("--list", "Name the experiments")
    .option("--seed <n>", "Seed of the random source", { default: defaultSeed })
    .option("--json <file>", "Also write the result as JSON")
    .action(async (name: string | undefined, options: { list?: boolean; seed: number; json?: string; }) => {
        if (options.list === true || name === undefined) {
            for (const experiment of experiments) {
                console.log(`${experiment.name}  ${experiment.description}`);
            }
            return;
        }
        process.exitCode = await runExperiment(name, Number(options.seed), options.json);
    });
cli.help();
cli.parse();
