import { cac } from "cac";
import { existsSync } from "node:fs";
import { Scenario } from "./scenario.ts";

const deployments = ["fjordlys", "kokosinjac"];
const usageErrorExitCode = 2;

interface CliOptions {
    deployment?: string;
    seed: number;
    json?: boolean;
    keep?: boolean;
}

interface ResultRow {
    deployment: string;
    name: string;
    tried: number;
    held: number;
}

async function runAll(
    names: readonly string[],
    options: CliOptions,
): Promise<{ rows: ResultRow[]; problems: string[]; held: boolean; }> {
    const rows: ResultRow[] = [];
    const problems: string[] = [];
    let held = true;
    for (const name of names) {
        const startedAt = Date.now();
        const reportProgress = (line: string): void =>
            console.error(`[${name} ${((Date.now() - startedAt) / 1_000).toFixed(1)} s] ${line}`);
        const scenario = new Scenario(name, options.seed, reportProgress);
        await scenario.run();
        reportProgress("finished");
        rows.push(...scenario.guarantees.counts.map(count => ({ deployment: name, ...count })));
        problems.push(...scenario.guarantees.problems.map(problem => `${name}: ${problem}`));
        held &&= scenario.guarantees.allHeld;
    }
    return { rows, problems, held };
}

async function keepRunning(name: string): Promise<void> {
    const stopRequested = new Promise<void>(resolve => {
        process.once("SIGINT", resolve);
        process.once("SIGTERM", resolve);
    });
    await new Scenario(name, 1, line => console.error(line)).keepRunning(stopRequested);
}

function printTable(rows: readonly ResultRow[], problems: readonly string[]): void {
    for (const { deployment, name, tried, held } of rows) {
        const verdict = tried === 0 ? "NOT TRIED" : tried === held ? "held" : "BROKEN";
        console.log(
            `${deployment.padEnd(11)} ${verdict.padEnd(9)} ${String(held).padStart(5)} of ${
                String(tried).padEnd(5)
            } ${name}`,
        );
    }
    problems.slice(0, 20).forEach(problem => console.log(`  ${problem}`));
}

const cli = cac("npm run demo --");
cli.command("", "Run the deployments on loopback through failures and count which guarantees held")
    .option("--deployment <name>", `One of ${deployments.join(", ")}; all in turn when left out`)
    .option("--seed <n>", "Seed of the workload", { default: 1 })
    .option("--json", "Print one JSON document")
    .option("--keep", "Only start one deployment, with its first configuration, and leave it running")
    .action(async (options: CliOptions) => {
        const names = options.deployment === undefined ? deployments : [options.deployment];
        if (names.some(name => !deployments.includes(name)) || !existsSync("dist/lentilramp")) {
            console.error(
                `expected --deployment to be one of ${
                    deployments.join(", ")
                } and dist/lentilramp to exist; run npm run build first`,
            );
            process.exitCode = usageErrorExitCode;
            return;
        }
        if (options.keep === true) {
            await keepRunning(names[0] ?? "");
            return;
        }
        const { rows, problems, held } = await runAll(names, options);
        if (options.json === true) {
            console.log(JSON.stringify({ promises: rows, problems, held }, undefined, 4));
        }
        else {
            printTable(rows, problems);
        }
        process.exitCode = held ? 0 : 1;
    });
cli.help();
cli.parse();
