/**
 * Compares the processor time of a server with the client guard with that of the same server without it. Run by hand:
 *
 *     npx tsx packages/protocol/tests/client-guard-cost.ts [ROUNDS] [REQUESTS]
 *
 * Both servers run side by side in processes of their own and get the same load in turn, so that other load on the
 * machine affects both. The result is the median ratio over the rounds for each kind of load. With `--serve guard` it is
 * one of the servers; `node --cpu-prof` on it shows where the time goes.
 */
import { MemoryEventLog } from "@lentilramp/runtime";
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { fileURLToPath } from "node:url";
import { z } from "zod";
import {
    ClientGuard,
    defaultHttpServerOptions,
    HttpServer,
    ProcessKey,
    readBody,
    RpcServer,
    sendJson,
} from "../src/index.ts";

const manyConnections = 60;
const key = new ProcessKey("a key of this benchmark alone");

/** Guards no connection, so that no request is recorded either. */
class NoGuard extends ClientGuard {
    override attach(): void {}
}

async function serve(guard: ClientGuard): Promise<void> {
    const log = new MemoryEventLog();
    const server = new HttpServer({ ...defaultHttpServerOptions, host: "127.0.0.1", port: 0 }, log, guard);
    server.route("POST", "/body", async (req, res) => {
        const body = await readBody(req, 4_194_304);
        sendJson(res, 200, { bytes: body.length });
    });
    const rpc = new RpcServer(key, log);
    rpc.method("size", z.string(), async text => text.length);
    rpc.attach(server);
    await server.start();
    process.on("message", () => process.send?.(process.cpuUsage()));
    process.on("disconnect", () => process.exit());
    process.send?.(server.address.port);
}

/** Sends requests on a kept connection, one after the other. */
async function send(port: number, request: Buffer, count: number): Promise<void> {
    const socket: Socket = connect(port, "127.0.0.1");
    socket.setNoDelay(true);
    let left = count;
    await new Promise<void>((resolve, reject) => {
        socket.on("error", reject);
        socket.on("data", answer => {
            if (!answer.toString("latin1").startsWith("HTTP/1.1 200 ")) {
                reject(new Error(answer.toString()));
            }
            else if (--left === 0) {
                resolve();
            }
            else {
                socket.write(request);
            }
        });
        socket.write(request);
    });
    socket.destroy();
}

interface Load {
    request: Buffer;
    connections: number;
}

class MeasuredServer {
    private constructor(private readonly child: ChildProcess, private readonly port: number) {}

    static async start(kind: string): Promise<MeasuredServer> {
        const child = fork(fileURLToPath(import.meta.url), ["--serve", kind]);
        const [port] = await once(child, "message") as [number];
        return new MeasuredServer(child, port);
    }

    /** Returns the processor time that the requests take, in milliseconds. */
    async measure({ request, connections }: Load, count: number): Promise<number> {
        const before = await this.cpuMs();
        await Promise.all(Array.from({ length: connections }, () => send(this.port, request, count / connections)));
        return await this.cpuMs() - before;
    }

    stop(): void {
        this.child.disconnect();
    }

    private async cpuMs(): Promise<number> {
        this.child.send("usage");
        const [{ user, system }] = await once(this.child, "message") as [NodeJS.CpuUsage];
        return (user + system) / 1_000;
    }
}

function post(path: string, body: string, header = ""): Buffer {
    return Buffer.from(`POST ${path} HTTP/1.1\r\nHost: h\r\n${header}Content-Length: ${body.length}\r\n\r\n${body}`);
}

function median(values: readonly number[]): number {
    return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN;
}

async function compare(rounds: number, count: number): Promise<void> {
    const call = JSON.stringify({ jsonrpc: "2.0", id: 1, method: "size", params: "x".repeat(300) });
    const small = post("/body", "x".repeat(300));
    const loads: Record<string, Load> = {
        "small requests": { request: small, connections: manyConnections },
        "small requests on 2 connections": { request: small, connections: 2 },
        "bodies of 9,200 bytes": { request: post("/body", "x".repeat(9_200)), connections: manyConnections },
        "calls with the process key": {
            request: post("/rpc", call, `Authorization: ${key.authorization()}\r\n`),
            connections: manyConnections,
        },
    };
    const guarded = await MeasuredServer.start("guard");
    const bare = await MeasuredServer.start("none");
    for (const [name, load] of Object.entries(loads)) {
        await guarded.measure(load, count);
        await bare.measure(load, count);
        const ratios: number[] = [];
        const usPerRequest = { guarded: [] as number[], bare: [] as number[] };
        for (let i = 0; i < rounds; i++) {
            // The first of two measurements on a busy machine comes out higher.
            const isBareFirst = i % 2 === 1;
            const early = isBareFirst ? await bare.measure(load, count) : undefined;
            const withGuard = await guarded.measure(load, count);
            const without = early ?? await bare.measure(load, count);
            ratios.push(withGuard / without);
            usPerRequest.guarded.push(withGuard / count * 1_000);
            usPerRequest.bare.push(without / count * 1_000);
        }
        console.log(
            `${name}: ratio ${median(ratios).toFixed(3)} (${Math.min(...ratios).toFixed(3)} to ${
                Math.max(...ratios).toFixed(3)
            }), ${median(usPerRequest.guarded).toFixed(0)} against ${
                median(usPerRequest.bare).toFixed(0)
            } us a request`,
        );
    }
    guarded.stop();
    bare.stop();
}

if (process.argv[2] === "--serve") {
    await serve(process.argv[3] === "guard" ? new ClientGuard() : new NoGuard());
}
else {
    await compare(Number(process.argv[2] ?? 9), Number(process.argv[3] ?? 6_000));
}
