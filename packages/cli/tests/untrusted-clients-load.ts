import { expect } from "chai";
import { readdirSync, readFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { type ProcessLimits, until } from "./fleet-harness.ts";

/** Memory of the machine, in MB; the settings of the processes name it. A process at rest has some 75 MB resident. */
export const memoryMb = 160;
/** Descriptors of the machine, in the settings too. */
export const descriptors = 128;
/** Options of Node.js for a process on such a machine. */
export const nodeOptions: readonly string[] = ["--max-old-space-size=48"];
/** The same for a process of the users' platform. */
export const boundedFleet: ProcessLimits = {
    settings: [`limits.memory_mb=${memoryMb}`, `limits.file_descriptors=${descriptors}`],
    nodeOptions,
};

/** Time without any progress of the clients after which their load counts as delivered, in milliseconds. */
const quietMs = 1_500;
/** Longest wait for that; clients that are read slowly make progress for longer. */
const maxLoadMs = 10_000;
const checkIntervalMs = 100;

/** Resources that a process holds, read from `/proc`. */
export interface ProcessUse {
    /** Highest resident memory since the start, in MB. */
    peakResidentMb: number;
    descriptors: number;
}

/** Returns what a process holds; undefined once it has ended. */
export function readUse(pid: number | undefined): ProcessUse | undefined {
    if (pid === undefined) {
        return undefined;
    }
    try {
        const status = readFileSync(`/proc/${pid}/status`, "utf8");
        const peakKb = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]);
        return { peakResidentMb: peakKb / 1_024, descriptors: readdirSync(`/proc/${pid}/fd`).length };
    }
    catch {
        return undefined;
    }
}

/** Clients that send what a process must not collect, read no answers and stay open. */
export class UntrustedClients {
    private readonly sockets: Socket[] = [];

    constructor(private readonly host: string, private readonly port: number) {}

    /** Opens connections that send `bytes` and then nothing more, without reading. */
    open(connections: number, bytes: Buffer): void {
        for (let i = 0; i < connections; i++) {
            const socket = connect(this.port, this.host);
            // A connection that is refused or reset is one of the allowed outcomes.
            socket.on("error", () => undefined);
            socket.pause();
            socket.write(bytes);
            this.sockets.push(socket);
        }
    }

    /** Resolves once the process has taken all that it takes for now; calls `sample` meanwhile. */
    async delivered(sample: () => void): Promise<void> {
        const startedAt = Date.now();
        let progressAt = startedAt;
        let last = "";
        while (Date.now() - progressAt < quietMs && Date.now() - startedAt < maxLoadMs) {
            await new Promise(resolve => setTimeout(resolve, checkIntervalMs));
            sample();
            const left = this.sockets.reduce((sum, socket) => sum + socket.writableLength, 0);
            const open = this.sockets.filter(socket => !socket.destroyed).length;
            const progress = `${left} ${open}`;
            if (progress !== last) {
                last = progress;
                progressAt = Date.now();
            }
        }
    }

    close(): void {
        this.sockets.forEach(socket => socket.destroy());
    }
}

/** Head of a request with a chunked body. */
function chunkedHead(method: string, path: string, headers: string): string {
    return `${method} ${path} HTTP/1.1\r\n${headers}Transfer-Encoding: chunked\r\n\r\n`;
}

/** A request whose body comes in chunks of `chunkBytes` and stops before its end. */
export function unfinishedBody(
    method: string,
    path: string,
    headers: string,
    { chunkBytes, chunks }: { chunkBytes: number; chunks: number; },
): Buffer {
    const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
    return Buffer.from(chunkedHead(method, path, headers) + chunk.repeat(chunks));
}

/** Requests that are sent without waiting for their answers, with no header at all. */
export function pipelinedRequests(path: string, requests: number): Buffer {
    return Buffer.from(
        `GET ${path} HTTP/1.0\r\nConnection: keep-alive\r\n\r\n`.repeat(requests / 2)
            + `GET ${path} HTTP/1.1\r\n\r\n`.repeat(requests / 2),
    );
}

/** What the load is sent to; the path with its query. */
export interface LoadTarget {
    port: number;
    method: string;
    path: string;
    /** Path of pipelined requests, if it is another one. */
    pipelinedPath?: string;
    headers: string;
}

/** A kind of load, with the number of connections and the bytes of each. */
export interface Load {
    name: string;
    connections: number;
    bytes: (target: LoadTarget) => Buffer;
}

/** Kinds of load; the size of each is fixed. */
export const loads: readonly Load[] = [
    {
        name: "bodies in large chunks that stop short of their end",
        connections: 150,
        bytes: ({ method, path, headers }) => unfinishedBody(method, path, headers, { chunkBytes: 49_000, chunks: 20 }),
    },
    {
        name: "bodies in chunks of one byte that stop short of their end",
        connections: 150,
        bytes: ({ method, path, headers }) => unfinishedBody(method, path, headers, { chunkBytes: 1, chunks: 60_000 }),
    },
    {
        name: "pipelined requests with unread answers",
        connections: 150,
        bytes: ({ path, pipelinedPath }) => pipelinedRequests(pipelinedPath ?? path, 10_000),
    },
];

/** A process under load, with the ordinary request that it has to answer with 200. */
export interface ProcessUnderLoad {
    pid(): number | undefined;
    /** Processes that have ended without being told to. */
    exits(): readonly unknown[] | undefined;
    ask(): Promise<number>;
}

/**
 * Sends a load, keeps it open, and expects that the process lives, stays within the machine and answers an ordinary
 * request. `onOpen` gets the clients, which the caller closes.
 */
export async function expectSurvival(
    served: ProcessUnderLoad,
    onOpen: (clients: UntrustedClients) => void,
    target: LoadTarget & { host: string; },
    load: Load,
): Promise<void> {
    await until("an ordinary request is answered before the load", async () => await served.ask() === 200);
    const pid = served.pid();
    let mostDescriptors = 0;
    const sample = (): void => {
        mostDescriptors = Math.max(mostDescriptors, readUse(pid)?.descriptors ?? 0);
    };
    const clients = new UntrustedClients(target.host, target.port);
    onOpen(clients);
    clients.open(load.connections, load.bytes(target));
    await clients.delivered(sample);
    const hasEnded = (): boolean => served.exits()?.length !== 0;
    await until("an ordinary request is answered", async () => hasEnded() || await served.ask() === 200);
    const use = readUse(pid);
    sample();
    if (process.env.SHOW_USE !== undefined) {
        console.log(`peak ${use?.peakResidentMb.toFixed()} MB, ${mostDescriptors} descriptors`);
    }
    expect(served.exits(), "ended processes").to.deep.equal([]);
    expect(use?.peakResidentMb, "peak resident memory, MB").to.be.at.most(memoryMb);
    expect(mostDescriptors, "open descriptors").to.be.at.most(descriptors);
}
