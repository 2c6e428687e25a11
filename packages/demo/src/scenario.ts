import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { ChatResult } from "./chat-caller.ts";
import { Deployment, type NamedEndpoint } from "./deployment.ts";
import { EntryResolver } from "./entry-resolver.ts";
import { GuaranteeTally } from "./guarantees.ts";
import { sendHttpRequest } from "./http-request.ts";
import { VersionMonitor } from "./version-monitor.ts";
import { Workload } from "./workload.ts";

const noticeMs = 5_000;
const drainBoundMs = 3_000;
const inForceBoundMs = 5_000;
const chatCallerCount = 48;
const serviceCallerCount = 8;

export type ProgressReporter = (line: string) => void;

interface TimeWindow {
    from: number;
    until: number;
}

async function delay(ms: number): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, ms));
}

/** Runs one deployment through the failures that the requirements name and counts the guarantees that held. */
export class Scenario {
    readonly guarantees = new GuaranteeTally();
    private readonly deployment: Deployment;
    private readonly versionMonitor: VersionMonitor;
    private readonly workload: Workload;
    private changeCount = 0;
    private reclaimWindow: TimeWindow & { endpoints: ReadonlySet<string>; } = {
        from: 0,
        until: 0,
        endpoints: new Set(),
    };
    private stopWindow: TimeWindow & { host: string; } = { from: 0, until: 0, host: "" };

    constructor(name: string, seed: number, private readonly reportProgress: ProgressReporter) {
        this.deployment = new Deployment(name);
        this.versionMonitor = new VersionMonitor(this.deployment);
        const { questionnaire } = this.deployment;
        const resolvers = questionnaire.entries.map((unused, i) => {
            void unused;
            return new EntryResolver(questionnaire.entries, i);
        });
        this.workload = new Workload(questionnaire, resolvers, seed);
    }

    async run(): Promise<void> {
        try {
            this.reportProgress(`starting ${this.deployment.name} in ${this.deployment.folder}`);
            await this.deployment.start();
            await this.approveInitialConfiguration();
            this.versionMonitor.start();
            this.workload.start(chatCallerCount, serviceCallerCount);
            await delay(2_000);
            await this.changeConfiguration("a promise of the questionnaire is changed", 10);
            await this.reclaimDomain();
            await this.killEntry();
            await this.drainEndpoint();
            await this.raceOperators();
            await this.stopEntry();
            await this.workload.stop();
            await this.versionMonitor.stop();
            await this.checkGuarantees();
        }
        finally {
            await this.deployment.stop();
        }
    }

    /** Starts the deployment with its first configuration and keeps it running until `stopRequested` resolves. */
    async keepRunning(stopRequested: Promise<void>): Promise<void> {
        try {
            this.reportProgress(`starting ${this.deployment.name} in ${this.deployment.folder}`);
            await this.deployment.start();
            await this.approveInitialConfiguration();
            this.reportProgress("running; end it with Ctrl-C");
            await stopRequested;
        }
        finally {
            await this.deployment.stop();
        }
    }

    private async approveInitialConfiguration(): Promise<void> {
        const exitCode = await this.approve("questionnaire.json", "first.json");
        if (exitCode !== 0) {
            throw new Error(`the first configuration was not approved (exit code ${exitCode})`);
        }
        // Waits for the control group, which proposes a claim generation once a configuration exists.
        await delay(1_500);
    }

    private async approve(questionnaireFile: string, proposalFile: string): Promise<number> {
        const generated = await this.deployment.runCommand("generate", questionnaireFile, "--out", proposalFile);
        if (generated.exitCode !== 0) {
            throw new Error(generated.stderr);
        }
        return (await this.deployment.runCommand("approve", proposalFile)).exitCode;
    }

    /** Writes a copy of the questionnaire in which one latency promise is longer by `addedMs`. */
    private writeChangedQuestionnaire(file: string, addedMs: number): void {
        const questionnaire = JSON.parse(
            readFileSync(join(this.deployment.folder, "questionnaire.json"), "utf8"),
        ) as typeof this.deployment.questionnaire;
        const operation =
            questionnaire.teams.flatMap(team => team.services ?? []).flatMap(service => service.operations)[0];
        if (operation !== undefined) {
            operation.promisedMs += addedMs;
        }
        writeFileSync(join(this.deployment.folder, file), JSON.stringify(questionnaire));
    }

    private async changeConfiguration(description: string, addedMs: number): Promise<void> {
        this.reportProgress(`${description} and approved`);
        const name = `change-${++this.changeCount}`;
        this.writeChangedQuestionnaire(`${name}.questionnaire.json`, addedMs);
        const generated = await this.deployment.runCommand(
            "generate",
            `${name}.questionnaire.json`,
            "--out",
            `${name}.json`,
        );
        const approvalStartedAt = Date.now();
        const approved = await this.deployment.runCommand("approve", `${name}.json`);
        const { version } = JSON.parse(approved.stdout || "{}") as { version?: number; };
        const lowestVersions = await this.versionMonitor.lowestVersionByDomain();
        for (const domain of this.deployment.questionnaire.failureDomains) {
            const held = version !== undefined && (lowestVersions.get(domain) ?? 0) >= version
                && Date.now() - approvalStartedAt <= inForceBoundMs;
            this.guarantees.recordCase(
                "configuration",
                held,
                `${domain} is at version ${
                    lowestVersions.get(domain)
                }, expected ${version}; ${generated.stderr}${approved.stderr}`,
            );
        }
    }

    private async reclaimDomain(): Promise<void> {
        const domain = this.deployment.questionnaire.failureDomains[0];
        const reclaimed = this.deployment.engines.filter(engine => engine.failureDomain === domain);
        this.reportProgress(
            `all ${reclaimed.length} engines of ${domain} are reclaimed with ${noticeMs / 1_000} s of notice`,
        );
        this.reclaimWindow = {
            from: Date.now(),
            until: Date.now() + noticeMs,
            endpoints: new Set(reclaimed.map(engine => engine.id)),
        };
        await this.deployment.announceLeaving(this.reclaimWindow.endpoints);
        await delay(noticeMs);
        await Promise.all(reclaimed.map(engine => this.deployment.getProcess(engine.id).stop("SIGKILL")));
        await delay(1_000);
    }

    private async killEntry(): Promise<void> {
        const entry = this.deployment.questionnaire.entries.at(-1);
        this.reportProgress(`entry ${entry?.id} is killed with SIGKILL`);
        await this.deployment.getProcess(entry?.id ?? "").stop("SIGKILL");
        await delay(2_000);
    }

    /** Drains an endpoint and checks that it starts no requests once `drainBoundMs` has passed. */
    private async drainEndpoint(): Promise<void> {
        const target = this.deployment.engines.at(-1) as NamedEndpoint;
        this.reportProgress(`endpoint ${target.id} is drained`);
        const drained = await this.deployment.runCommand("drain", target.id);
        await delay(drainBoundMs);
        const startedBefore = await this.startedRequestCount(target);
        for (let i = 0; i < 4; i++) {
            await delay(500);
            const startedNow = await this.startedRequestCount(target);
            this.guarantees.recordCase(
                "drain",
                drained.exitCode === 0 && startedNow === startedBefore,
                `${target.id} started ${startedNow - startedBefore} requests; ${drained.stderr}`,
            );
        }
    }

    private async startedRequestCount(engine: NamedEndpoint): Promise<number> {
        const res = await sendHttpRequest({ ...engine, path: "/v1/counters" });
        return (JSON.parse(res.body) as { started: number; }).started;
    }

    /**
     * Approves two different changes of one base version at once, of which exactly one must be accepted. Then approves
     * the accepted change again, which must return the same version.
     */
    private async raceOperators(): Promise<void> {
        this.reportProgress(
            "two operators approve different changes of one base version at once; the accepted one is resent",
        );
        const names = ["race-a", "race-b"];
        for (const [i, name] of names.entries()) {
            this.writeChangedQuestionnaire(`${name}.questionnaire.json`, 100 * (i + 1));
            await this.deployment.runCommand("generate", `${name}.questionnaire.json`, "--out", `${name}.json`);
        }
        const results = await Promise.all(names.map(name => this.deployment.runCommand("approve", `${name}.json`)));
        const successes = results.filter(result => result.exitCode === 0);
        this.guarantees.recordCase(
            "configuration",
            successes.length === 1,
            `${successes.length} of two concurrent approvals were accepted, expected 1`,
        );
        const winnerIndex = results.findIndex(result => result.exitCode === 0);
        const resent = await this.deployment.runCommand("approve", `${names[winnerIndex]}.json`);
        const firstResult = JSON.parse(results[winnerIndex]?.stdout || "{}") as { version?: number; };
        const resentResult = JSON.parse(resent.stdout || "{}") as { version?: number; };
        this.guarantees.recordCase(
            "configuration",
            firstResult.version === resentResult.version,
            `the resent approval returned version ${resentResult.version}, expected ${firstResult.version}`,
        );
    }

    /** Stops an entry with SIGTERM while it relays streams. */
    private async stopEntry(): Promise<void> {
        const entry = this.deployment.questionnaire.entries[1];
        this.reportProgress(`entry ${entry?.id} is stopped with SIGTERM`);
        this.stopWindow = { from: Date.now(), until: 0, host: entry?.host ?? "" };
        await this.deployment.getProcess(entry?.id ?? "").stop("SIGTERM");
        this.stopWindow.until = Date.now();
    }

    private async checkGuarantees(): Promise<void> {
        const { chats } = this.workload;
        for (const chat of chats) {
            this.guarantees.recordCase("completeAnswer", chat.isComplete, chat.problem ?? "");
            if (this.usedReclaimedEndpoint(chat)) {
                this.guarantees.recordCase("reclaim", chat.isComplete, chat.problem ?? "");
            }
            if (this.wasServedByStoppedEntry(chat)) {
                this.guarantees.recordCase(
                    "plannedStop",
                    chat.isComplete && chat.resumeCount === 0,
                    `resumed ${chat.resumeCount} times; ${chat.problem ?? ""}`,
                );
            }
        }
        for (const revert of this.versionMonitor.reverts) {
            this.guarantees.recordCase("configuration", false, revert);
        }
        await this.checkCalls();
    }

    /** Whether a reclaimed endpoint served the request and the request was in progress during the reclaim notice. */
    private usedReclaimedEndpoint(chat: ChatResult): boolean {
        const overlapsReclaim = chat.startedAt < this.reclaimWindow.until && chat.endedAt > this.reclaimWindow.from;
        return overlapsReclaim && chat.wasAccepted
            && chat.endpoints.some(endpoint => this.reclaimWindow.endpoints.has(endpoint));
    }

    /** Whether the stream was in progress at the stopped entry when the stop began. */
    private wasServedByStoppedEntry(chat: ChatResult): boolean {
        const wasInProgress = chat.startedAt < this.stopWindow.from && chat.endedAt > this.stopWindow.from;
        return wasInProgress && chat.wasAccepted
            && chat.entries.at(-1 - chat.resumeCount)?.host === this.stopWindow.host;
    }

    private async checkCalls(): Promise<void> {
        const executionCounts = new Map<string, number>();
        for (const service of this.deployment.serviceReplicas) {
            const res = await sendHttpRequest({ ...service, path: "/admin/executions" });
            const { keys } = JSON.parse(res.body) as { keys: Record<string, number>; };
            for (const [key, count] of Object.entries(keys)) {
                executionCounts.set(key, (executionCounts.get(key) ?? 0) + count);
            }
        }
        for (const call of this.workload.calls) {
            const executions = executionCounts.get(call.key) ?? 0;
            const hasSameBody = new Set(call.executionBodies).size <= 1;
            const isExecutedIfReported = call.executionBodies.length === 0 || executions === 1;
            const runStates = call.runStates.join(",");
            this.guarantees.recordCase(
                "atMostOnce",
                executions <= 1 && hasSameBody && isExecutedIfReported,
                `${executions} executions after ${runStates}`,
            );
            if (call.reportedNotRun) {
                this.guarantees.recordCase("notRun", executions === 0, `${executions} executions after ${runStates}`);
            }
        }
    }
}
