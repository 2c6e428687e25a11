/**
 * Builds the single executable dist/lentilramp and the bundle dist/stand-ins.cjs.
 * For the executable, esbuild bundles the command line into one CommonJS file, which Node's single executable
 * application support embeds into a copy of the node binary.
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { bundleOptions } from "./bundle-options.mjs";

const { version } = JSON.parse(readFileSync("package.json", "utf8"));
const options = bundleOptions(version);

mkdirSync("dist", { recursive: true });
await build({ ...options, entryPoints: ["packages/cli/src/main.ts"], outfile: "dist/lentilramp.cjs" });
await build({ ...options, entryPoints: ["packages/stand-ins/src/main.ts"], outfile: "dist/stand-ins.cjs" });
writeFileSync(
    "dist/sea-config.json",
    JSON.stringify({ main: "dist/lentilramp.cjs", output: "dist/sea.blob", disableExperimentalSEAWarning: true }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea-config.json"], { stdio: "pipe" });
copyFileSync(process.execPath, "dist/lentilramp");
chmodSync("dist/lentilramp", 0o755);
// Runs postject as a process with piped output, which hides its harmless warnings about section names.
execFileSync(
    "npx",
    [
        "--no-install",
        "postject",
        "dist/lentilramp",
        "NODE_SEA_BLOB",
        "dist/sea.blob",
        "--sentinel-fuse",
        "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2",
    ],
    { stdio: "pipe" },
);
console.log("built dist/lentilramp and dist/stand-ins.cjs");
