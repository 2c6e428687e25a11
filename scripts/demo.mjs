/** Installs dependencies if none are installed, builds the executable and runs the demo with the given arguments. */
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";

function run(command, args) {
    const result = spawnSync(command, args, { stdio: ["ignore", "inherit", "inherit"] });
    if (result.status !== 0) {
        process.exit(result.status ?? 1);
    }
}

function runQuietly(command, args) {
    const result = spawnSync(command, args, { stdio: ["ignore", "ignore", "inherit"] });
    if (result.status !== 0) {
        process.exit(result.status ?? 1);
    }
}

if (!existsSync("node_modules/.package-lock.json")) {
    runQuietly("npm", ["ci"]);
}
runQuietly(process.execPath, ["scripts/build.mjs"]);
run("npx", ["--no-install", "tsx", "packages/demo/src/main.ts", ...process.argv.slice(2)]);
