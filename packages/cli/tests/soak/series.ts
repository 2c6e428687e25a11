import { SeededRandom } from "@lentilramp/runtime";
import { setTimeout as sleep } from "node:timers/promises";
import { exchange, type FleetProcesses, ports, until } from "../fleet-harness.ts";

/** Time for which a steward still counts as lost after its start, in milliseconds. */
const catchUpMs = 4_000;
/** Time for which the process of an instance that has lost its disk is away, in milliseconds. */
const awayMs = 1_000;
const stopGapMs = 1_000;

/** Waits until all ingresses are ready. */
export async function untilAllReady(fleet: FleetProcesses): Promise<void> {
    await until("all ingresses are ready", async () => {
        const path = "/lentilramp/readiness";
        const answers = await Promise.all(fleet.ingresses.map(host => exchange(host, ports.ready, path)));
        return answers.every(({ status }) => status === 200);
    });
}

/**
 * Replaces a steward as planned, then lets another one lose its disk at the first moment at which the fleet must bear
 * that. Returns what was done.
 */
export async function replaceStewardAndLoseDisk(fleet: FleetProcesses, seed: number): Promise<string> {
    const random = new SeededRandom(seed + 3_000_017);
    const pick = (hosts: readonly string[]): string => hosts[random.nextInt(hosts.length)] ?? "";
    // The stewards that were restarted last need their time too.
    await sleep(catchUpMs);
    const replaced = pick(fleet.stewards);
    const successor = fleet.addSteward();
    await sleep(catchUpMs);
    await fleet.end(replaced, "SIGTERM");
    fleet.removeSteward(replaced);
    await sleep(random.next() * stopGapMs);
    const lost = pick(fleet.stewards);
    await fleet.end(lost, "SIGKILL");
    fleet.loseDisk(lost);
    await sleep(awayMs);
    fleet.run(lost);
    return `kind=replace target=${replaced} successor=${successor}, kind=lose-disk target=${lost}`;
}

/** Stops the ingresses one after the other, the next one before the one before has ended, and starts them again. */
export async function stopIngresses(fleet: FleetProcesses, count: number): Promise<void> {
    const stop = async (host: string, i: number): Promise<void> => {
        await sleep(i * stopGapMs);
        await fleet.end(host, "SIGTERM");
        fleet.run(host);
        await until(
            `${host} is ready again`,
            async () => (await exchange(host, ports.ready, "/lentilramp/readiness")).status === 200,
        );
    };
    await Promise.all(fleet.ingresses.slice(0, count).map(stop));
}
