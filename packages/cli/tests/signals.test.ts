import { expect } from "chai";
import { build } from "esbuild";
import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, constants, mkdtempSync, openSync, readFileSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
// @ts-expect-error The build scripts are plain JavaScript without declarations.
import { bundleOptions } from "../../../scripts/bundle-options.mjs";
// @ts-expect-error The build scripts are plain JavaScript without declarations.
import { fleetBundlePlugin } from "../../../scripts/fleet-bundle-plugin.mjs";
import { loopbackNet } from "../../protocol/tests/loopback-net.ts";
import { exchange, firstHost, innerPort, ports, until } from "./fleet-harness.ts";

describe("signals to a process of a fleet that starts", function() {
    this.timeout(60_000);
    const host = `${loopbackNet(process.pid)}.${firstHost.other}`;
    let folder: string;
    let settings: string;
    let child: ChildProcess | undefined;

    before(async () => {
        folder = mkdtempSync(join(tmpdir(), "lentilramp-signals-"));
        settings = join(folder, "settings");
        const entryPoints = { "fleet-bundle": "launcher/fleet-main.ts", lentilramp: "launcher/launch.ts" };
        for (const [name, source] of Object.entries(entryPoints)) {
            await build({
                ...bundleOptions("0.0.0-test"),
                plugins: [fleetBundlePlugin],
                entryPoints: [join("packages/cli/src", source)],
                outfile: join(folder, `${name}.cjs`),
                charset: "ascii",
            });
        }
        writeFileSync(join(folder, "key"), "a key of this test alone");
        writeFileSync(
            settings,
            [
                "node_name=front",
                "serves=front",
                `ip_address=${host}`,
                "zone=a",
                "region=r",
                `listen_addresses.front=${host}:${ports.front}`,
                `listen_addresses.ready=${host}:${ports.ready}`,
                `internal_port_range=${innerPort},${innerPort + 15}`,
                `seeds=${host}:${ports.control}`,
                "cloud.address=127.0.0.1:9",
            ].join("\n"),
        );
    });

    afterEach(async () => {
        if (child !== undefined && !hasEnded(child)) {
            child.kill("SIGKILL");
            await once(child, "exit");
        }
    });

    after(() => rmSync(folder, { recursive: true, force: true }));

    const hasEnded = ({ exitCode, signalCode }: ChildProcess): boolean =>
        (exitCode ?? signalCode ?? undefined) !== undefined;

    /**
     * Starts a process and sends it a signal while it reads `file`: a pipe takes the place of the file until then. The
     * process must not read a file of this name before.
     */
    async function signalWhileReading(program: string, file: string, signal: NodeJS.Signals): Promise<ChildProcess> {
        const kept = `${file}.kept`;
        renameSync(file, kept);
        execFileSync("mkfifo", [file]);
        const started = spawn(process.execPath, [join(folder, program), "fleet", "--key", join(folder, "key")], {
            env: { ...process.env, NODE_OPTIONS: "", LENTILRAMP_BOOT: settings },
            stdio: "ignore",
        });
        child = started;
        const pipes: number[] = [];
        await until(
            `${file} is read`,
            async () => pipes.push(openSync(file, constants.O_WRONLY | constants.O_NONBLOCK)) > 0,
        );
        // A write to the first one would not wait for the reader.
        pipes.push(openSync(file, constants.O_WRONLY));
        started.kill(signal);
        try {
            writeFileSync(pipes[1] ?? -1, readFileSync(kept));
        }
        catch {
            // The signal has ended the process.
        }
        // The process may read the file again.
        renameSync(kept, file);
        pipes.forEach(closeSync);
        return started;
    }

    for (
        const [step, program, file] of [
            ["loads the program", "lentilramp.cjs", "fleet-bundle.cjs"],
            ["reads its settings", "fleet-bundle.cjs", "settings"],
        ] as const
    ) {
        // Guards against a start that a notice of changed settings ends.
        it(`survives SIGHUP while it ${step}`, async () => {
            const started = await signalWhileReading(program, join(folder, file), "SIGHUP");
            await until(
                "the process answers or ends",
                async () => hasEnded(started) || (await exchange(host, ports.ready, "/")).status === 503,
            );
            expect(started.signalCode ?? "none").to.equal("none");
            expect(hasEnded(started)).to.equal(false);
        });
    }
});
