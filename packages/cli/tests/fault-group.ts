import { type Configuration, configurationSchema } from "@lentilramp/configuration";
import type { ControlSettings, EntrySettings } from "@lentilramp/settings";
import type { Address, ModelEngine, PlainService } from "@lentilramp/stand-ins";
import { request } from "node:http";
import type { Server } from "node:net";
import { z } from "zod";
import { wireProcess } from "../src/wire.ts";
import { FaultNetwork } from "./fault-network.ts";
import { host, TestGroup } from "./test-group.ts";

const commandResult = z.looseObject({ ok: z.boolean(), version: z.number(), error: z.string().optional() });

export interface CallerAnswer {
    status: number;
    body: string;
    /** True when the answer arrived whole. */
    complete: boolean;
}

/** Chat request that every engine answers with the same tokens. */
export function chatJob(maxTokens: number, text = "Draft a quote for a crew of nine.") {
    return {
        model: "desk-model",
        messages: [{ role: "user", content: text }],
        max_tokens: maxTokens,
        stream: true,
    };
}

/** Text of all tokens of a streamed answer. */
export function textOf(events: string): string {
    return [...events.matchAll(/^data: (\{.*\})$/gm)]
        .map(match =>
            (JSON.parse(match[1] ?? "{}") as { choices?: { delta: { content: string; }; }[]; }).choices?.[0]?.delta
                .content ?? ""
        )
        .join("");
}

export function errorOf(answer: CallerAnswer): { type: string; run: string; } {
    return (JSON.parse(answer.body) as { error: { type: string; run: string; }; }).error;
}

export async function applyFault(standIn: Address | undefined, fault: object): Promise<void> {
    if (standIn === undefined) {
        throw new Error("the stand-in has not started");
    }
    const res = await fetch(`http://${standIn.host}:${standIn.port}/admin/faults`, {
        method: "POST",
        body: JSON.stringify(fault),
    });
    await res.text();
}

/** Group whose processes reach each other, and are reached by the test, through a network that can fail. */
export class FaultGroup extends TestGroup {
    readonly network = new FaultNetwork();
    private readonly proxies = new Map<string, Server>();
    private sourceCount = 0;

    override async close(): Promise<void> {
        this.network.heal();
        await super.close();
        await this.network.close();
    }

    async startAll(entries: readonly number[] = [0, 1, 2]): Promise<void> {
        await Promise.all([0, 1, 2].map(i => this.startControl(i)));
        await Promise.all(entries.map(i => this.startEntry(i)));
    }

    /** Configuration with the given engines and services as endpoints. */
    withEndpoints(engines: readonly Address[], services: readonly Address[] = []): Configuration {
        const endpoint = (kind: "engine" | "service", address: Address, i: number) => ({
            id: `${kind}-${i + 1}`,
            kind,
            host: address.host,
            port: address.port,
            failureDomain: "a",
            machineClass: "m",
            ...(kind === "engine" ? { models: ["desk-model"] } : { services: ["hire-app"] }),
        });
        return configurationSchema.parse({
            ...this.configuration(0.5),
            endpoints: [
                ...engines.map((address, i) => endpoint("engine", address, i)),
                ...services.map((address, i) => endpoint("service", address, i)),
            ],
            models: [{ name: "desk-model" }],
            services: [{
                name: "hire-app",
                operations: [{ name: "reserve", idempotent: false, latencyPromiseMs: 900 }],
            }],
            workspaces: [{ id: "hire-desk", share: 1, weights: { high: 4, normal: 2, low: 1 } }],
        });
    }

    /** Proposes the first configuration and waits until the named entries serve under it. */
    async found(configuration: Configuration, entries: readonly string[]): Promise<void> {
        await this.propose("first", 0, configuration);
        await this.until(async () => (await this.current()).claimGenerations.length === 1);
        const { version } = await this.current();
        for (const entry of entries) {
            await this.until(async () => {
                const status = await this.status(entry);
                return Number(status.version) >= version && Number(status.permitMs) > 0;
            });
        }
    }

    /** Commits a change of the newest configuration and returns its version. */
    async change(operationId: string, costWeight: number): Promise<number> {
        const current = await this.current();
        const result = await this.propose(operationId, current.version, { ...current, costWeight });
        return result.ok ? result.version : await this.change(`${operationId}-again`, costWeight);
    }

    async command(method: string, params: object): Promise<z.infer<typeof commandResult>> {
        return await this.callLeader(method, params, commandResult);
    }

    /** Sends a request to an entry and reads the whole answer. */
    send(
        entry: string,
        path: string,
        body: unknown,
        headers: Readonly<Record<string, string>> = {},
        onPart: (part: string) => void = () => undefined,
    ): Promise<CallerAnswer> {
        return new Promise((resolve, reject) => {
            const options = { host, port: this.portOf(entry), path, method: "POST", agent: false };
            const req = request({ ...options, headers: { "x-workspace": "hire-desk", ...headers } }, res => {
                let text = "";
                res.setEncoding("utf8");
                res.on("data", (part: string) => {
                    text += part;
                    onPart(part);
                });
                res.on("error", () => undefined);
                res.on("close", () => resolve({ status: res.statusCode ?? 0, body: text, complete: res.complete }));
            });
            req.on("error", reject);
            req.end(JSON.stringify(body));
        });
    }

    /** Starts a stream and resolves with its answer to come, once the first tokens have arrived. */
    async openStream(entry: string, job: object): Promise<{ answer: Promise<CallerAnswer>; }> {
        return await new Promise((resolve, reject) => {
            const answer = this.send(entry, "/v1/chat/completions", job, {}, () => resolve({ answer }));
            answer.catch(reject);
        });
    }

    /** The process listens on a port of its own, and its connections come from an address of its own. */
    protected override async start(settings: ControlSettings | EntrySettings): Promise<void> {
        const base = wireProcess(settings);
        const source = `127.${128 + (process.pid % 64)}.${Math.floor(process.pid / 64) % 256}.${++this.sourceCount}`;
        this.network.addSource(source, settings.name);
        const { agent } = base.client as unknown as { agent: { options: { localAddress?: string; }; }; };
        agent.options.localAddress = source;
        (base.http as unknown as { options: { port: number; }; }).options.port = this.hiddenPort(settings.listen.port);
        if (!this.proxies.has(settings.name)) {
            const { host: address, port } = settings.listen;
            const targetPort = this.hiddenPort(port);
            const proxy = { name: settings.name, host: address, port, targetPort };
            this.proxies.set(settings.name, await this.network.addProxy(proxy));
        }
        this.running.set(settings.name, base);
        await base.lifecycle.start();
    }

    private hiddenPort(port: number): number {
        return port + 20_000;
    }
}

/** Stand-ins of one test with their addresses. */
export class StandIns<T extends ModelEngine | PlainService> {
    addresses: Address[] = [];

    constructor(readonly all: readonly T[]) {}

    async start(): Promise<this> {
        this.addresses = await Promise.all(this.all.map(standIn => standIn.start()));
        return this;
    }

    async close(): Promise<void> {
        await Promise.all(this.all.map(standIn => standIn.close()));
    }
}
