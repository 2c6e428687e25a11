import {
    defaultHttpServerOptions,
    HttpServer,
    ProcessKey,
    RpcClient,
    RpcError,
    rpcErrorCodes,
    RpcServer,
} from "@lentilramp/protocol";
import { MemoryEventLog, SystemClock } from "@lentilramp/runtime";
import { expect } from "chai";
import { request } from "node:http";
import { z } from "zod";

const secret = "0123456789abcdef-secret";
const callLimitMs = 20_000;

describe("RpcClient and RpcServer", () => {
    const clock = new SystemClock();
    const log = new MemoryEventLog();
    let http: HttpServer;
    let client: RpcClient;

    beforeEach(async () => {
        http = new HttpServer({ host: "127.0.0.1", port: 0, ...defaultHttpServerOptions }, log);
        const server = new RpcServer(new ProcessKey(secret), log);
        server.method("add", z.object({ a: z.number(), b: z.number() }), async ({ a, b }) => a + b);
        server.method("redirect", z.object({}), async () => {
            throw new RpcError("rejected", "not the leader", rpcErrorCodes.notLeader, { leader: "control-2" });
        });
        server.method("hang", z.object({}), () => new Promise(() => undefined));
        server.attach(http);
        await http.start();
        client = new RpcClient(new ProcessKey(secret), clock);
    });

    afterEach(async () => {
        await client.close();
        await http.close();
    });

    async function failure(run: Promise<unknown>): Promise<RpcError> {
        try {
            await run;
        }
        catch (err) {
            return err as RpcError;
        }
        throw new Error("the call did not fail");
    }

    const deadline = () => clock.now() + callLimitMs;

    it("returns the result of a method", async () => {
        expect(await client.call(http.address, "add", { a: 2, b: 3 }, z.number(), deadline())).to.equal(5);
    });

    // Guards against a process without the key that can change or read state.
    it("refuses a call with another key and does not log either key", async () => {
        const stranger = new RpcClient(new ProcessKey("another-key-0123456789"), clock);
        const err = await failure(stranger.call(http.address, "add", { a: 1, b: 1 }, z.number(), deadline()));
        await stranger.close();
        expect(err.failure).to.equal("unauthorized");
        expect(JSON.stringify(log.events)).to.not.contain("0123456789");
        expect(JSON.stringify({ key: new ProcessKey(secret) })).to.not.contain(secret);
    });

    it("passes the code and data of an application error on", async () => {
        const err = await failure(client.call(http.address, "redirect", {}, z.unknown(), deadline()));
        expect(err.code).to.equal(rpcErrorCodes.notLeader);
        expect(err.data).to.deep.equal({ leader: "control-2" });
    });

    it("refuses parameters that do not match the schema", async () => {
        const err = await failure(client.call(http.address, "add", { a: "x" }, z.number(), deadline()));
        expect(err.code).to.equal(rpcErrorCodes.invalidRequest);
    });

    // Guards against a call that waits for ever on a peer that has gone silent.
    it("fails with timeout at the deadline", async () => {
        const err = await failure(client.call(http.address, "hang", {}, z.unknown(), clock.now() + 30));
        expect(err.failure).to.equal("timeout");
    });

    // Guards against reporting a refused connection as an execution whose outcome is unknown.
    it("distinguishes a refused connection", async () => {
        const address = http.address;
        await http.close();
        const err = await failure(client.call(address, "add", { a: 1, b: 1 }, z.number(), deadline()));
        expect(err.failure).to.equal("refused");
        await http.start();
    });

    // Guards against a header of unlimited size and against a crash on an unparsable request.
    it("answers oversized headers and unknown routes with typed errors", async () => {
        const status = async (path: string, headers: Record<string, string>) =>
            await new Promise<{ status: number; body: string; }>((resolve, reject) => {
                const req = request({ ...http.address, path, headers }, res => {
                    let body = "";
                    res.on("data", part => body += String(part));
                    res.on("end", () => resolve({ status: res.statusCode ?? 0, body }));
                });
                req.on("error", reject);
                req.end();
            });
        const large = await status("/rpc", { "x-large": "a".repeat(20_000) });
        expect(large.status).to.equal(431);
        expect(large.body).to.contain("headers-too-large");
        const unknown = await status("/nothing/%zz", {});
        expect(unknown.status).to.equal(404);
        expect(unknown.body).to.contain("unknown-route");
    });
});
