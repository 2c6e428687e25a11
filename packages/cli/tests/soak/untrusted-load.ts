import { SeededRandom } from "@lentilramp/runtime";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { type FleetProcesses, ports, type ProcessLimits } from "../fleet-harness.ts";
import { pipelinedRequests, readUse, unfinishedBody, UntrustedClients } from "../untrusted-clients-load.ts";
import type { CallSeen } from "./promises.ts";

/** Memory of a process' machine, in MB; that of the smallest ingress in use. */
const memoryMb = 210;
/**
 * Resources that the settings of the processes name, without which the bounds on clients do not act. A process that
 * keeps too much for its clients on its heap ends.
 */
export const soakLimits: ProcessLimits = {
    settings: [`limits.memory_mb=${memoryMb}`, "limits.file_descriptors=256"],
    nodeOptions: ["--max-old-space-size=96"],
};
/** Largest body that the configuration of the soak allows, in bytes. */
export const maxBodyBytes = 1_048_576;

type LoadKind = "large-chunks" | "small-chunks" | "pipelined";
const loadKinds: readonly LoadKind[] = ["large-chunks", "small-chunks", "pipelined"];
const addresses = ["callers", "readiness"] as const;
/** Time before the first load, in milliseconds. */
const quietMs = 1_000;

/**
 * Connections of a load, and least part of the largest body that an unfinished one has. Without the bounds on clients, an
 * ingress needs more memory than `memoryMb` for such a load; with 40 to 150 connections it did not.
 */
const minConnections = 200;
const maxConnections = 400;
const minBodyFraction = 3 / 4;

const discardedNumbers = 16;

/** Connections of untrusted clients, opened at one time and closed at another, in milliseconds from the start. */
export interface UntrustedPhase {
    at: number;
    forMs: number;
    kind: LoadKind;
    address: typeof addresses[number];
    /** Index among the ingresses. */
    target: number;
    connections: number;
    /** Bytes of a chunk, and the chunks of each body; requests sent ahead on each connection. */
    size: { chunkBytes: number; chunks: number; } | { requests: number; };
}

/** Returns the load of untrusted clients with a seed, one process after the other. */
export function untrustedSchedule(seed: number, seconds: number, ingresses: number): UntrustedPhase[] {
    const random = new SeededRandom(seed + 4_000_037);
    // The first numbers of adjacent seeds are nearly equal.
    for (let i = 0; i < discardedNumbers; i++) {
        random.next();
    }
    const between = (low: number, high: number): number => low + random.nextInt(high - low + 1);
    const phases: UntrustedPhase[] = [];
    for (let at = quietMs + between(0, 1_000); at < seconds * 1_000;) {
        const forMs = between(800, 4_000);
        const kind = loadKinds[random.nextInt(loadKinds.length)] ?? "pipelined";
        phases.push({
            at,
            forMs,
            kind,
            address: addresses[random.nextInt(addresses.length)] ?? "callers",
            target: random.nextInt(ingresses),
            connections: between(minConnections, maxConnections),
            size: sizeOf(kind, between),
        });
        at += forMs + between(0, 1_000);
    }
    return phases;
}

function sizeOf(kind: LoadKind, between: (low: number, high: number) => number): UntrustedPhase["size"] {
    if (kind === "pipelined") {
        return { requests: 2 * between(1_000, 10_000) };
    }
    const chunkBytes = kind === "large-chunks" ? between(10_000, 60_000) : between(1, 8);
    const mostChunks = kind === "large-chunks" ? Math.floor(maxBodyBytes / chunkBytes) : 60_000;
    return { chunkBytes, chunks: between(Math.floor(mostChunks * minBodyFraction), mostChunks) };
}

function describe({ at, forMs, kind, address, target, connections, size }: UntrustedPhase): string {
    const sizes = Object.entries(size).map(([name, value]) => `${name}=${value}`).join(" ");
    return `at=${at} forMs=${forMs} kind=untrusted-${kind} target=ingress-${target} address=${address} `
        + `connections=${connections} ${sizes}`;
}

/** Opens the connections of a phase, which send and do not read; calls `onEnd` at its end, and then closes them. */
async function send(
    { forMs, address, connections, size }: UntrustedPhase,
    host: string,
    onEnd: () => void,
): Promise<void> {
    const isToCallers = address === "callers";
    const path = isToCallers ? "/unsafe/untrusted" : "/lentilramp/readiness";
    const headers = "Host: soak.example\r\nApi-Key: soak-key\r\nX-Attempt-Id: untrusted\r\n";
    const bytes = "requests" in size
        ? pipelinedRequests(path, size.requests)
        : unfinishedBody("POST", path, headers, size);
    const port = isToCallers ? ports.front : ports.ready;
    const clients = new UntrustedClients(host, port);
    await resetTunnels(host, port);
    clients.open(connections, bytes);
    await sleep(forMs);
    onEnd();
    clients.close();
}

/** Connections of each load on which a tunnel is requested, and the time after which they are reset, in milliseconds. */
const tunnels = { connections: 8, openMs: 20 };

/** Requests tunnels and resets the connections. Without an error listener such a reset ends a process of Node.js. */
async function resetTunnels(host: string, port: number): Promise<void> {
    const sockets = Array.from({ length: tunnels.connections }, () => {
        const socket = connect(port, host);
        socket.on("error", () => undefined);
        socket.write("CONNECT soak.example:1 HTTP/1.1\r\nHost: soak.example:1\r\n\r\n");
        return socket;
    });
    await sleep(tunnels.openMs);
    sockets.forEach(socket => socket.resetAndDestroy());
}

/** The load of untrusted clients in one run. */
export class UntrustedLoad {
    private readonly phases: readonly UntrustedPhase[];
    private readonly memoryExceeded: string[] = [];
    private startedAt = Infinity;

    constructor(seed: number, seconds: number, ingresses: number) {
        this.phases = untrustedSchedule(seed, seconds, ingresses);
    }

    get description(): string[] {
        return this.phases.map(describe);
    }

    /** Plays all phases at the ingresses of `fleet`. `startedAt` is in milliseconds since the epoch. */
    async run(startedAt: number, fleet: FleetProcesses): Promise<void> {
        this.startedAt = startedAt;
        await Promise.all(this.phases.map(async phase => {
            await sleep(Math.max(0, startedAt + phase.at - Date.now()));
            const host = fleet.ingresses[phase.target] ?? "";
            await send(phase, host, () => this.checkMemory(phase, fleet.pid(host)));
        }));
    }

    /** Returns one line for each load at whose end its process had held more memory than its machine has. */
    get brokenMemoryBounds(): readonly string[] {
        return this.memoryExceeded;
    }

    private checkMemory(phase: UntrustedPhase, pid: number | undefined): void {
        const peakMb = readUse(pid)?.peakResidentMb ?? 0;
        if (peakMb > memoryMb) {
            this.memoryExceeded.push(`more memory than ${memoryMb} MB: peak=${peakMb.toFixed()} ${describe(phase)}`);
        }
    }

    /** Whether untrusted clients came to the ingress of a call around it, or had left it less than `afterMs` before. */
    isBeside({ ingress, sentAt, endedAt }: CallSeen, afterMs: number): boolean {
        return this.phases.some(({ at, forMs, target }) => {
            const from = this.startedAt + at;
            return target === ingress && endedAt > from && sentAt < from + forMs + afterMs;
        });
    }
}
