import { type Configuration, configurationSchema } from "@lentilramp/configuration";
import { ProcessKey, RpcClient, RpcError, rpcErrorCodes } from "@lentilramp/protocol";
import { SystemClock } from "@lentilramp/runtime";
import { clientSettingsSchema, type ControlSettings, type EntrySettings } from "@lentilramp/settings";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { z } from "zod";
import type { ProcessBase } from "../src/wire.ts";
import { wireProcess } from "../src/wire.ts";

const callMs = 1_000;
const pollMs = 20;
const key = "test-key-0123456789";
const domains = ["a", "b", "c"];
const byteValues = 256;

/** Loopback address that no other test process uses at the same time. */
export const host = `127.${64 + (Math.floor(process.pid / byteValues ** 2) % 64)}.${
    Math.floor(process.pid / byteValues) % byteValues
}.${process.pid % byteValues}`;
let nextPort = 20_000;

interface Result {
    ok: boolean;
    version: number;
    error?: string;
}

const resultSchema = z.looseObject({ ok: z.boolean(), version: z.number(), error: z.string().optional() });
const statusSchema = z.record(z.string(), z.unknown());

/** Control group of three with entries, all in this process, over real sockets and files. */
export class TestGroup {
    readonly folder = mkdtempSync(join(tmpdir(), "lentilramp-group-"));
    readonly running = new Map<string, ProcessBase>();
    protected readonly clock = new SystemClock();
    /** Platform's list that entries started afterwards poll. */
    instanceListUrl: string | undefined;
    private readonly client = new RpcClient(new ProcessKey(key), this.clock);
    readonly members = domains.map((failureDomain, i) => ({
        name: `control-${i + 1}`,
        host,
        port: nextPort++,
        failureDomain,
    }));
    readonly entries = domains.map((failureDomain, i) => ({
        id: `entry-${i + 1}`,
        host,
        port: nextPort++,
        failureDomain,
    }));

    constructor() {
        writeFileSync(join(this.folder, "key"), key);
    }

    async startControl(i: number): Promise<void> {
        const member = this.members[i] as (typeof this.members)[number];
        const settings: ControlSettings = {
            ...this.common(member.name, member),
            role: "control",
            members: this.members,
            dataFolder: join(this.folder, member.name),
        };
        await this.start(settings);
    }

    async startEntry(i: number): Promise<void> {
        const entry = this.entries[i] as (typeof this.entries)[number];
        const settings: EntrySettings = {
            ...this.common(entry.id, entry),
            role: "entry",
            control: this.members,
            membership: true,
            instanceListUrl: this.instanceListUrl,
            engineConcurrency: 512,
            bodyLimitBytes: 65_536,
        };
        await this.start(settings);
    }

    async stop(name: string): Promise<void> {
        const base = this.running.get(name);
        this.running.delete(name);
        await base?.lifecycle.stop();
    }

    /** Removes the data folder of a stopped control process. */
    loseDisk(i: number): void {
        rmSync(join(this.folder, this.members[i]?.name ?? ""), { recursive: true });
    }

    async close(): Promise<void> {
        await Promise.all([...this.running.keys()].map(name => this.stop(name)));
        await this.client.close();
        rmSync(this.folder, { recursive: true, force: true });
    }

    configuration(costWeight: number, more: Partial<Configuration> = {}): Configuration {
        return configurationSchema.parse({
            region: "r",
            costWeight,
            failureDomains: domains.map(id => ({ id, region: "r" })),
            entries: this.entries,
            ...more,
        });
    }

    /** Proposes at the leader, wherever it is. */
    async propose(operationId: string, baseVersion: number, configuration: Configuration): Promise<Result> {
        return await this.callLeader(
            "configuration.propose",
            { operationId, baseVersion, configuration },
            resultSchema,
        );
    }

    async current(): Promise<Configuration> {
        const answer = await this.callLeader("configuration.get", {}, z.object({ configuration: configurationSchema }));
        return answer.configuration;
    }

    /** Ports of the entries that a lookup at the named entry returns. */
    async lookUp(name: string): Promise<number[]> {
        const answer = await fetch(`http://${host}:${this.portOf(name)}/v1/addresses`);
        const { addresses = [] } = await answer.json() as { addresses?: { port: number; }[]; };
        return addresses.map(address => address.port);
    }

    portOf(entry: string): number {
        return this.entries.find(other => other.id === entry)?.port ?? 0;
    }

    async status(name: string): Promise<Record<string, unknown>> {
        return await this.call(name, "status", {}, statusSchema);
    }

    /** Calls one process once. */
    async call<R extends z.ZodType>(name: string, method: string, params: unknown, result: R): Promise<z.infer<R>> {
        const address = [...this.members, ...this.entries.map(entry => ({ ...entry, name: entry.id }))].find(peer =>
            peer.name === name
        );
        if (address === undefined) {
            throw new Error(`no process ${name}`);
        }
        return await this.client.call(address, method, params, result, this.clock.now() + callMs);
    }

    /** Name of the control process that leads, as seen by a process other than `except`. */
    async leader(except?: string): Promise<string> {
        for (;;) {
            for (const { name } of this.members.filter(member => member.name !== except)) {
                const status = await this.status(name).catch(() => undefined);
                if (status?.role === "leader") {
                    return name;
                }
            }
            await this.clock.sleepUntil(this.clock.now() + pollMs);
        }
    }

    /** Waits until `condition` holds; the test's own time limit ends it. */
    async until(condition: () => Promise<boolean> | boolean): Promise<void> {
        while (!await condition()) {
            await this.clock.sleepUntil(this.clock.now() + pollMs);
        }
    }

    /** Calls the leader; repeats until one answers. */
    async callLeader<R extends z.ZodType>(method: string, params: unknown, result: R): Promise<z.infer<R>> {
        for (let i = 0;; i++) {
            try {
                const peer = this.members[i % this.members.length] as (typeof this.members)[number];
                return await this.client.call(peer, method, params, result, this.clock.now() + callMs);
            }
            catch (err) {
                if (err instanceof RpcError && err.code === rpcErrorCodes.invalidRequest) {
                    throw err;
                }
                await this.clock.sleepUntil(this.clock.now() + pollMs);
            }
        }
    }

    private common(name: string, { port, failureDomain }: { port: number; failureDomain: string; }) {
        return {
            name,
            region: "r",
            failureDomain,
            listen: { host, port },
            keyFile: join(this.folder, "key"),
            clients: clientSettingsSchema.parse({}),
            logLevel: (process.env.TEST_LOG ?? "error") as "error",
            drainMs: 5_000,
        };
    }

    protected async start(settings: ControlSettings | EntrySettings): Promise<void> {
        const base = wireProcess(settings);
        this.running.set(settings.name, base);
        await base.lifecycle.start();
    }
}
