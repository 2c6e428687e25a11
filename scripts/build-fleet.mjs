/** Builds the bundle, code cache and launcher under target/; the platform runs the launcher with `node`. */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { bundleOptions } from "./bundle-options.mjs";

const { version } = JSON.parse(readFileSync("package.json", "utf8"));
const options = { ...bundleOptions(version), minifySyntax: true, charset: "ascii" };
await build({ ...options, entryPoints: ["packages/cli/src/main.ts"], outfile: "target/fleet-bundle.cjs" });
await build({ ...options, entryPoints: ["packages/cli/src/launcher/launch.ts"], outfile: "target/lentilramp.cjs" });
await build({
    ...options,
    entryPoints: ["packages/cli/src/launcher/write-code-cache.ts"],
    outfile: "target/write-code-cache.cjs",
});
// V8 rejects a code cache that was created under other flags, so these match the run commands in deploy/system.toml.
execFileSync(process.execPath, ["--max-old-space-size=160", "target/write-code-cache.cjs"], { stdio: "inherit" });
