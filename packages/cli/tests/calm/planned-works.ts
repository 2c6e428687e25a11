import type { SeededRandom } from "@lentilramp/runtime";
import { setTimeout as sleep } from "node:timers/promises";
import { exchange, type FleetProcesses, ports, until } from "../fleet-harness.ts";
import type { CalmCatalog, Version } from "./calm-catalog.ts";
import type { Life } from "./configuration.ts";
import { bounds, type PlannedWork } from "./losses.ts";
import type { Profile } from "./profiles.ts";

const restartMs = 300;
const settleMs = 1_000;
const resendMs = 200;
/** Time within which several ingresses are stopped, in milliseconds. */
const togetherMs = 900;
/** Mean gap between two reads of the configuration, in milliseconds. */
const readGapMs = 250;
/** Shares of the changes behind which an invalid one is sent, and the newest confirmed one once more. */
const invalidShare = 0.15;
const repeatedShare = 0.2;
const path = "/lentilramp/configuration";

/** The planned work of a run: changes, reads, reloads and stops. Records when each was done. */
export class PlannedWorks {
    readonly works: PlannedWork[] = [];
    readonly lives: Life[] = [];
    readonly coreEvents: number[] = [];
    /** Sentences of the rule on configurations that the answers to operators break. */
    readonly broken: string[] = [];

    constructor(
        private readonly fleet: FleetProcesses,
        private readonly catalog: CalmCatalog,
        private readonly profile: Profile,
        private readonly randomOf: (part: number) => SeededRandom,
        private readonly end: AbortSignal,
    ) {}

    /** Sends the first version to processes that have just been started, and waits until all serve with it. */
    async begin(): Promise<void> {
        const startedAt = Date.now();
        this.fleet.ingresses.forEach((...[, ingress]) => this.lives.push({ ingress, startedAt, stoppedAt: undefined }));
        this.coreEvents.push(startedAt);
        await this.send(this.catalog.next());
        await until("all ingresses are ready", async () => {
            const ready = await Promise.all(this.fleet.ingresses.map(host => this.isReady(host)));
            return ready.every(Boolean);
        });
    }

    /** Does everything that is planned until the end of the run. */
    start(): Promise<void>[] {
        return [
            this.change(),
            this.read(),
            this.reload(),
            ...this.profile.stopsTogether ? [this.stopTogether()] : [this.stopInTurn(0), this.stopInTurn(1)],
            this.stopStewards(),
        ];
    }

    /** Expects the newest confirmed version from each steward that answers. */
    async readBack(): Promise<void> {
        const confirmed = this.catalog.versions.findLast(({ confirmedAt }) => confirmedAt !== undefined);
        await sleep(Math.max(0, (confirmed?.confirmedAt ?? 0) + bounds.applyMs + 1 - Date.now()));
        const answered = await Promise.all(this.fleet.stewards.map(host => this.readFrom(host)));
        if (!answered.some(Boolean)) {
            this.broken.push("no steward answered a read of the configuration");
        }
    }

    /** Waits, but not beyond the end of the run. */
    private async pause(ms: number): Promise<void> {
        await sleep(ms, undefined, { signal: this.end }).catch(() => undefined);
    }

    /** Sends a text to one steward after the other until one accepts or refuses it; returns the status. */
    private async submit(what: string, body: string): Promise<number> {
        const hosts = this.fleet.stewards;
        let status = 0;
        await until(what, async () => {
            const host = hosts[Math.floor(Date.now() / resendMs) % hosts.length] ?? "";
            ({ status } = await exchange(host, ports.control, path, {
                method: "PUT",
                body,
                headers: { "content-type": "application/json" },
            }));
            return status === 200 || status >= 400 && status < 500 && status !== 429;
        });
        return status;
    }

    /** Sends a version until it is confirmed. */
    private async send(version: Version): Promise<void> {
        const { number, what, body } = version;
        const work: PlannedWork = { kind: "change", ingress: undefined, from: Date.now(), what: `v${number}:${what}` };
        this.works.push(work);
        version.sentAt = work.from;
        const status = await this.submit(`version ${number} is confirmed`, body);
        if (status !== 200) {
            this.broken.push(`a valid change was refused: v${number} ${what} ${status}`);
            return;
        }
        work.confirmedAt = Date.now();
        version.confirmedAt = work.confirmedAt;
    }

    private async change(): Promise<void> {
        const random = this.randomOf(2);
        while (!this.end.aborted) {
            await this.pause(random.next() * 2 * this.profile.gaps.change);
            try {
                await this.send(this.catalog.next());
                if (random.next() < invalidShare) {
                    const status = await this.submit("an invalid change is refused", this.catalog.invalid());
                    if (status === 200) {
                        this.broken.push(
                            `an invalid change was confirmed after v${this.catalog.versions.at(-1)?.number}`,
                        );
                    }
                }
                const newest = this.catalog.versions.findLast(({ confirmedAt }) => confirmedAt !== undefined);
                if (newest !== undefined && random.next() < repeatedShare) {
                    const status = await this.submit(`version ${newest.number} is confirmed again`, newest.body);
                    if (status !== 200) {
                        this.broken.push(`a confirmed change was refused when sent again: v${newest.number} ${status}`);
                    }
                }
            }
            catch (err) {
                this.broken.push(String(err));
            }
        }
    }

    private async read(): Promise<void> {
        const random = this.randomOf(7);
        const { stewards } = this.fleet;
        while (!this.end.aborted) {
            await this.pause(random.next() * 2 * readGapMs);
            await this.readFrom(stewards[random.nextInt(stewards.length)] ?? "");
        }
    }

    /** Reads the configuration at a steward; returns whether it answered with one. */
    private async readFrom(host: string): Promise<boolean> {
        const sentAt = Date.now();
        const answer = await exchange(host, ports.control, path).catch(() => undefined);
        if (answer?.status !== 200) {
            return false;
        }
        const { version } = JSON.parse(answer.body) as { version: number; };
        const { versions } = this.catalog;
        const due = versions.findLast(({ confirmedAt }) =>
            confirmedAt !== undefined && confirmedAt + bounds.applyMs < sentAt
        );
        const known = versions.find(({ number }) => number === version);
        if (version < (due?.number ?? 0)) {
            this.broken.push(`read an older configuration: v${version} at ${host}, v${due?.number} was confirmed`);
        }
        if (known?.body !== answer.body) {
            this.broken.push(`read what was not sent under its number: v${version} at ${host}`);
        }
        return true;
    }

    private async reload(): Promise<void> {
        const random = this.randomOf(3);
        const { fleet } = this;
        while (!this.end.aborted) {
            await this.pause(random.next() * 2 * this.profile.gaps.reload);
            const ingress = random.nextInt(fleet.ingresses.length);
            const host = fleet.ingresses[ingress] ?? "";
            // SIGHUP ends a process that is still starting, which is no planned work.
            if (fleet.runs(host) && await this.isReady(host)) {
                this.works.push({ kind: "reload", ingress, from: Date.now(), what: "reload" });
                fleet.signal(host, "SIGHUP");
            }
        }
    }

    /** Stops every second ingress in turn, so that the stops of two ingresses may overlap, and starts it again. */
    private async stopInTurn(first: number): Promise<void> {
        const random = this.randomOf(40 + first);
        const count = this.fleet.ingresses.length;
        for (let ingress = first; !this.end.aborted; ingress = ingress + 2 < count ? ingress + 2 : first) {
            await this.pause(random.next() * 2 * this.profile.gaps.stop);
            if (!this.end.aborted) {
                await this.stopAndStart(ingress);
                await sleep(settleMs);
            }
        }
    }

    /** Stops all ingresses but one within a second, again and again. */
    private async stopTogether(): Promise<void> {
        const random = this.randomOf(42);
        const all = this.fleet.ingresses.map((...[, ingress]) => ingress);
        while (!this.end.aborted) {
            await this.pause(random.next() * 2 * this.profile.gaps.stop);
            const stopped = this.end.aborted ? [] : random.sample(all, all.length - 1);
            await Promise.all(stopped.map(async ingress => {
                await sleep(random.next() * togetherMs);
                await this.stopAndStart(ingress);
            }));
            await this.pause(settleMs);
        }
    }

    private async stopAndStart(ingress: number): Promise<void> {
        const { fleet } = this;
        const host = fleet.ingresses[ingress] ?? "";
        const from = Date.now();
        this.works.push({ kind: "stop", ingress, from, what: "stop" });
        const life = this.lives.findLast(one => one.ingress === ingress);
        if (life !== undefined) {
            life.stoppedAt = from;
        }
        await fleet.end(host, "SIGTERM");
        await sleep(restartMs);
        this.lives.push({ ingress, startedAt: Date.now(), stoppedAt: undefined });
        fleet.run(host);
        await until(`${host} is ready again`, () => this.isReady(host))
            .catch((err: unknown) => this.broken.push(String(err)));
    }

    private async stopStewards(): Promise<void> {
        const random = this.randomOf(5);
        const { fleet } = this;
        while (!this.end.aborted) {
            await this.pause(this.profile.gaps.steward * (0.4 + random.next()));
            const host = fleet.stewards[random.nextInt(fleet.stewards.length)] ?? "";
            if (!this.end.aborted) {
                this.coreEvents.push(Date.now());
                await fleet.end(host, "SIGTERM");
                this.coreEvents.push(Date.now());
                await sleep(restartMs);
                this.coreEvents.push(Date.now());
                fleet.run(host);
            }
        }
    }

    private async isReady(host: string): Promise<boolean> {
        const answer = await exchange(host, ports.ready, "/lentilramp/readiness").catch(() => undefined);
        return answer?.status === 200;
    }
}
