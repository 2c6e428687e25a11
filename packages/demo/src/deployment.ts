import { type Questionnaire, questionnaireSchema } from "@lentilramp/questionnaire";
import { execFile } from "node:child_process";
import { randomBytes } from "node:crypto";
import { cpSync, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { DemoProcess } from "./demo-process.ts";
import type { Address } from "./entry-resolver.ts";
import { sendHttpRequest } from "./http-request.ts";

const binaryPath = resolve("dist/lentilramp");
const standInsPath = resolve("dist/stand-ins.cjs");
const platformPort = 8_000;
/** Speed and reporting lag of the demo's engines, for which the requirements give no figures. */
const engineOptions = { stepMs: 25, loadReportLagMs: 500, cacheEventLagMs: 300, cacheEventDropRate: 0.1 };
const serviceOptions = { latencyMs: 20 };

export interface NamedEndpoint extends Address {
    id: string;
    failureDomain: string;
}

interface CommandResult {
    exitCode: number;
    stdout: string;
    stderr: string;
}

/** The processes of one deployment on loopback addresses, with stand-ins for the engines, services and platform. */
export class Deployment {
    readonly folder: string;
    readonly questionnaire: Questionnaire;
    private readonly processes = new Map<string, DemoProcess>();

    constructor(readonly name: string) {
        const source = resolve("deployments", name);
        this.folder = mkdtempSync(join(tmpdir(), `lentilramp-${name}-`));
        cpSync(source, this.folder, { recursive: true });
        writeFileSync(join(this.folder, "process.key"), randomBytes(24).toString("hex"), { mode: 0o600 });
        this.questionnaire = questionnaireSchema.parse(
            JSON.parse(readFileSync(join(source, "questionnaire.json"), "utf8")),
        );
    }

    get engines(): NamedEndpoint[] {
        return this.questionnaire.teams.flatMap(team => team.models).flatMap(model => model.replicas);
    }

    get serviceReplicas(): NamedEndpoint[] {
        return this.questionnaire.teams.flatMap(team => team.services).flatMap(service => service.replicas);
    }

    /** The first three octets of the deployment's loopback addresses. */
    private get networkPrefix(): string {
        return (this.questionnaire.entries[0]?.host ?? "127.0.0.1").split(".").slice(0, 3).join(".");
    }

    get instanceListAddress(): Address {
        return { host: `${this.networkPrefix}.201`, port: platformPort };
    }

    async start(): Promise<void> {
        await Promise.all([
            ...this.questionnaire.teams.flatMap(team => team.models).flatMap(model =>
                model.replicas.map(engine =>
                    this.startStandIn(engine.id, "engine", { ...engine, ...engineOptions, models: [model.name] })
                )
            ),
            ...this.serviceReplicas.map(service =>
                this.startStandIn(service.id, "service", { ...service, ...serviceOptions })
            ),
            this.startStandIn("instance-list", "instance-list", {
                ...this.instanceListAddress,
                lagMs: 500,
                instances: this.listedInstances(new Set()),
            }),
            this.startStandIn("cloud", "cloud", { host: `${this.networkPrefix}.202`, port: platformPort }),
            this.startStandIn("weight-store", "weight-store", {
                host: `${this.networkPrefix}.203`,
                port: platformPort,
            }),
        ]);
        await Promise.all(
            [...this.questionnaire.control, ...this.questionnaire.entries].map(member => this.startProcess(member.id)),
        );
    }

    async startProcess(id: string): Promise<void> {
        const command = [binaryPath, "serve", "--settings", join("settings", `${id}.json`)];
        this.processes.set(
            id,
            await DemoProcess.start(id, command, this.folder, line => line.includes("event=process.ready")),
        );
    }

    getProcess(id: string): DemoProcess {
        const demoProcess = this.processes.get(id);
        if (demoProcess === undefined) {
            throw new Error(`the deployment has no process ${id}`);
        }
        return demoProcess;
    }

    /** Runs an operator command of the executable in the deployment's folder; a failed command doesn't reject. */
    runCommand(...args: string[]): Promise<CommandResult> {
        const commonArgs = ["--deployment", this.folder, "--key", join(this.folder, "process.key"), "--json"];
        return new Promise(resolve => {
            execFile(binaryPath, [...args, ...commonArgs], { cwd: this.folder }, (err, stdout, stderr) => {
                resolve({ exitCode: typeof err?.code === "number" ? err.code : 0, stdout, stderr });
            });
        });
    }

    /** Marks the given instances as leaving, and all others as live, in the platform's instance list. */
    async announceLeaving(ids: ReadonlySet<string>): Promise<void> {
        await sendHttpRequest({
            ...this.instanceListAddress,
            method: "PUT",
            path: "/admin/instances",
            body: JSON.stringify({ instances: this.listedInstances(ids) }),
        });
    }

    async stop(): Promise<void> {
        await Promise.all([...this.processes.values()].map(process => process.stop("SIGKILL")));
    }

    private listedInstances(leavingIds: ReadonlySet<string>): object[] {
        return [...this.engines, ...this.serviceReplicas].map(({ id, host, port, failureDomain }) => ({
            id,
            host,
            port,
            failureDomain,
            state: leavingIds.has(id) ? "leaving" : "live",
        }));
    }

    private async startStandIn(id: string, kind: string, options: object): Promise<void> {
        const command = [process.execPath, standInsPath, kind, JSON.stringify(options)];
        this.processes.set(
            id,
            await DemoProcess.start(id, command, this.folder, line => line.includes('"ready":true')),
        );
    }
}
