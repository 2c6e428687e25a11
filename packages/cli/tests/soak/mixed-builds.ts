import { SeededRandom } from "@lentilramp/runtime";
import murmurhash from "murmurhash";
import { existsSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { exchange, type FleetProcesses, ports, type ProcessLimits, until } from "../fleet-harness.ts";
import type { Fault } from "./schedule.ts";

/** Time from the end of a process to the start of its successor, in milliseconds. */
const restartMs = 300;
/** Time before the first replacement, in milliseconds. */
const quietMs = 1_000;
const paceChangeMs = 1_000;
/** Paces that endpoints state, in percent of the usual time of their work. */
const paces: readonly number[] = [80, 100, 100, 200, 300];

/** Limits of a fleet with two builds, which enable what the newer build does only where settings call for it. */
export const mixedLimits: ProcessLimits = {
    settings: [
        "contracts=rollout",
        "limits.cpu_share=0.5",
        "limits.cpu_cores=1",
        "limits.memory_mb=490",
        "limits.file_descriptors=4096",
        "limits.link_mbps=10",
    ],
    nodeOptions: [],
};
const rolloutsPath = "/lentilramp/rollouts";
/** Service and version of an order that is given after the upgrade; no endpoint has the version. */
const order = { service: "app", target: "next", duration_s: 600 };

/** Returns the program of a build in a folder; throws if the folder has none. */
export function builtProgram(folder: string): string {
    const program = join(folder, "target", "lentilramp.cjs");
    if (!existsSync(program)) {
        throw new Error(`${program} does not exist; run "npm ci && node scripts/build-fleet.mjs" in ${folder}`);
    }
    return program;
}

/** Returns every second host; seeds begin with the first and the second one by turns. */
export function everySecond(hosts: readonly string[], seed: number): string[] {
    return hosts.filter((...[, i]) => i % 2 === Math.abs(seed) % 2);
}

/** The first numbers of a generator are nearly the same for nearby seeds, but not for their hashes. */
function randomOf(name: string): SeededRandom {
    return new SeededRandom(murmurhash.v3(name));
}

/** Returns the paces that an endpoint states in turn; the same seed and endpoint give the same ones. */
export function statedPace(seed: number, endpoint: number): () => number {
    const random = randomOf(`pace ${seed} ${endpoint}`);
    let pace = 100;
    let nextAt = 0;
    return () => {
        if (Date.now() >= nextAt) {
            nextAt = Date.now() + paceChangeMs;
            pace = paces[random.nextInt(paces.length)] ?? 100;
        }
        return pace;
    };
}

/** Starts a part of a fleet from another build, and replaces these processes by the present build. */
export class BuildUpgrade {
    private readonly random: SeededRandom;
    /** Hosts of the processes to replace; stewards come before ingresses, as operators upgrade them. */
    private readonly hosts: readonly string[];

    constructor(private readonly fleet: FleetProcesses, program: string, seed: number) {
        this.random = randomOf(`upgrade ${seed}`);
        this.hosts = [...everySecond(fleet.stewards, seed), ...everySecond(fleet.ingresses, seed)];
        for (const host of this.hosts) {
            fleet.programs.set(host, program);
        }
    }

    /**
     * Replaces the processes one after the other, spread over `forMs`; each one is ready before the next is stopped.
     * Adds what was done to `faults`, with times from `startedAt`. Rejects if a process is not ready within 30 s.
     */
    async run(startedAt: number, forMs: number, faults: Fault[]): Promise<void> {
        const { fleet, hosts, random } = this;
        const gapMs = Math.max(0, forMs - quietMs) / hosts.length;
        for (const [i, host] of hosts.entries()) {
            await sleep(Math.max(0, startedAt + quietMs + (i + random.next()) * gapMs - Date.now()));
            const from = Date.now();
            fleet.programs.delete(host);
            // A process that another fault has ended starts again from the present build.
            if (fleet.runs(host)) {
                await fleet.end(host, "SIGTERM");
                await sleep(restartMs);
                fleet.run(host);
            }
            const steward = fleet.stewards.indexOf(host);
            faults.push({
                at: from - startedAt,
                forMs: Date.now() - from,
                kind: "stop",
                reason: "upgrade",
                role: steward >= 0 ? "steward" : "ingress",
                target: steward >= 0 ? steward : fleet.ingresses.indexOf(host),
            });
            await until(`${host} is ready with the present build`, () => isReady(host, steward >= 0));
        }
    }

    /** Orders a roll-out from a fleet that was upgraded. Rejects if no steward confirms the order within 30 s. */
    async orderRollout(): Promise<void> {
        const { stewards } = this.fleet;
        const request = { method: "POST", body: JSON.stringify(order) };
        await until("an order was confirmed after the upgrade", async () => {
            const answers = await Promise.all(
                stewards.map(host => exchange(host, ports.control, rolloutsPath, request)),
            );
            return answers.every(({ status }) => status === 200);
        });
    }

    /** Rejects if a steward does not know the order within 30 s. */
    async expectRollout(): Promise<void> {
        const { stewards } = this.fleet;
        await Promise.all(stewards.map(host =>
            until(`${host} knows the order`, async () => {
                const { body } = await exchange(host, ports.control, `${rolloutsPath}/${order.service}`);
                const { state, target } = JSON.parse(body) as { state: string; target: string; };
                return state === "running" && target === order.target;
            })
        ));
    }
}

async function isReady(host: string, steward: boolean): Promise<boolean> {
    const { status } = steward
        ? await exchange(host, ports.control, "/lentilramp/configuration")
        : await exchange(host, ports.ready, "/lentilramp/readiness");
    return status === 200;
}
