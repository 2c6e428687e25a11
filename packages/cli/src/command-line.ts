import { type CAC, cac } from "cac";
import { CommandError, type ExitCode, exitCodes } from "./exit-codes.ts";

const version = process.env.LENTILRAMP_VERSION ?? "development";

/** Returns a command line with the options that all commands share, and without commands. */
export function createCommandLine(): CAC {
    const cli = cac("lentilramp");
    cli.option("--deployment <dir>", "Folder with the questionnaire that names the control processes");
    cli.option("--control <addresses>", "Control processes as HOST:PORT,HOST:PORT, instead of --deployment");
    cli.option("--key <file>", "File with the process key (default: process.key)");
    cli.option("--json", "Print the result as one JSON document");
    return cli;
}

/** Runs the action of a command, and sets the exit code of the process. */
export async function run(action: () => Promise<ExitCode> | ExitCode): Promise<void> {
    try {
        process.exitCode = await action();
    }
    catch (err) {
        if (!(err instanceof Error)) {
            throw err;
        }
        console.error(`error: ${err.message}`);
        process.exitCode = err instanceof CommandError ? err.exitCode : exitCodes.failed;
    }
}

/** Adds the command that runs a process of a fleet; `load` is called when the command is run. */
export function addFleetCommand(
    cli: CAC,
    load: () => Promise<(keyFile: string, policyFile?: string) => Promise<ExitCode>>,
): void {
    cli.command("fleet", "Run one process on the platform that started this command")
        .option("--policy <file>", "Mechanisms to switch off (default: none)")
        .action((options: { key?: string; policy?: string; }) =>
            run(async () => (await load())(options.key ?? "deploy/process.key", options.policy))
        );
}

/** Parses the arguments and runs the command; unknown commands and options end with the usage exit code. */
export async function runCommandLine(cli: CAC): Promise<void> {
    cli.help();
    cli.version(version);
    try {
        cli.parse(process.argv, { run: false });
        if (cli.matchedCommand === undefined && cli.options.help !== true && cli.options.version !== true) {
            const named = cli.args[0];
            console.error(named === undefined ? "error: name a command" : `error: unknown command ${named}`);
            cli.outputHelp();
            process.exitCode = exitCodes.usage;
            return;
        }
        await cli.runMatchedCommand();
    }
    catch (err) {
        console.error(`error: ${err instanceof Error ? err.message : String(err)}`);
        process.exitCode = exitCodes.usage;
    }
}
