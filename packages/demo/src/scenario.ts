import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { AddressBook } from "./address-book.ts";
import type { ChatResult } from "./chat-caller.ts";
import { Deployment, type NamedEndpoint } from "./deployment.ts";
import { httpCall } from "./http-call.ts";
import { PromiseLedger } from "./promises.ts";
import { VersionWatch } from "./version-watch.ts";
import { Workload } from "./workload.ts";

const noticeMs = 5_000;
const drainBoundMs = 3_000;
const inForceBoundMs = 5_000;
const chatters = 48;
const bookers = 8;

export type Progress = (line: string) => void;

interface Window {
    from: number;
    until: number;
}

async function pause(ms: number): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, ms));
}

/** Runs one deployment through the failures of the brief and counts what held. */
export class Scenario {
    readonly ledger = new PromiseLedger();
    private readonly deployment: Deployment;
    private readonly watch: VersionWatch;
    private readonly workload: Workload;
    private changes = 0;
    private reclaim: Window & { endpoints: ReadonlySet<string>; } = { from: 0, until: 0, endpoints: new Set() };
    private stop: Window & { host: string; } = { from: 0, until: 0, host: "" };

    constructor(name: string, seed: number, private readonly progress: Progress) {
        this.deployment = new Deployment(name);
        this.watch = new VersionWatch(this.deployment);
        const { answers } = this.deployment;
        const books = answers.entries.map((unused, i) => {
            void unused;
            return new AddressBook(answers.entries, i);
        });
        this.workload = new Workload(answers, books, seed);
    }

    async run(): Promise<void> {
        try {
            this.progress(`starting ${this.deployment.name} in ${this.deployment.folder}`);
            await this.deployment.start();
            await this.approveFirst();
            this.watch.start();
            this.workload.start(chatters, bookers);
            await pause(2_000);
            await this.changeConfiguration("a promise of the questionnaire is changed", 10);
            await this.reclaimDomain();
            await this.killEntry();
            await this.drainEndpoint();
            await this.raceOperators();
            await this.stopEntry();
            await this.workload.stop();
            await this.watch.stop();
            await this.judge();
        }
        finally {
            await this.deployment.stop();
        }
    }

    /** Starts the deployment with its first configuration and leaves it running until `stopped` resolves. */
    async keepRunning(stopped: Promise<void>): Promise<void> {
        try {
            this.progress(`starting ${this.deployment.name} in ${this.deployment.folder}`);
            await this.deployment.start();
            await this.approveFirst();
            this.progress("running; end it with Ctrl-C");
            await stopped;
        }
        finally {
            await this.deployment.stop();
        }
    }

    private async approveFirst(): Promise<void> {
        const status = await this.approve("questionnaire.json", "first.json");
        if (status !== 0) {
            throw new Error(`the first configuration was not approved (exit code ${status})`);
        }
        // The claim generation is proposed by the control group itself once a configuration exists.
        await pause(1_500);
    }

    private async approve(questionnaire: string, proposal: string): Promise<number> {
        const generated = await this.deployment.command("generate", questionnaire, "--out", proposal);
        if (generated.status !== 0) {
            throw new Error(generated.errors);
        }
        return (await this.deployment.command("approve", proposal)).status;
    }

    /** Writes a questionnaire whose only change is one latency promise. */
    private writeChanged(file: string, addMs: number): void {
        const answers = JSON.parse(
            readFileSync(join(this.deployment.folder, "questionnaire.json"), "utf8"),
        ) as typeof this.deployment.answers;
        const operation = answers.teams.flatMap(team => team.services ?? []).flatMap(service => service.operations)[0];
        if (operation !== undefined) {
            operation.promisedMs += addMs;
        }
        writeFileSync(join(this.deployment.folder, file), JSON.stringify(answers));
    }

    private async changeConfiguration(what: string, addMs: number): Promise<void> {
        this.progress(`${what} and approved`);
        const name = `change-${++this.changes}`;
        this.writeChanged(`${name}.questionnaire.json`, addMs);
        const generated = await this.deployment.command(
            "generate",
            `${name}.questionnaire.json`,
            "--out",
            `${name}.json`,
        );
        const from = Date.now();
        const approved = await this.deployment.command("approve", `${name}.json`);
        const { version } = JSON.parse(approved.output || "{}") as { version?: number; };
        const byDomain = await this.watch.versionsByDomain();
        for (const domain of this.deployment.answers.failureDomains) {
            const held = version !== undefined && (byDomain.get(domain) ?? 0) >= version
                && Date.now() - from <= inForceBoundMs;
            this.ledger.record(
                "configuration",
                held,
                `${domain} holds ${byDomain.get(domain)} of ${version}; ${generated.errors}${approved.errors}`,
            );
        }
    }

    private async reclaimDomain(): Promise<void> {
        const domain = this.deployment.answers.failureDomains[0];
        const reclaimed = this.deployment.engines.filter(engine => engine.failureDomain === domain);
        this.progress(
            `all ${reclaimed.length} engines of ${domain} are reclaimed with ${noticeMs / 1_000} s of notice`,
        );
        this.reclaim = {
            from: Date.now(),
            until: Date.now() + noticeMs,
            endpoints: new Set(reclaimed.map(engine => engine.id)),
        };
        await this.deployment.announceLeaving(this.reclaim.endpoints);
        await pause(noticeMs);
        await Promise.all(reclaimed.map(engine => this.deployment.process(engine.id).stop("SIGKILL")));
        await pause(1_000);
    }

    private async killEntry(): Promise<void> {
        const victim = this.deployment.answers.entries.at(-1);
        this.progress(`entry ${victim?.id} is killed`);
        await this.deployment.process(victim?.id ?? "").stop("SIGKILL");
        await pause(2_000);
    }

    /** Drains an endpoint and counts the requests that it starts after the bound. */
    private async drainEndpoint(): Promise<void> {
        const target = this.deployment.engines.at(-1) as NamedEndpoint;
        this.progress(`endpoint ${target.id} is drained`);
        const drained = await this.deployment.command("drain", target.id);
        await pause(drainBoundMs);
        const before = await this.startedAt(target);
        for (let i = 0; i < 4; i++) {
            await pause(500);
            const now = await this.startedAt(target);
            this.ledger.record(
                "leaving",
                drained.status === 0 && now === before,
                `${target.id} started ${now - before} requests; ${drained.errors}`,
            );
        }
    }

    private async startedAt(engine: NamedEndpoint): Promise<number> {
        const answer = await httpCall({ ...engine, path: "/v1/counters" });
        return (JSON.parse(answer.body) as { started: number; }).started;
    }

    /** Two operators approve different changes of one base at once; one must win. The winner resends. */
    private async raceOperators(): Promise<void> {
        this.progress("two operators race each other on one base version, and the winner resends");
        const names = ["race-a", "race-b"];
        for (const [i, name] of names.entries()) {
            this.writeChanged(`${name}.questionnaire.json`, 100 * (i + 1));
            await this.deployment.command("generate", `${name}.questionnaire.json`, "--out", `${name}.json`);
        }
        const results = await Promise.all(names.map(name => this.deployment.command("approve", `${name}.json`)));
        const won = results.filter(result => result.status === 0);
        this.ledger.record("configuration", won.length === 1, `${won.length} of two racing approvals won`);
        const winner = results.findIndex(result => result.status === 0);
        const again = await this.deployment.command("approve", `${names[winner]}.json`);
        const first = JSON.parse(results[winner]?.output || "{}") as { version?: number; };
        const second = JSON.parse(again.output || "{}") as { version?: number; };
        this.ledger.record(
            "configuration",
            first.version === second.version,
            `a resend got version ${second.version}, not ${first.version}`,
        );
    }

    /** Stops an entry with SIGTERM while it relays streams. */
    private async stopEntry(): Promise<void> {
        const entry = this.deployment.answers.entries[1];
        this.progress(`entry ${entry?.id} is stopped as planned`);
        this.stop = { from: Date.now(), until: 0, host: entry?.host ?? "" };
        await this.deployment.process(entry?.id ?? "").stop("SIGTERM");
        this.stop.until = Date.now();
    }

    private async judge(): Promise<void> {
        const { chats } = this.workload;
        for (const chat of chats) {
            this.ledger.record("whole", chat.whole, chat.problem ?? "");
            if (this.wasReclaimed(chat)) {
                this.ledger.record("reclaim", chat.whole, chat.problem ?? "");
            }
            if (this.wasAtStoppedEntry(chat)) {
                this.ledger.record(
                    "graceful",
                    chat.whole && chat.resumes === 0,
                    `resumed ${chat.resumes} times; ${chat.problem ?? ""}`,
                );
            }
        }
        for (const revert of this.watch.reverts) {
            this.ledger.record("configuration", false, revert);
        }
        await this.judgeCalls();
    }

    private wasReclaimed(chat: ChatResult): boolean {
        const during = chat.startedAt < this.reclaim.until && chat.endedAt > this.reclaim.from;
        return during && chat.accepted && chat.endpoints.some(endpoint => this.reclaim.endpoints.has(endpoint));
    }

    /** True when the stream was in progress at the stopped entry when the stop began. */
    private wasAtStoppedEntry(chat: ChatResult): boolean {
        const inProgress = chat.startedAt < this.stop.from && chat.endedAt > this.stop.from;
        return inProgress && chat.accepted && chat.entries.at(-1 - chat.resumes)?.host === this.stop.host;
    }

    private async judgeCalls(): Promise<void> {
        const counts = new Map<string, number>();
        for (const service of this.deployment.services) {
            const answer = await httpCall({ ...service, path: "/admin/executions" });
            const { keys } = JSON.parse(answer.body) as { keys: Record<string, number>; };
            for (const [key, count] of Object.entries(keys)) {
                counts.set(key, (counts.get(key) ?? 0) + count);
            }
        }
        for (const call of this.workload.calls) {
            const executions = counts.get(call.key) ?? 0;
            const sameAnswer = new Set(call.outcomes).size <= 1;
            const answeredTruly = call.outcomes.length === 0 || executions === 1;
            const said = call.answers.join(",");
            this.ledger.record(
                "once",
                executions <= 1 && sameAnswer && answeredTruly,
                `${executions} executions after ${said}`,
            );
            if (call.saidNotRun) {
                this.ledger.record("notRun", executions === 0, `${executions} executions after ${said}`);
            }
        }
    }
}
