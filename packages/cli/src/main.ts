// Loaded before all other modules, which take a part of a second.
import "./launcher/ignore-hangup.ts";

import { addFleetCommand, createCommandLine, run, runCommandLine } from "./command-line.ts";
import type { DrainOptions, HandOverOptions } from "./commands/drain.ts";
import type { GenerateOptions } from "./commands/generate.ts";
import type { PromptPartsOptions } from "./commands/prompt-parts.ts";
import type { WhereOptions } from "./commands/where.ts";
import { CommandError, exitCodes } from "./exit-codes.ts";
import type { ConnectionOptions } from "./operator-client.ts";
import { Output } from "./output.ts";

// Each command is loaded when it is run, so that a process of a fleet starts without the modules of the others.
interface CommonOptions {
    json?: boolean;
}

const cli = createCommandLine();

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
addFleetCommand(cli, async () => (await import("./commands/fleet.ts")).fleet);
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
cli.command(
    "where <address>",
    "Tell where an ingress (HOST:PORT, inner port) would send a request now, without sending it",
)
    .option("--route <name>", "Route of the request")
    .option("--workspace <name>", "Workspace of the request")
    .option("--rank <n>", "Rank instead of that of the workspace or the route")
    .option("--prompt-tokens <n>", "Tokens of the prompt")
    .option("--prefix <parts>", "Parts of the prompt as ID:TOKENS,ID:TOKENS")
    .option("--size <bytes>", "Size of the body")
    .action((address: string, options: WhereOptions & CommonOptions) =>
        run(async () => {
            const { where, withTypedNames } = await import("./commands/where.ts");
            return await where(address, withTypedNames(options, cli.rawArgs), new Output(options.json === true));
        })
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
void runCommandLine(cli);
