import { build } from "esbuild";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
// @ts-expect-error The build scripts are plain JavaScript without declarations.
import { bundleOptions } from "../../../scripts/bundle-options.mjs";
// @ts-expect-error The build scripts are plain JavaScript without declarations.
import { fleetBundlePlugin } from "../../../scripts/fleet-bundle-plugin.mjs";
import { loopbackNet } from "../../protocol/tests/loopback-net.ts";

/** Folder to which the processes of a fleet write their logs; without it they are discarded. */
const logFolder = process.env.FLEET_LOGS;
export const innerPort = 7_600;
export const ports = { front: 8_001, ready: 8_002, control: 8_003, directory: 8_004 } as const;

/** Last byte of the address of the first process of a kind. */
export const firstHost = { steward: 1, ingress: 101, other: 201 } as const;

export interface Answer {
    status: number;
    headers: Record<string, string | string[] | undefined>;
    body: string;
}

/** One HTTP exchange; rejects when the connection fails. */
export async function exchange(
    host: string,
    port: number,
    path: string,
    options: { method?: string; headers?: Record<string, string>; body?: string; } = {},
): Promise<Answer> {
    return await new Promise((resolve, reject) => {
        const req = request({ host, port, path, agent: false, timeout: 4_000, ...options }, res => {
            let body = "";
            res.setEncoding("utf8").on("data", (part: string) => body += part);
            res.on("end", () => resolve({ status: res.statusCode ?? 0, headers: res.headers, body }));
            res.on("error", reject);
        });
        req.on("timeout", () => req.destroy(new Error("no answer")));
        req.on("error", reject);
        req.end(options.body);
    });
}

/** Waits until `check` holds; a check that throws does not hold. */
export async function until(what: string, check: () => Promise<boolean>): Promise<void> {
    const deadline = Date.now() + 30_000;
    while (!await check().catch(() => false)) {
        if (Date.now() > deadline) {
            throw new Error(`did not happen: ${what}`);
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
}

/** The platform's list and duties, and the endpoints on it, in the platform's format. */
export class PlatformStandIn {
    /** False while the platform's API breaks off every call. */
    answering = true;
    readonly orders: { path: string; holder: string; fence: number; body: Record<string, unknown>; }[] = [];
    readonly runs: { id: string; tenant: string; }[] = [];
    private readonly cloud: Server = createServer((req, res) => {
        let body = "";
        req.on("data", (part: Buffer) => body += part.toString());
        req.on("end", () => {
            if (!this.answering) {
                req.socket.destroy();
                return;
            }
            res.setHeader("content-type", "application/json");
            if (req.method === "GET") {
                const entries = this.entriesFor(req.socket.remoteAddress ?? "");
                res.end(JSON.stringify({ instances: [...entries, { id: 7, state: "later" }] }));
                return;
            }
            this.orders.push({
                path: req.url ?? "",
                holder: String(req.headers["x-duty-holder"]),
                fence: Number(req.headers["x-fencing-token"]),
                body: JSON.parse(body) as Record<string, unknown>,
            });
            res.end("{}");
        });
    });
    private readonly endpoints: { service: string; server: Server; }[];

    /**
     * `listed` gives the entries of the list for the address of a reader; without it the stand-in has two endpoints of its
     * own.
     */
    constructor(private readonly listed?: (reader: string) => unknown[]) {
        const own = listed === undefined ? ["app", "model"] : [];
        this.endpoints = own.map(service => ({ service, server: this.endpoint(service) }));
    }

    private entriesFor(reader: string): unknown[] {
        return this.listed !== undefined ? this.listed(reader) : this.endpoints.map(({ service, server }) => ({
            id: `i-${service}`,
            service,
            address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
            zone: "a",
            slots: 8,
            state: "ready",
        }));
    }

    async start(): Promise<string> {
        for (const server of [this.cloud, ...this.endpoints.map(endpoint => endpoint.server)]) {
            server.listen(0, "127.0.0.1");
            await once(server, "listening");
        }
        return `127.0.0.1:${(this.cloud.address() as AddressInfo).port}`;
    }

    close(): void {
        for (const server of [this.cloud, ...this.endpoints.map(endpoint => endpoint.server)]) {
            server.close();
            server.closeAllConnections();
        }
    }

    private endpoint(service: string): Server {
        return createServer((req, res) => {
            req.resume();
            req.on("end", () => {
                const id = String(req.headers["x-attempt-id"]);
                this.runs.push({ id, tenant: String(req.headers["x-tenant"]) });
                res.writeHead(200, { "x-attempt-id": id, "x-response-seal": "s" });
                res.end(service === "model" ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" : "done");
            });
        });
    }
}

/** Limits that a test sets for the processes of its fleet. */
export interface ProcessLimits {
    /** Further lines of the settings file. */
    settings: readonly string[];
    /** Further options of Node.js. */
    nodeOptions: readonly string[];
}

/** Processes of a fleet on loopback addresses of this test alone. */
export class FleetProcesses {
    /** Hosts of the stewards that belong to the fleet. */
    stewards: readonly string[];
    readonly ingresses: readonly string[];
    /** Programs by host, of those that do not run the present build. */
    readonly programs = new Map<string, string>();
    private readonly folder = mkdtempSync(join(tmpdir(), "lentilramp-fleet-"));
    private readonly running = new Map<string, ChildProcess>();
    private readonly ending = new Set<string>();
    private started = false;
    private addedStewards: number;
    private readonly net = loopbackNet(process.pid);
    /** Processes that ended without being told to. */
    readonly unexpectedExits: { host: string; code: number | null; signal: NodeJS.Signals | null; }[] = [];

    constructor(
        private readonly cloudAddress: string,
        stewards: number,
        ingresses: number,
        private readonly limits: ProcessLimits = { settings: [], nodeOptions: [] },
    ) {
        this.stewards = Array.from({ length: stewards }, (...[, i]) => `${this.net}.${firstHost.steward + i}`);
        this.addedStewards = stewards;
        this.ingresses = Array.from({ length: ingresses }, (...[, i]) => `${this.net}.${firstHost.ingress + i}`);
    }

    async start(): Promise<void> {
        await build({
            ...bundleOptions("0.0.0-test"),
            plugins: [fleetBundlePlugin],
            entryPoints: ["packages/cli/src/launcher/fleet-main.ts"],
            outfile: join(this.folder, "lentilramp.cjs"),
        });
        writeFileSync(join(this.folder, "key"), "a key of this test alone");
        [...this.stewards, ...this.ingresses].forEach(host => this.run(host));
        this.started = true;
    }

    /** File with the process key. */
    get keyFile(): string {
        return join(this.folder, "key");
    }

    /** Data folder of a steward. */
    dataFolder(host: string): string {
        return join(this.folder, `data-${host}`);
    }

    /** Starts a steward with an empty disk at an address that no steward has had, and returns its host. */
    addSteward(): string {
        const host = `${this.net}.${firstHost.steward + this.addedStewards++}`;
        this.stewards = [...this.stewards, host];
        this.run(host);
        return host;
    }

    /** Lets a steward whose process has ended leave the fleet for good. */
    removeSteward(host: string): void {
        this.stewards = this.stewards.filter(other => other !== host);
    }

    /** Removes the disk of a steward whose process has ended. */
    loseDisk(host: string): void {
        rmSync(this.dataFolder(host), { recursive: true, force: true });
    }

    /** Starts the process of a host, as the platform does after it has ended. */
    run(host: string): void {
        const steward = this.stewards.includes(host);
        const data = this.dataFolder(host);
        mkdirSync(data, { recursive: true });
        const settings = join(this.folder, `settings-${host}`);
        writeFileSync(
            settings,
            [
                `node_name=${steward ? "core" : "front"}-${host}`,
                `serves=${steward ? "control,directory" : "front"}`,
                `ip_address=${host}`,
                "zone=a",
                "region=r",
                "zones.a=r",
                ...steward
                    ? [
                        `listen_addresses.control=${host}:${ports.control}`,
                        `listen_addresses.directory=${host}:${ports.directory}`,
                    ]
                    : [
                        `listen_addresses.front=${host}:${ports.front}`,
                        `listen_addresses.ready=${host}:${ports.ready}`,
                    ],
                `internal_port_range=${innerPort},${innerPort + 15}`,
                `seeds=${this.stewards.slice(0, 3).map(seed => `${seed}:${ports.control}`).join(",")}`,
                `bootstrap=${!this.started}`,
                ...steward ? [`data_directory=${data}`] : [],
                "fault_tolerance.machines=1",
                "bounds.grace_s=8",
                "bounds.usage_window_s=2",
                `cloud.address=${this.cloudAddress}`,
                "cloud.duties=usage_reporting,autoscaling",
                ...this.limits.settings,
            ].join("\n"),
        );
        const child = spawn(
            process.execPath,
            [
                ...this.limits.nodeOptions,
                this.programs.get(host) ?? join(this.folder, "lentilramp.cjs"),
                "fleet",
                "--key",
                join(this.folder, "key"),
            ],
            {
                env: { ...process.env, NODE_OPTIONS: "", LENTILRAMP_BOOT: settings },
                stdio: logFolder === undefined
                    ? "ignore"
                    : ["ignore", openSync(join(logFolder, `${host}.log`), "a"), "ignore"],
            },
        );
        this.running.set(host, child);
        child.once("exit", (code, signal) => {
            if (this.runs(host) && this.running.get(host) === child) {
                this.running.delete(host);
                this.unexpectedExits.push({ host, code, signal });
            }
        });
    }

    /** Whether a process runs at a host that was not told to end. */
    runs(host: string): boolean {
        return this.running.has(host) && !this.ending.has(host);
    }

    /** Process id of the process that runs at a host; undefined once it has ended. */
    pid(host: string): number | undefined {
        return this.running.get(host)?.pid;
    }

    /** Sends a signal that does not end the process. */
    signal(host: string, signal: "SIGSTOP" | "SIGCONT" | "SIGHUP"): void {
        this.running.get(host)?.kill(signal);
    }

    /** Sends a signal to the process of a host and resolves when it has ended. */
    async end(host: string, signal: NodeJS.Signals): Promise<number | null> {
        const child = this.running.get(host);
        if (child === undefined) {
            throw new Error(`no process runs at ${host}`);
        }
        this.ending.add(host);
        const exited = once(child, "exit");
        child.kill(signal);
        const [code] = await exited as [number | null];
        // A process that is paused ends only when it is resumed, so that it has to be known until then.
        this.running.delete(host);
        this.ending.delete(host);
        return code;
    }

    async close(): Promise<void> {
        await Promise.all([...this.running.keys()].map(host => this.end(host, "SIGKILL")));
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/**
 * Starts a fleet and waits until all ingresses are ready with a configuration in the platform's format. If they do not
 * become ready, the processes are ended, since the caller does not get the fleet that it could close.
 */
export async function startConfiguredFleet(
    cloudAddress: string,
    { stewards, ingresses, configuration, limits, beforeConfiguration = async () => undefined }: {
        stewards: number;
        ingresses: number;
        configuration: string;
        limits?: ProcessLimits;
        /** Awaited before the configuration is sent. */
        beforeConfiguration?: () => Promise<void>;
    },
): Promise<FleetProcesses> {
    const fleet = new FleetProcesses(cloudAddress, stewards, ingresses, limits);
    try {
        await fleet.start();
        await beforeConfiguration();
        await until("the configuration was taken", async () => {
            const path = "/lentilramp/configuration";
            const options = { method: "PUT", body: configuration };
            return (await exchange(fleet.stewards[0] ?? "", ports.control, path, options)).status === 200;
        });
        await until("all ingresses are ready", async () => {
            const answers = await Promise.all(
                fleet.ingresses.map(host => exchange(host, ports.ready, "/lentilramp/readiness")),
            );
            return answers.every(({ status }) => status === 200);
        });
        return fleet;
    }
    catch (err) {
        await fleet.close();
        throw err;
    }
}
