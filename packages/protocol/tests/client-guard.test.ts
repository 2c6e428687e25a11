import { MemoryEventLog, MemoryMetrics, SystemClock } from "@lentilramp/runtime";
import { expect } from "chai";
import { once } from "node:events";
import { Agent, type IncomingMessage, request } from "node:http";
import { connect, type Socket } from "node:net";
import { z } from "zod";
import {
    ClientGuard,
    type ClientLimits,
    defaultClientLimits,
    defaultHttpServerOptions,
    HttpServer,
    ProcessKey,
    readBody,
    RpcServer,
    sendJson,
} from "../src/index.ts";

const bodyLimitBytes = 4_194_304;
const chunk = `8000\r\n${"x".repeat(0x80_00)}\r\n`;
const bodyHead = "POST /body HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

const key = new ProcessKey("a key of this test alone");

describe("ClientGuard", function() {
    this.timeout(30_000);
    let server: HttpServer;
    let guard: ClientGuard;
    let metrics: MemoryMetrics;
    let mostInHand: number;
    let sockets: Socket[];

    const start = async (limits: Partial<ClientLimits> = {}): Promise<void> => {
        const log = new MemoryEventLog();
        metrics = new MemoryMetrics();
        guard = new ClientGuard({ clock: new SystemClock(), log, metrics }, { ...defaultClientLimits, ...limits });
        server = new HttpServer(
            { ...defaultHttpServerOptions, host: "127.0.0.1", port: 0 },
            log,
            guard,
        );
        let inHand = 0;
        mostInHand = 0;
        sockets = [];
        server.route("POST", "/body", async (req, res) => {
            const body = await readBody(req, bodyLimitBytes);
            sendJson(res, 200, { bytes: body.length });
        });
        server.route("POST", "/late", async (req, res) => {
            await new Promise(resolve => setTimeout(resolve, 50));
            const body = await readBody(req, bodyLimitBytes);
            sendJson(res, 200, { bytes: body.length });
        });
        server.route("GET", "/slow", async (req, res) => {
            req.resume();
            mostInHand = Math.max(mostInHand, ++inHand);
            await new Promise(resolve => setTimeout(resolve, 50));
            inHand--;
            sendJson(res, 200, {});
        });
        server.route("POST", "/hold", async (req, res) => {
            const body = await readBody(req, bodyLimitBytes);
            await new Promise(resolve => setTimeout(resolve, 5_000));
            sendJson(res, 200, { bytes: body.length });
        });
        server.route("GET", "/long", async (req, res) => {
            req.resume();
            await new Promise(resolve => setTimeout(resolve, 6_000));
            sendJson(res, 200, {});
        });
        const rpc = new RpcServer(key, log);
        rpc.method("size", z.string(), async text => text.length);
        rpc.attach(server);
        await server.start();
    };

    afterEach(async () => {
        sockets.forEach(socket => socket.destroy());
        await server.close();
    });

    const open = (): Socket => {
        const socket = connect(server.address.port, "127.0.0.1");
        socket.on("error", () => undefined);
        sockets.push(socket);
        return socket;
    };
    /** Sends bytes and resolves with what comes until `isEnough` holds or the connection closes. */
    const receive = async (bytes: string, isEnough: (text: string) => boolean): Promise<string> => {
        const socket = open();
        let text = "";
        const closed = once(socket, "close");
        const enough = new Promise<void>(resolve =>
            socket.setEncoding("utf8").on("data", (part: string) => {
                text += part;
                if (isEnough(text)) {
                    resolve();
                }
            })
        );
        socket.write(bytes);
        await Promise.race([closed, enough]);
        return text;
    };
    const post = async (bytes: number, agent: Agent | false = false): Promise<number> => {
        const req = request({ ...server.address, path: "/body", method: "POST", agent });
        req.end(Buffer.alloc(bytes, "x"));
        const [res] = await once(req, "response") as [IncomingMessage];
        res.resume();
        await once(res, "end");
        return res.statusCode ?? 0;
    };
    const countOf = (text: string, part: string): number => text.split(part).length - 1;

    // Guards against bounds that an ordinary client reaches.
    it("answers 100 requests that are sent ahead on one connection, in their order", async () => {
        await start({ memoryBytes: 250_000_000 });
        const head = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n";
        const text = await receive(head.repeat(100), received => countOf(received, "200 OK") === 100);
        expect(countOf(text, "200 OK")).to.equal(100);
        // Those whose answers are being sent are in hand too, so that the handler sees fewer than the bound.
        expect(mostInHand).to.be.within(9, defaultClientLimits.pipelinedRequests);
    });

    it("answers the largest body of a single client, whatever the memory", async () => {
        await start({ memoryBytes: 1_000_000 });
        expect(await post(bodyLimitBytes)).to.equal(200);
        expect(guard.use.bytes).to.be.below(100_000);
    });

    it("reads a body that comes slowly and in small parts on a kept connection", async () => {
        await start();
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        for (const bytes of [9_000, 55_000, 1, 200_000]) {
            expect(await post(bytes, agent)).to.equal(200);
        }
        agent.destroy();
        const socket = open();
        socket.write(bodyHead);
        for (let i = 0; i < 10; i++) {
            await new Promise(resolve => setTimeout(resolve, 50));
            socket.write("3\r\n\r\n\r\r\n");
        }
        socket.write("0\r\n\r\n");
        const [answer] = await once(socket, "data") as [Buffer];
        expect(answer.toString()).to.include('{"bytes":30}');
    });

    // Guards against a process that ends: a body gets its reader late while an ingress waits for its first catalog, and
    // what was put back into the socket that Node.js had resumed came again until the stack overflowed.
    it("reads a body whose reader begins after its first part has arrived", async () => {
        await start();
        const body = bodyHead.replace("/body", "/late") + chunk.repeat(10) + "0\r\n\r\n";
        expect(await receive(body, text => text.includes("bytes"))).to.include('{"bytes":327680}');
    });

    // Guards against requests in hand whose connection is closed because a later request on it waits for memory.
    it("answers all requests that were sent ahead while they fill the memory", async () => {
        await start({ memoryBytes: 1_000_000 });
        const heads = "GET /long HTTP/1.1\r\nHost: h\r\n\r\n".repeat(2);
        const texts = await Promise.all(
            Array.from({ length: 24 }, () => receive(heads, text => countOf(text, "200 OK") === 2)),
        );
        expect(texts.map(text => countOf(text, "200 OK"))).to.deep.equal(texts.map(() => 2));
    });

    // Guards against a request in hand whose connection is closed some time after a later body on it was refused.
    it("answers a request that takes longer than the time for which a refused connection stays open", async () => {
        await start({ bodyGraceMs: 300 });
        const heads = "GET /long HTTP/1.1\r\nHost: h\r\n\r\n" + bodyHead + chunk;
        const text = await receive(heads, received => received.includes(" 408 "));
        expect(text).to.match(/^HTTP\/1.1 200 /);
        expect(text).to.include("HTTP/1.1 408 ");
    });

    // Guards against unfinished bodies that together take the memory of the process.
    it("refuses unfinished bodies for others, with 503 and a retry delay, and answers the others", async () => {
        await start({ memoryBytes: 16_000_000 });
        const attackers = Array.from({ length: 10 }, () => receive(bodyHead + chunk.repeat(10), () => false));
        const statuses = await Promise.all(Array.from({ length: 4 }, () => post(300_000)));
        expect(statuses).to.include(200);
        await new Promise(resolve => setTimeout(resolve, 1_500));
        expect(await post(300_000)).to.equal(200);
        expect(guard.use.bytes).to.be.below(4_000_000);
        sockets.forEach(socket => socket.end());
        // The end of the sending side within a body is answered with 400.
        const refusals = (await Promise.all(attackers)).filter(text => text !== "" && !text.includes(" 400 "));
        expect(refusals.length).to.be.above(0);
        refusals.forEach(text => {
            expect(text).to.match(/^HTTP\/1.1 503 /);
            expect(text).to.match(/\r\nretry-after: 0.500\r\n/i);
            expect(text).to.include('"run":"not-run"');
        });
    });

    /** What a client has got that sent its whole request at once, and whether all of it had left the client by then. */
    interface WholeRequest {
        isSent: boolean;
        text: string;
        error: string | undefined;
    }

    /** Sends a whole request and resolves once the connection has closed or the answer is complete. */
    const sendWhole = async (chunks: number): Promise<WholeRequest> => {
        const seen: WholeRequest = { isSent: false, text: "", error: undefined };
        const socket = open();
        socket.on("error", (err: NodeJS.ErrnoException) => seen.error = err.code);
        // Bodies in small chunks are read by turns, so that they wait for each other.
        const small = `64\r\n${"x".repeat(100)}\r\n`.repeat(chunks);
        socket.write(`${bodyHead}${small}0\r\n\r\n`, () => seen.isSent = true);
        const closed = once(socket, "close").catch(() => undefined);
        const answered = new Promise<void>(resolve =>
            socket.setEncoding("utf8").on("data", (part: string) => {
                seen.text += part;
                if (seen.text.endsWith("}")) {
                    resolve();
                }
            })
        );
        await Promise.race([closed, answered]);
        // Some systems take back what has not been read when the connection is reset.
        socket.end();
        await closed;
        return seen;
    };
    const unread = (all: readonly WholeRequest[]): WholeRequest[] =>
        all.filter(({ isSent, text, error }) =>
            isSent && (error !== undefined || !/^HTTP\/1.1 (200|503) [^]*\}$/.test(text))
        );

    // Guards against refusals that are lost: the connection was chosen again, and reset, before its 503 was written, or
    // closed with unread bytes right after it.
    it("lets clients that have sent their whole requests read the refusal while bodies wait for each other", async () => {
        await start({ memoryBytes: 16_000_000 });
        const all = await Promise.all(Array.from({ length: 60 }, () => sendWhole(3_000)));
        expect(all.filter(({ isSent }) => isSent).length).to.be.above(10);
        expect(all.filter(({ text }) => text.startsWith("HTTP/1.1 503 ")).length).to.be.above(0);
        expect(unread(all)).to.deep.equal([]);
    });

    it("lets clients that have sent their whole requests read the refusal while running requests hold the memory", async () => {
        await start({ memoryBytes: 16_000_000 });
        const head = `POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: ${bodyLimitBytes}\r\n\r\n`;
        open().write(Buffer.concat([Buffer.from(head), Buffer.alloc(bodyLimitBytes, "x")]));
        const all = await Promise.all(Array.from({ length: 4 }, () => sendWhole(12_000)));
        expect(all.filter(({ isSent }) => isSent)).to.have.length(4);
        expect(unread(all)).to.deep.equal([]);
        expect(all.filter(({ text }) => text.startsWith("HTTP/1.1 503 ")).length).to.be.above(0);
    });

    it("lets clients that have sent their whole requests read the refusal of new bodies", async () => {
        await start({ memoryBytes: 16_000_000 });
        // Small unfinished bodies fill the memory up to the level at which new ones are refused.
        Array.from({ length: 60 }, () => open().write(bodyHead + chunk.repeat(2)));
        await new Promise(resolve => setTimeout(resolve, 300));
        const all = await Promise.all(Array.from({ length: 40 }, () => sendWhole(3_000)));
        expect(all.filter(({ text }) => text.startsWith("HTTP/1.1 503 ")).length).to.be.above(0);
        expect(unread(all)).to.deep.equal([]);
    });

    // Guards against a refusal that is lost to a client that reads only once it has sent its request: the connection was
    // closed while it was sending.
    it("takes the rest of a refused body, so that a client that reads afterwards gets the refusal", async () => {
        await start({ memoryBytes: 16_000_000 });
        Array.from({ length: 60 }, () => open().write(bodyHead + chunk.repeat(2)));
        await new Promise(resolve => setTimeout(resolve, 300));
        const socket = open();
        socket.pause();
        const head = `POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: ${bodyLimitBytes}\r\n\r\n`;
        socket.write(head);
        let text = "";
        const closed = once(socket, "close").catch(() => undefined);
        for (let sent = 0; sent < bodyLimitBytes && !socket.destroyed; sent += 0x1_00_00) {
            await new Promise<void>(resolve => socket.write(Buffer.alloc(0x1_00_00, "x"), () => resolve()));
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        socket.setEncoding("utf8").on("data", (part: string) => text += part);
        socket.resume();
        await closed;
        expect(text).to.match(/^HTTP\/1.1 503 [^]*\}$/);
    });

    // Guards against clients that keep a connection with a body that never ends.
    it("refuses a body that is too slow after the grace period with 408", async () => {
        await start({ bodyGraceMs: 300 });
        const text = await receive(bodyHead + chunk, () => false);
        expect(text).to.match(/^HTTP\/1.1 408 /);
        expect(metrics.values.get("client_limits")).to.be.above(0);
    });

    const callBody = JSON.stringify({ jsonrpc: "2.0", id: 1, method: "size", params: "x".repeat(300_000) });
    /** Calls a method as another process does; resolves with the status, or with the error of the connection. */
    const call = async (agent: Agent | false = false): Promise<number | string> =>
        await new Promise(resolve => {
            const headers = { authorization: key.authorization() };
            const req = request({ ...server.address, path: "/rpc", method: "POST", agent, headers }, res => {
                res.resume().on("end", () => resolve(res.statusCode ?? 0));
            });
            req.on("error", (err: NodeJS.ErrnoException) => resolve(err.code ?? err.message));
            // Small parts, so that the body is read in many pieces.
            for (let i = 0; i < callBody.length; i += 1_000) {
                req.write(callBody.slice(i, i + 1_000));
            }
            req.end();
        });

    // Guards against calls between processes that are refused for the memory that callers of the same server hold.
    it("does not bound a call with the process key while clients hold the memory", async () => {
        await start({ memoryBytes: 1_000_000 });
        Array.from({ length: 40 }, () => open().write(bodyHead + chunk));
        await new Promise(resolve => setTimeout(resolve, 200));
        expect(await call()).to.equal(200);
    });

    // Guards against clients that hold as much as they like because they come to the address for other processes.
    it("bounds clients without the process key where processes call", async () => {
        await start({ memoryBytes: 1_000_000 });
        const head = bodyHead.replace("/body", "/rpc");
        Array.from({ length: 60 }, () => open().write(head + chunk));
        Array.from(
            { length: 60 },
            () => open().write(head.replace("Host", "Authorization: Bearer wrong\r\nHost") + chunk),
        );
        await new Promise(resolve => setTimeout(resolve, 3_000));
        expect(guard.use.bytes).to.be.below(250_000);
        expect(await call()).to.equal(200);
    });

    // Guards against clients without the key whose new connections close those of other processes.
    it("keeps idle connections of other processes open while clients take the connections", async () => {
        await start({ descriptors: 20 });
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        expect(await call(agent)).to.equal(200);
        const [kept] = Object.values(agent.freeSockets).flat();
        await new Promise(resolve => setTimeout(resolve, 1_200));
        Array.from({ length: 40 }, open);
        await new Promise(resolve => setTimeout(resolve, 1_200));
        Array.from({ length: 40 }, open);
        await new Promise(resolve => setTimeout(resolve, 200));
        expect(kept?.destroyed).to.equal(false);
        expect(await call(agent)).to.equal(200);
        agent.destroy();
    });

    // Guards against clients that take all descriptors.
    it("closes idle connections for new ones at the bound, and answers these", async () => {
        await start({ descriptors: 20 });
        Array.from({ length: 40 }, open);
        await new Promise(resolve => setTimeout(resolve, 1_200));
        expect(await post(10)).to.equal(200);
        expect(guard.use.connections).to.be.at.most(12);
    });

    // Guards against requests that Node.js answers itself, before they are counted.
    it("counts requests without a host or with an unknown expectation, and refuses them", async () => {
        await start();
        expect(await receive("GET /slow HTTP/1.1\r\n\r\n", () => false)).to.match(/^HTTP\/1.1 400 /);
        const head = "GET /slow HTTP/1.1\r\nHost: h\r\nExpect: x\r\n\r\n";
        const text = await receive(head.repeat(3), received => countOf(received, " 417 ") === 3);
        expect(countOf(text, " 417 ")).to.equal(3);
    });
});
