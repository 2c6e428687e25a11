import { expect } from "chai";
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, rmSync, statSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
// @ts-expect-error The build scripts are plain JavaScript without declarations.
import { bundleOptions } from "../../../scripts/bundle-options.mjs";
// @ts-expect-error The build scripts are plain JavaScript without declarations.
import { fleetBundlePlugin } from "../../../scripts/fleet-bundle-plugin.mjs";
import { exitCodes } from "../src/exit-codes.ts";

const flag = "--max-old-space-size=160";

describe("code cache of the build", function() {
    this.timeout(60_000);
    let folder: string;

    beforeEach(async () => {
        folder = mkdtempSync(join(tmpdir(), "code-cache-"));
        for (const name of ["bundle-script", "launch"]) {
            await build({
                ...bundleOptions("0.0.0-test"),
                entryPoints: [`packages/cli/src/launcher/${name}.ts`],
                outfile: join(folder, `${name}.cjs`),
            });
        }
    });

    afterEach(() => rmSync(folder, { recursive: true, force: true }));

    const node = (...args: string[]) => {
        const env = { ...process.env, NODE_OPTIONS: "", LENTILRAMP_BOOT: undefined };
        return spawnSync(process.execPath, [flag, ...args], { env, encoding: "utf8" });
    };
    const cacheFile = (): string => join(folder, "fleet-bundle.cache");

    /** Whether V8 takes the cache when the launcher starts, and the exit code of that process. */
    const launch = (): { rejected: boolean | undefined; status: number | null; } => {
        const hook = join(folder, "hook.cjs");
        writeFileSync(
            hook,
            'const vm = require("node:vm"); const { Script } = vm; vm.Script = class extends Script { constructor(...all) {'
                + " super(...all); process.on('exit', () => require('node:fs').writeSync(1, String(this.cachedDataRejected)));"
                + " } };",
        );
        const { stdout, status } = node("--require", hook, join(folder, "launch.cjs"), "fleet");
        return { rejected: stdout === "undefined" ? undefined : stdout !== "false", status };
    };

    // A cache that V8 rejects, or that ends the build, would cost every process a part of its start, or the start.
    it("holds what a fleet compiles that serves, and is taken by the processes", async () => {
        await build({
            ...bundleOptions("0.0.0-test"),
            plugins: [fleetBundlePlugin],
            charset: "ascii",
            entryPoints: ["packages/cli/src/launcher/fleet-main.ts"],
            outfile: join(folder, "fleet-bundle.cjs"),
        });
        expect(launch()).to.deep.equal({ rejected: undefined, status: exitCodes.usage });
        expect(node("scripts/write-code-cache.mjs", folder, "1").status).to.equal(0);
        const loadedOnly = statSync(cacheFile()).size;
        expect(node("scripts/write-code-cache.mjs", folder).status).to.equal(0);
        expect(statSync(cacheFile()).size).to.be.above(1.2 * loadedOnly);
        expect(launch()).to.deep.equal({ rejected: false, status: exitCodes.usage });
    });

    // The build must succeed on a machine on which no fleet can run, for instance because an address is in use.
    it("is written although no fleet runs", () => {
        writeFileSync(join(folder, "fleet-bundle.cjs"), 'process.on("SIGHUP", () => undefined); process.exitCode = 7;');
        expect(node("scripts/write-code-cache.mjs", folder, "500").status).to.equal(0);
        expect(existsSync(cacheFile())).to.equal(true);
        expect(launch()).to.deep.equal({ rejected: false, status: 7 });
    });
});
