/** Builds target/lentilramp.cjs, the bundle that the platform runs with `node`. */
import { build } from "esbuild";
import { readFileSync } from "node:fs";
import { bundleOptions } from "./bundle-options.mjs";

const { version } = JSON.parse(readFileSync("package.json", "utf8"));
await build({
    ...bundleOptions(version),
    entryPoints: ["packages/cli/src/main.ts"],
    outfile: "target/lentilramp.cjs",
    minifySyntax: true,
});
