/** Builds the bundles, code cache and launcher under target/; the platform runs the launcher with `node`. */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { bundleOptions } from "./bundle-options.mjs";
import { fleetBundlePlugin } from "./fleet-bundle-plugin.mjs";

const { version } = JSON.parse(readFileSync("package.json", "utf8"));
const options = { ...bundleOptions(version), minifySyntax: true, charset: "ascii" };
const launcher = "packages/cli/src/launcher";
await build({ ...options, entryPoints: ["packages/cli/src/main.ts"], outfile: "target/command-bundle.cjs" });
await build({
    ...options,
    plugins: [fleetBundlePlugin],
    entryPoints: [`${launcher}/fleet-main.ts`],
    outfile: "target/fleet-bundle.cjs",
});
await build({ ...options, entryPoints: [`${launcher}/launch.ts`], outfile: "target/lentilramp.cjs" });
await build({ ...options, entryPoints: [`${launcher}/bundle-script.ts`], outfile: "target/bundle-script.cjs" });
// V8 rejects a code cache that was created under other flags, so these match the run commands in deploy/system.toml. The
// lines that the processes log are not of interest.
execFileSync(process.execPath, ["--max-old-space-size=160", "scripts/write-code-cache.mjs", "target"], {
    stdio: ["ignore", "ignore", "inherit"],
});
