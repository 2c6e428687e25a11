/** Builds the program that the platform runs with `node`: bundle, code cache and launcher, all under target/. */
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
// V8 takes a code cache only under the flags under which it was made; deploy/system.toml has the same.
execFileSync(process.execPath, ["--max-old-space-size=160", "target/write-code-cache.cjs"], { stdio: "inherit" });
