// Loaded before all other modules, which take a part of a second.
import "./launcher/ignore-hangup.ts";

import { cac } from "cac";
import type { DrainOptions, HandOverOptions } from "./commands/drain.ts";
import type { GenerateOptions } from "./commands/generate.ts";
import type { PromptPartsOptions } from "./commands/prompt-parts.ts";
import { CommandError, type ExitCode, exitCodes } from "./exit-codes.ts";
import type { ConnectionOptions } from "./operator-client.ts";
import { Output } from "./output.ts";

const version = process.env.LENTILRAMP_VERSION ?? "development";

// Each command is loaded when it is run, so that a process of a fleet starts without the modules of the others.
interface CommonOptions {
    json?: boolean;
}

async function run(action: () => Promise<ExitCode> | ExitCode): Promise<void> {
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

const cli = cac("lentilramp");
cli.option("--deployment <dir>", "Folder with the questionnaire that names the control processes");
cli.option("--control <addresses>", "Control processes as HOST:PORT,HOST:PORT, instead of --deployment");
cli.option("--key <file>", "File with the process key (default: process.key)");
cli.option("--json", "Print the result as one JSON document");

cli.command("serve", "Run one process")
    .option("--settings <file>", "Settings of the process")
    .action((options: { settings?: string; }) =>
        run(async () => {
            if (options.settings === undefined) {
                throw new CommandError(exitCodes.usage, "give --settings FILE");
            }
            return (await import("./commands/serve.ts")).serve(options.settings);
        })
    );
cli.command("fleet", "Run one process on the platform that started this command")
    .option("--policy <file>", "Mechanisms to switch off (default: none)")
    .action((options: { key?: string; policy?: string; }) =>
        run(async () =>
            (await import("./commands/fleet.ts")).fleet(options.key ?? "deploy/process.key", options.policy)
        )
    );
cli.command("check [...files]", "Check settings and questionnaires without any effect")
    .action((files: string[], options: CommonOptions) =>
        run(async () => {
            if (files.length === 0) {
                throw new CommandError(exitCodes.usage, "name at least one file or deployment folder");
            }
            return (await import("./commands/check.ts")).check(files, new Output(options.json === true));
        })
    );
cli.command("generate <questionnaire>", "Generate the configuration and show what would change")
    .option("--out <file>", "Write the proposal for approve")
    .action((file: string, options: GenerateOptions & CommonOptions) =>
        run(async () =>
            (await import("./commands/generate.ts")).generate(file, options, new Output(options.json === true))
        )
    );
cli.command("approve <proposal>", "Approve a proposal and wait until it is in force")
    .action((file: string, options: ConnectionOptions & CommonOptions) =>
        run(async () =>
            (await import("./commands/approve.ts")).approve(file, options, new Output(options.json === true))
        )
    );
cli.command("status", "Show the state of a deployment")
    .action((options: ConnectionOptions & CommonOptions) =>
        run(async () => (await import("./commands/status.ts")).status(options, new Output(options.json === true)))
    );
cli.command("dump <address>", "Print the state of one process (HOST:PORT)")
    .action((address: string, options: ConnectionOptions) =>
        run(async () => (await import("./commands/dump.ts")).dump(address, options.key ?? "process.key"))
    );
cli.command("drain <endpoint>", "Stop new work to an endpoint")
    .option("--operation-id <id>", "Repeat an earlier operation")
    .option("--wait <seconds>", "Wait until the requests in flight have ended")
    .action((endpoint: string, options: DrainOptions & CommonOptions) =>
        run(async () =>
            (await import("./commands/drain.ts")).drain(endpoint, options, new Output(options.json === true))
        )
    );
cli.command("hand-over <kind> <id> <step>", "Take one step of a hand-over: planned, draining, released, transferred")
    .option("--operation-id <id>", "Repeat an earlier operation")
    .action((kind: string, id: string, step: string, options: HandOverOptions & CommonOptions) =>
        run(async () =>
            (await import("./commands/drain.ts")).handOver(kind, id, step, options, new Output(options.json === true))
        )
    );
cli.command("lookup <address>", "Ask an entry which addresses callers should use (HOST:PORT)")
    .action((address: string, options: CommonOptions) =>
        run(async () => (await import("./commands/lookup.ts")).lookup(address, new Output(options.json === true)))
    );
cli.command("explain [...files]", "Count why callers were refused, failed or answered late")
    .option("--from <time>", "First time of day to count, as the logs write it")
    .option("--to <time>", "Time of day from which nothing is counted")
    .action((files: string[], options: CommonOptions & { from?: string; to?: string; }) =>
        run(async () => {
            if (files.length === 0) {
                throw new CommandError(exitCodes.usage, "name at least one log file");
            }
            return (await import("./commands/explain.ts")).explain(files, options, new Output(options.json === true));
        })
    );
cli.command(
    "crash-verdicts",
    "Show the requests and prompt parts that a fleet refuses because they crash endpoints (--control: a steward)",
)
    .alias("prompt-parts")
    .option("--lift <suspect>", "End the verdict on a request or a prompt part")
    .action((options: PromptPartsOptions & CommonOptions) =>
        run(async () =>
            (await import("./commands/prompt-parts.ts")).promptParts(options, new Output(options.json === true))
        )
    );
cli.command("trace <id> [...files]", "Tell what the logs of several processes say of one request")
    .action((id: string, files: string[], options: CommonOptions) =>
        run(async () => {
            if (files.length === 0) {
                throw new CommandError(exitCodes.usage, "name at least one log file");
            }
            return (await import("./commands/trace.ts")).trace(id, files, new Output(options.json === true));
        })
    );
cli.help();
cli.version(version);

/** Parses the arguments; unknown commands and options end with the usage exit code. */
async function main(): Promise<void> {
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

void main();
