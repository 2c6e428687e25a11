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
import { once } from "node:events";
import { createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import { z } from "zod";
import { ownHost } from "./loopback-net.ts";

const secret = "0123456789abcdef-secret";
const callTimeoutMs = 20_000;

describe("RpcClient and RpcServer", () => {
    const clock = new SystemClock();
    const log = new MemoryEventLog();
    let http: HttpServer;
    let client: RpcClient;

    beforeEach(async () => {
        http = new HttpServer({ host: ownHost, port: 0, ...defaultHttpServerOptions }, log);
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

    async function rejectionOf(call: Promise<unknown>): Promise<RpcError> {
        try {
            await call;
        }
        catch (err) {
            return err as RpcError;
        }
        throw new Error("the call did not fail");
    }

    const deadline = () => clock.now() + callTimeoutMs;

    it("returns the result of a method", async () => {
        expect(await client.call(http.address, "add", { a: 2, b: 3 }, z.number(), deadline())).to.equal(5);
    });

    // Guards against access to state without the process key, and against a key that leaks into logs or JSON.
    it("rejects a call with another key and logs neither key", async () => {
        const unauthorizedClient = new RpcClient(new ProcessKey("another-key-0123456789"), clock);
        const err = await rejectionOf(
            unauthorizedClient.call(http.address, "add", { a: 1, b: 1 }, z.number(), deadline()),
        );
        await unauthorizedClient.close();
        expect(err.failure).to.equal("unauthorized");
        expect(JSON.stringify(log.events)).to.not.contain("0123456789");
        expect(JSON.stringify({ key: new ProcessKey(secret) })).to.not.contain(secret);
    });

    it("returns the code and data of an application error to the caller", async () => {
        const err = await rejectionOf(client.call(http.address, "redirect", {}, z.unknown(), deadline()));
        expect(err.code).to.equal(rpcErrorCodes.notLeader);
        expect(err.data).to.deep.equal({ leader: "control-2" });
    });

    it("rejects parameters that do not match the schema", async () => {
        const err = await rejectionOf(client.call(http.address, "add", { a: "x" }, z.number(), deadline()));
        expect(err.code).to.equal(rpcErrorCodes.invalidRequest);
    });

    // Guards against a call that waits forever for an unresponsive peer.
    it("fails with a timeout at the deadline when the method never returns", async () => {
        const err = await rejectionOf(client.call(http.address, "hang", {}, z.unknown(), clock.now() + 30));
        expect(err.failure).to.equal("timeout");
    });

    // Guards against reporting a call that was never sent as one whose outcome is unknown.
    it("reports a refused connection as refused", async () => {
        const address = http.address;
        await http.close();
        const err = await rejectionOf(client.call(address, "add", { a: 1, b: 1 }, z.number(), deadline()));
        expect(err.failure).to.equal("refused");
        await http.start();
    });

    // Guards against an exception that is not an RpcError, which says whether the call may have been executed.
    it("reports an address to which nothing can be sent as refused, and an odd response as broken", async () => {
        for (const peer of [{ host: "127.0.0.1", port: 99_999 }, { host: "a\r\nb", port: 80 }]) {
            const err = await rejectionOf(client.call(peer, "add", {}, z.number(), deadline()));
            expect(err).to.be.an.instanceOf(RpcError).with.property("failure", "refused");
        }
        const deep = "[".repeat(100_000) + "]".repeat(100_000);
        const odd = ["null", "7", `"x"`, deep, `{"error":null}`, `{"error":7}`, `{"error":{"code":"x","message":[]}}`];
        for (
            const text of [...odd, `{"result":${deep}}`, `{"result":1e400}`, `{"error":{"code":1e400}}`, "", "{", "[]"]
        ) {
            const server = createServer((req, res) => {
                req.resume();
                res.end(text);
            });
            server.listen(0, "127.0.0.1");
            await once(server, "listening");
            const { port } = server.address() as AddressInfo;
            const err = await rejectionOf(client.call({ host: "127.0.0.1", port }, "add", {}, z.number(), deadline()));
            expect(err, text.slice(0, 40)).to.be.an.instanceOf(RpcError).with.property("failure", "broken");
            server.closeAllConnections();
            server.close();
        }
    });

    // Guards against a process that ends at a request that is nested more deeply than its parts can be written.
    // Guards against a process that reads what a peer sends without end, for as long as it sends.
    it("closes the connection of a peer whose response does not end", async () => {
        let closed: (what: string) => void;
        const connectionClosed = new Promise<string>(resolve => closed = resolve);
        const peer = createServer((req, res) => {
            void req;
            res.on("close", () => closed("closed"));
            const more = (): void => {
                while (!res.destroyed && res.write("x".repeat(65_536))) {
                    // Writes until the connection is full.
                }
            };
            res.on("drain", more);
            more();
        });
        peer.listen(0, "127.0.0.1");
        await once(peer, "listening");
        const { port } = peer.address() as AddressInfo;
        try {
            const err = await rejectionOf(
                client.call({ host: "127.0.0.1", port }, "add", {}, z.number(), deadline()),
            );
            expect(err.failure).to.equal("broken");
            expect(await connectionClosed).to.equal("closed");
        }
        finally {
            peer.close();
            peer.closeAllConnections();
        }
    });

    it("answers requests that are nested deeply or hold odd numbers", async () => {
        const deep = "[".repeat(100_000) + "]".repeat(100_000);
        const call = (id: string, method: string, params: string) =>
            `{"jsonrpc":"2.0","id":${id},"method":${method},"params":${params}}`;
        const bodies = [
            deep,
            call(deep, `"add"`, "{}"),
            call("1", deep, "{}"),
            call("1", `"add"`, deep),
            "null",
            "7",
            "",
        ];
        for (const body of [...bodies, call("1e400", `"add"`, `{"a":1e400,"b":1}`), call("1", `"__proto__"`, "{}")]) {
            const answer = await fetch(`http://${ownHost}:${http.address.port}/rpc`, {
                method: "POST",
                headers: { authorization: `Bearer ${secret}` },
                body,
            });
            expect(answer.status, body.slice(0, 40)).to.be.oneOf([200, 500]);
        }
        expect(await client.call(http.address, "add", { a: 2, b: 3 }, z.number(), deadline())).to.equal(5);
    });

    // Guards against headers of unlimited size and against a crash on a path that cannot be decoded.
    it("answers oversized headers and unknown routes with typed errors", async () => {
        const get = async (path: string, headers: Record<string, string>) =>
            await new Promise<{ status: number; body: string; }>((resolve, reject) => {
                const req = request({ ...http.address, path, headers }, res => {
                    let body = "";
                    res.on("data", part => body += String(part));
                    res.on("end", () => resolve({ status: res.statusCode ?? 0, body }));
                });
                req.on("error", reject);
                req.end();
            });
        const oversized = await get("/rpc", { "x-large": "a".repeat(20_000) });
        expect(oversized.status).to.equal(431);
        expect(oversized.body).to.contain("headers-too-large");
        const unknownRoute = await get("/nothing/%zz", {});
        expect(unknownRoute.status).to.equal(404);
        expect(unknownRoute.body).to.contain("unknown-route");
    });
});
