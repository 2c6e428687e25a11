import { ProcessKey, RpcClient } from "@lentilramp/protocol";
import { SystemClock } from "@lentilramp/runtime";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { z } from "zod";

const binary = resolve("dist/lentilramp");
const keyText = "bench-key-0123456789";
const callMs = 5_000;
const retryMs = 100;
const byteValues = 256;

/** Use of resources by a process since its start. */
export interface ProcessUsage {
    cpuMicroseconds: number;
    residentBytes: number;
    bytesRead: number;
    bytesWritten: number;
}

interface Dump {
    process: { residentBytes: number; cpuMicroseconds: { user: number; system: number; }; };
    http: { bytesRead: number; bytesWritten: number; };
}

/** One control process and one entry process of the built binary, on a loopback address of this bench process. */
export class MeasuredDeployment {
    readonly clock = new SystemClock();
    readonly key = new ProcessKey(keyText);
    readonly host = `127.128.${Math.floor(process.pid / byteValues) % byteValues}.${process.pid % byteValues || 1}`;
    readonly control = { name: "control-1", host: this.host, port: 8_090, failureDomain: "a" };
    readonly entry = { id: "entry-1", host: this.host, port: 8_080, failureDomain: "a" };
    private readonly folder = mkdtempSync(join(tmpdir(), "lentilramp-bench-"));
    private readonly client = new RpcClient(this.key, this.clock);
    private readonly children: ChildProcess[] = [];
    private changes = 0;

    /**
     * Starts both processes; `membership` says whether the entry takes part in failure detection, `engineConcurrency`
     * how many requests it admits at the start.
     */
    start(membership: boolean, engineConcurrency = 512): void {
        if (!existsSync(binary)) {
            throw new Error("dist/lentilramp is missing; run npm run build");
        }
        const { host, control, entry } = this;
        const common = { region: "r", failureDomain: "a", keyFile: "key", logLevel: "warn" };
        writeFileSync(join(this.folder, "key"), keyText);
        this.spawn("control", {
            role: "control",
            name: control.name,
            ...common,
            listen: { host, port: control.port },
            members: [control],
            dataFolder: "data",
        });
        this.spawn("entry", {
            role: "entry",
            name: entry.id,
            ...common,
            listen: { host, port: entry.port },
            control: [control],
            membership,
            engineConcurrency,
        });
    }

    /** Proposes a configuration on the newest version; repeats until it is accepted. */
    async configure(configuration: object): Promise<void> {
        const current = z.object({
            configuration: z.looseObject({ version: z.int(), claimGenerations: z.array(z.unknown()) }),
        });
        const operationId = `bench-${this.changes++}`;
        await this.repeat(async () => {
            const { version, claimGenerations } =
                (await this.call(this.control, "configuration.get", {}, current)).configuration;
            const params = {
                operationId: `${operationId}-${version}`,
                baseVersion: version,
                configuration: { ...configuration, claimGenerations },
            };
            return (await this.call(this.control, "configuration.propose", params, z.looseObject({ ok: z.boolean() })))
                .ok;
        });
    }

    /** Waits until the entry may send new work. */
    async untilPermit(): Promise<void> {
        await this.repeat(async () =>
            (await this.call(this.entry, "status", {}, z.looseObject({ permitMs: z.number() }))).permitMs > 0
        );
    }

    async usage(address: { host: string; port: number; }): Promise<ProcessUsage> {
        const res = await fetch(`http://${address.host}:${address.port}/dump`, {
            headers: { authorization: this.key.authorization() },
        });
        const { process: used, http } = await res.json() as Dump;
        return {
            cpuMicroseconds: used.cpuMicroseconds.user + used.cpuMicroseconds.system,
            residentBytes: used.residentBytes,
            bytesRead: http.bytesRead,
            bytesWritten: http.bytesWritten,
        };
    }

    async stop(): Promise<void> {
        await Promise.all(this.children.map(async child => {
            child.kill("SIGKILL");
            await once(child, "exit");
        }));
        await this.client.close();
        rmSync(this.folder, { recursive: true, force: true });
    }

    private async call<R extends z.ZodType>(
        peer: { host: string; port: number; },
        method: string,
        params: unknown,
        result: R,
    ): Promise<z.infer<R>> {
        return await this.client.call(peer, method, params, result, this.clock.now() + callMs);
    }

    private async repeat(run: () => Promise<boolean>): Promise<void> {
        while (!await run().catch(() => false)) {
            await this.clock.sleepUntil(this.clock.now() + retryMs);
        }
    }

    private spawn(name: string, settings: object): void {
        writeFileSync(join(this.folder, `${name}.json`), JSON.stringify(settings));
        this.children.push(
            spawn(binary, ["serve", "--settings", `${name}.json`], {
                cwd: this.folder,
                stdio: ["ignore", "ignore", "inherit"],
            }),
        );
    }
}

/** Configuration of one failure domain with engines at the given addresses. */
export function benchConfiguration(
    engines: readonly { host: string; port: number; }[],
    entries: readonly { id: string; host: string; port: number; failureDomain: string; }[] = [],
): object {
    return {
        region: "r",
        costWeight: 0.5,
        failureDomains: [{ id: "a", region: "r" }],
        models: [{ name: "desk-model" }],
        workspaces: [{ id: "bench", share: 1, weights: { high: 4, normal: 2, low: 1 } }],
        entries,
        endpoints: engines.map(({ host, port }, i) => ({
            id: `engine-${i + 1}`,
            kind: "engine",
            host,
            port,
            failureDomain: "a",
            models: ["desk-model"],
            machineClass: "m",
        })),
    };
}
