import type { ControlSettings, EntrySettings } from "@lentilramp/settings";
import { build } from "esbuild";
import { type ChildProcess, spawn, type StdioOptions } from "node:child_process";
import { once } from "node:events";
import { openSync, writeFileSync } from "node:fs";
import { join } from "node:path";
// @ts-expect-error The build scripts are plain JavaScript without declarations.
import { bundleOptions } from "../../../scripts/bundle-options.mjs";
import { TestGroup } from "./test-group.ts";

/** Folder to which the processes write their logs; without it they are discarded. */
const logFolder = process.env.FLEET_LOGS;

/** Default of the settings. */
const bodyLimitBytes = 1_048_576;

/** Control group of three with entries, each of them a process of its own. */
export class ProcessGroup extends TestGroup {
    private readonly children = new Map<string, ChildProcess>();
    /** Processes that ended without being told to. */
    readonly unexpectedExits: { name: string; code: number | null; signal: NodeJS.Signals | null; }[] = [];
    private readonly bundle = join(this.folder, "lentilramp.cjs");

    constructor(
        private readonly clients: EntrySettings["clients"],
        private readonly nodeOptions: readonly string[],
    ) {
        super();
    }

    async build(): Promise<void> {
        await build({
            ...bundleOptions("0.0.0-test"),
            entryPoints: ["packages/cli/src/main.ts"],
            outfile: this.bundle,
        });
    }

    /** Process id of a process; undefined once it has ended. */
    pid(name: string): number | undefined {
        return this.children.get(name)?.pid;
    }

    override async close(): Promise<void> {
        const children = [...this.children.values()];
        this.children.clear();
        await Promise.all(children.map(child => {
            const exited = once(child, "exit");
            child.kill("SIGKILL");
            return exited;
        }));
        await super.close();
    }

    protected override async start(settings: ControlSettings | EntrySettings): Promise<void> {
        const file = join(this.folder, `${settings.name}.json`);
        writeFileSync(
            file,
            JSON.stringify({
                ...settings,
                clients: this.clients,
                ...settings.role === "entry" ? { bodyLimitBytes } : {},
            }),
        );
        const stdio: StdioOptions = logFolder === undefined
            ? "ignore"
            : ["ignore", "ignore", openSync(join(logFolder, `${settings.name}.log`), "a")];
        const child = spawn(
            process.execPath,
            [...this.nodeOptions, this.bundle, "serve", "--settings", file],
            { cwd: this.folder, env: { ...process.env, NODE_OPTIONS: "" }, stdio },
        );
        this.children.set(settings.name, child);
        child.once("exit", (code, signal) => {
            if (this.children.get(settings.name) === child) {
                this.children.delete(settings.name);
                this.unexpectedExits.push({ name: settings.name, code, signal });
            }
        });
    }
}
