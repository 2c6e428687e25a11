import { SeededRandom } from "@lentilramp/runtime";
import { setTimeout as sleep } from "node:timers/promises";
import { firstHost, type FleetProcesses } from "../fleet-harness.ts";
import type { InnerNetwork } from "../inner-network.ts";
import { StreamCaller } from "../stream-caller.ts";
import { VersionedEndpoint } from "../versioned-endpoint.ts";
import { versionedService, versionedTimeoutMs } from "./soak-catalog.ts";

/** How an ingress is out of step with the others. */
const states = ["cut off", "held"] as const;
/** Longest time by which a list may be behind, in milliseconds; less than what the processes are told. */
const maxLagMs = 800;
const events = 14;
const gapMs = 500;
const streams = 16;
/** Pause between the beginnings of two streams, in milliseconds. */
const beginIntervalMs = 150;
const takeUps = 4;
const discardedNumbers = 16;

/** What happens around the join of a version, in milliseconds from the start. */
export interface VersionPhase {
    joinsAt: number;
    /** Index of the ingress that is out of step. */
    target: number;
    state: typeof states[number];
    outOfStepFrom: number;
    forMs: number;
    /** By how much the lists of the ingress, and those of all others, are behind. */
    ownLagMs: number;
    othersLagMs: number;
    /** When the version before leaves the list, and when this many endpoints of the new version end. */
    leavesAt: number;
    endAt: number;
    ended: number;
}

/** Returns what happens around the join of a version with a seed. */
export function versionSchedule(seed: number, seconds: number, ingresses: number): VersionPhase {
    const random = new SeededRandom(seed + 5_000_077);
    // The first numbers of adjacent seeds are nearly equal.
    for (let i = 0; i < discardedNumbers; i++) {
        random.next();
    }
    const joinsAt = Math.round((0.3 + random.next() * 0.4) * seconds * 1_000);
    const isAhead = random.next() < 0.5;
    const lagMs = Math.round((0.5 + random.next() / 2) * maxLagMs);
    return {
        joinsAt,
        target: random.nextInt(ingresses),
        state: states[random.nextInt(states.length)] ?? "cut off",
        outOfStepFrom: Math.max(0, joinsAt - 500 - Math.round(random.next() * 2_000)),
        forMs: 2_000 + Math.round(random.next() * 3_000),
        ownLagMs: isAhead ? 0 : lagMs,
        othersLagMs: isAhead ? lagMs : 0,
        leavesAt: joinsAt + Math.round(random.next() * 3_000),
        endAt: joinsAt + 300 + Math.round(random.next() * 2_000),
        ended: 1 + random.nextInt(2),
    };
}

/** Streams of a service of which a second software version joins while one ingress is out of step. */
export class VersionLoad {
    private readonly phase: VersionPhase;
    private readonly endpoints = ["v1", "v1", "v2", "v2"].map((version, i) =>
        new VersionedEndpoint(`i-versions-${i}`, { service: versionedService, version, events, gapMs })
    );
    private readonly callers: StreamCaller[] = [];
    private startedAt = Infinity;
    private leaderReads = 0;

    constructor(seed: number, seconds: number, ingresses: number) {
        this.phase = versionSchedule(seed, seconds, ingresses);
    }

    async start(): Promise<void> {
        await Promise.all(this.endpoints.map(endpoint => endpoint.start()));
    }

    close(): void {
        this.endpoints.forEach(endpoint => endpoint.close());
    }

    /** Last byte of the address of the ingress that is out of step. */
    get outOfStepHost(): number {
        return firstHost.ingress + this.phase.target;
    }

    /** Whether a leader has read the list, so that it knows of all versions so far when the configuration comes. */
    get isKnownToLeader(): boolean {
        return this.leaderReads >= 2;
    }

    /** Entries of the platform's list as the process at an address reads it. */
    entriesFor(reader: string): unknown[] {
        const { joinsAt, leavesAt, ownLagMs, othersLagMs } = this.phase;
        const host = Number(reader.split(".").at(-1));
        this.leaderReads += host < firstHost.ingress ? 1 : 0;
        const at = Date.now() - this.startedAt - (host === this.outOfStepHost ? ownLagMs : othersLagMs);
        return this.endpoints.filter(({ version }) => version === "v1" ? !(at >= leavesAt) : at >= joinsAt)
            .map(({ entry }) => entry);
    }

    /** Plays the phase; resolves when all streams have ended. */
    async run(startedAt: number, fleet: FleetProcesses, network: InnerNetwork): Promise<void> {
        this.startedAt = startedAt;
        await Promise.all([this.putOutOfStep(fleet, network), this.endEndpoints(), this.callAll(fleet.ingresses)]);
    }

    /** One line for each stream that is not one whole stream of one version. */
    get broken(): string[] {
        return this.callers.flatMap(({ name, versions, lastEvent, complete, hasGap }) => [
            ...versions.size > 1 ? [`two versions in one stream: ${name} ${[...versions].join(" and ")}`] : [],
            ...hasGap ? [`events are missing: ${name}`] : [],
            ...complete && lastEvent < events ? [`complete, but not whole: ${name} events=${lastEvent}`] : [],
        ]);
    }

    get description(): string {
        const { state, target, ...times } = this.phase;
        const details = Object.entries(times).map(([key, value]) => `${key}=${value}`).join(" ");
        return `kind=join target=ingress-${target} state=${state} ${details}`;
    }

    private async putOutOfStep(fleet: FleetProcesses, network: InnerNetwork): Promise<void> {
        const { state, target, outOfStepFrom, forMs } = this.phase;
        const host = fleet.ingresses[target] ?? "";
        await this.sleepUntil(outOfStepFrom);
        if (state === "cut off") {
            network.cut();
            await sleep(forMs);
            network.heal();
        }
        else {
            fleet.signal(host, "SIGSTOP");
            await sleep(forMs);
            fleet.signal(host, "SIGCONT");
        }
    }

    private async endEndpoints(): Promise<void> {
        await this.sleepUntil(this.phase.endAt);
        this.endpoints.filter(({ version }) => version === "v2").slice(0, this.phase.ended)
            .forEach(endpoint => endpoint.close());
    }

    /** Half of the callers begin at the ingress that is out of step, and half return there. */
    private async callAll(ingresses: readonly string[]): Promise<void> {
        const outOfStep = ingresses[this.phase.target] ?? "";
        const others = ingresses.filter(host => host !== outOfStep);
        await this.sleepUntil(Math.max(0, this.phase.joinsAt - streams / 4 * beginIntervalMs));
        await Promise.all(Array.from({ length: streams }, async (...[, i]) => {
            await sleep(i * beginIntervalMs);
            const [first, next] = i % 2 === 0 ? [[outOfStep], others] : [others, [outOfStep, ...others]];
            const caller = new StreamCaller(`version-${i}`, {
                host: "soak.example",
                path: `/${versionedService}/x`,
                timeoutMs: versionedTimeoutMs,
            });
            this.callers.push(caller);
            await caller.attempt(first[i % first.length] ?? "");
            return caller.complete || await caller.takeUp(next, takeUps);
        }));
    }

    private async sleepUntil(at: number): Promise<void> {
        await sleep(Math.max(0, this.startedAt + at - Date.now()));
    }
}
