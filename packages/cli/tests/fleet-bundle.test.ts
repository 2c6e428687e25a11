import { expect } from "chai";
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
// @ts-expect-error The build scripts are plain JavaScript without declarations.
import { bundleOptions } from "../../../scripts/bundle-options.mjs";
// @ts-expect-error The build scripts are plain JavaScript without declarations.
import { fleetBundlePlugin } from "../../../scripts/fleet-bundle-plugin.mjs";
import { exitCodes } from "../src/exit-codes.ts";

describe("bundles of the build", function() {
    this.timeout(60_000);
    let folder: string;

    before(async () => {
        folder = mkdtempSync(join(tmpdir(), "fleet-bundle-"));
        const programs = {
            "command-bundle": "main.ts",
            "fleet-bundle": "launcher/fleet-main.ts",
            lentilramp: "launcher/launch.ts",
        };
        for (const [name, file] of Object.entries(programs)) {
            await build({
                ...bundleOptions("0.0.0-test"),
                plugins: name === "fleet-bundle" ? [fleetBundlePlugin] : [],
                entryPoints: [`packages/cli/src/${file}`],
                outfile: join(folder, `${name}.cjs`),
            });
        }
    });

    after(() => rmSync(folder, { recursive: true, force: true }));

    const run = (program: string, args: readonly string[], nodeOptions: readonly string[] = []) => {
        const env = { ...process.env, NODE_OPTIONS: "", LENTILRAMP_BOOT: undefined };
        const ended = spawnSync(process.execPath, [...nodeOptions, join(folder, program), ...args], {
            env,
            encoding: "utf8",
        });
        return { status: ended.status, stdout: ended.stdout, stderr: ended.stderr };
    };

    // A wrong choice of the launcher would leave operators without a command, or processes without theirs.
    it("run every command from the launcher", () => {
        const { status, stdout } = run("lentilramp.cjs", ["--help"]);
        expect(status).to.equal(0);
        for (const command of ["serve", "fleet", "check", "status", "trace"]) {
            expect(stdout).to.match(new RegExp(`^ {2}${command} `, "m"));
        }
        expect(run("lentilramp.cjs", ["nothing"]).status).to.equal(exitCodes.usage);
    });

    for (const args of [["fleet"], ["fleet", "--unknown"], ["fleet", "--help"]]) {
        it(`answer ${args.join(" ")} alike`, () => {
            const ofFleet = run("lentilramp.cjs", args);
            expect(ofFleet).to.deep.equal(run("command-bundle.cjs", args));
            expect(ofFleet.status).to.equal(args.includes("--help") ? 0 : exitCodes.usage);
        });
    }

    // Each of these takes milliseconds of processor time of every process after a loss of power.
    it("load no modules of Node.js that no process of a fleet needs", () => {
        const hook = join(folder, "hook.cjs");
        writeFileSync(
            hook,
            'process.on("exit", () => require("node:fs").writeSync(1, JSON.stringify(process.moduleLoadList)));',
        );
        const loaded = JSON.parse(run("lentilramp.cjs", ["fleet"], ["--require", hook]).stdout) as string[];
        expect(loaded).to.include("NativeModule http");
        for (const name of ["tls", "https", "cluster", "dgram", "assert", "child_process"]) {
            expect(loaded).not.to.include(`NativeModule ${name}`);
        }
    });
});
