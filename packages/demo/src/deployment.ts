import { type Questionnaire, questionnaireSchema } from "@lentilramp/questionnaire";
import { execFile } from "node:child_process";
import { randomBytes } from "node:crypto";
import { cpSync, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import type { Address } from "./address-book.ts";
import { DemoProcess } from "./child-process.ts";
import { httpCall } from "./http-call.ts";

const binary = resolve("dist/lentilramp");
const standIns = resolve("dist/stand-ins.cjs");
const platformPort = 8_000;
/** Speed and lag of the demo's engines; the brief gives no figures for them. */
const engineOptions = { stepMs: 25, loadReportLagMs: 500, cacheEventLagMs: 300, cacheEventDropRate: 0.1 };
const serviceOptions = { latencyMs: 20 };

export interface NamedEndpoint extends Address {
    id: string;
    failureDomain: string;
}

interface CommandResult {
    status: number;
    output: string;
    errors: string;
}

/** The processes of one deployment on loopback, with stand-ins for everything around them. */
export class Deployment {
    readonly folder: string;
    readonly answers: Questionnaire;
    private readonly processes = new Map<string, DemoProcess>();

    constructor(readonly name: string) {
        const source = resolve("deployments", name);
        this.folder = mkdtempSync(join(tmpdir(), `lentilramp-${name}-`));
        cpSync(source, this.folder, { recursive: true });
        writeFileSync(join(this.folder, "process.key"), randomBytes(24).toString("hex"), { mode: 0o600 });
        this.answers = questionnaireSchema.parse(JSON.parse(readFileSync(join(source, "questionnaire.json"), "utf8")));
    }

    get engines(): NamedEndpoint[] {
        return this.answers.teams.flatMap(team => team.models).flatMap(model => model.replicas);
    }

    get services(): NamedEndpoint[] {
        return this.answers.teams.flatMap(team => team.services).flatMap(service => service.replicas);
    }

    /** Network prefix of the deployment's loopback addresses. */
    private get network(): string {
        return (this.answers.entries[0]?.host ?? "127.0.0.1").split(".").slice(0, 3).join(".");
    }

    get instanceList(): Address {
        return { host: `${this.network}.201`, port: platformPort };
    }

    async start(): Promise<void> {
        await Promise.all([
            ...this.answers.teams.flatMap(team => team.models).flatMap(model =>
                model.replicas.map(engine =>
                    this.startStandIn(engine.id, "engine", { ...engine, ...engineOptions, models: [model.name] })
                )
            ),
            ...this.services.map(service =>
                this.startStandIn(service.id, "service", { ...service, ...serviceOptions })
            ),
            this.startStandIn("instance-list", "instance-list", {
                ...this.instanceList,
                lagMs: 500,
                instances: this.instances(new Set()),
            }),
            this.startStandIn("cloud", "cloud", { host: `${this.network}.202`, port: platformPort }),
            this.startStandIn("weight-store", "weight-store", { host: `${this.network}.203`, port: platformPort }),
        ]);
        await Promise.all(
            [...this.answers.control, ...this.answers.entries].map(process => this.startProcess(process.id)),
        );
    }

    async startProcess(id: string): Promise<void> {
        const command = [binary, "serve", "--settings", join("settings", `${id}.json`)];
        this.processes.set(
            id,
            await DemoProcess.start(id, command, this.folder, line => line.includes("event=process.ready")),
        );
    }

    process(id: string): DemoProcess {
        const found = this.processes.get(id);
        if (found === undefined) {
            throw new Error(`no process ${id}`);
        }
        return found;
    }

    /** Runs an operator's command. */
    command(...args: string[]): Promise<CommandResult> {
        const common = ["--deployment", this.folder, "--key", join(this.folder, "process.key"), "--json"];
        return new Promise(resolve => {
            execFile(binary, [...args, ...common], { cwd: this.folder }, (err, output, errors) => {
                resolve({ status: typeof err?.code === "number" ? err.code : 0, output, errors });
            });
        });
    }

    /** Tells the platform's list which instances leave. */
    async announceLeaving(ids: ReadonlySet<string>): Promise<void> {
        await httpCall({
            ...this.instanceList,
            method: "PUT",
            path: "/admin/instances",
            body: JSON.stringify({ instances: this.instances(ids) }),
        });
    }

    async stop(): Promise<void> {
        await Promise.all([...this.processes.values()].map(process => process.stop("SIGKILL")));
    }

    private instances(leaving: ReadonlySet<string>): object[] {
        return [...this.engines, ...this.services].map(({ id, host, port, failureDomain }) => ({
            id,
            host,
            port,
            failureDomain,
            state: leaving.has(id) ? "leaving" : "live",
        }));
    }

    private async startStandIn(id: string, kind: string, options: object): Promise<void> {
        const command = [process.execPath, standIns, kind, JSON.stringify(options)];
        this.processes.set(
            id,
            await DemoProcess.start(id, command, this.folder, line => line.includes('"ready":true')),
        );
    }
}
