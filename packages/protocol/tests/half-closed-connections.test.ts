import { MemoryEventLog, SystemClock } from "@lentilramp/runtime";
import { expect } from "chai";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import {
    CallerPresence,
    ClientGuard,
    defaultClientLimits,
    defaultHttpServerOptions,
    HttpServer,
    PollBarrier,
    readBody,
    sendJson,
    unreadAnswerTimeoutMs,
} from "../src/index.ts";

const largeBytes = 12_000_000;
const post = (path: string): string => `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb`;
const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

describe("HttpServer with half-closed connections", function() {
    this.timeout(40_000);
    let server: HttpServer;
    let guard: ClientGuard;
    let log: MemoryEventLog;
    let sockets: Socket[];
    let held: ServerResponse[];
    let left: number;

    beforeEach(async () => {
        log = new MemoryEventLog();
        guard = new ClientGuard({ clock: new SystemClock(), log }, defaultClientLimits);
        server = new HttpServer({ ...defaultHttpServerOptions, host: "127.0.0.1", port: 0 }, log, guard);
        sockets = [];
        held = [];
        left = 0;
        const pollBarrier = new PollBarrier();
        server.route("POST", "/short", async (req, res) => {
            await readBody(req, 10);
            await sleep(20);
            sendJson(res, 200, { ok: true });
        });
        server.route("POST", "/large", async (req, res) => {
            await readBody(req, 10);
            res.writeHead(200, { "content-length": largeBytes });
            res.end(Buffer.alloc(largeBytes, "x"));
        });
        server.route("POST", "/held", async (req, res) => {
            await readBody(req, 10);
            held.push(res);
            await new Promise<void>(resolve => {
                new CallerPresence(req, res, pollBarrier).onLeave(() => {
                    left++;
                    sendJson(res, 502, {});
                    resolve();
                });
                res.once("finish", resolve);
            });
        });
        await server.start();
    });

    afterEach(async () => {
        sockets.forEach(socket => socket.destroy());
        await server.close();
    });

    const open = async (): Promise<Socket> => {
        const socket = connect({ ...server.address, allowHalfOpen: true });
        socket.on("error", () => undefined);
        sockets.push(socket);
        await once(socket, "connect");
        return socket;
    };
    const readAll = async (socket: Socket): Promise<string> => {
        let text = "";
        socket.setEncoding("latin1").on("data", (part: string) => text += part);
        await once(socket, "end");
        socket.end();
        return text;
    };
    const untilHeld = async (count: number): Promise<void> => {
        while (held.length < count) {
            await sleep(5);
        }
    };
    const statusesOf = (text: string): string[] =>
        [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, code]) => code ?? "");

    // Guards against requests that are received whole and get no answer, or get it out of order.
    it("answers each of the requests that were sent before the close, and then closes", async () => {
        const socket = await open();
        socket.end(post("/short").repeat(12));
        expect(statusesOf(await readAll(socket))).to.deep.equal(Array(12).fill("200"));
        while (guard.use.connections > 0) {
            await sleep(5);
        }
        expect(guard.use.bytes).to.equal(0);
    });

    // Guards against descriptors that are held for clients that have nothing to expect.
    it("closes at once where no answer is due", async () => {
        for (const before of ["", post("/short")]) {
            const socket = await open();
            const received = readAll(socket);
            if (before !== "") {
                socket.write(before);
                await once(socket, "data");
            }
            socket.end();
            await received;
            expect(server.traffic.connections).to.be.at.most(1);
            while (server.traffic.connections > 0) {
                await sleep(5);
            }
        }
    });

    // Guards against work that goes on for callers that have left, also for those behind another answer.
    for (
        const [name, leave] of [
            ["closes its sending side", socket => socket.end()],
            ["closes both sides", socket => socket.destroy()],
            ["resets its connection", socket => socket.resetAndDestroy()],
        ] as [string, (socket: Socket) => void][]
    ) {
        it(`tells each request in hand once when its caller ${name}`, async () => {
            const socket = await open();
            socket.write(post("/held").repeat(3));
            await untilHeld(3);
            expect(left).to.equal(0);
            leave(socket);
            while (left < 3 || guard.use.connections > 0) {
                socket.resume();
                await sleep(5);
            }
            expect(left).to.equal(3);
            expect(server.traffic.inFlight).to.equal(0);
            expect(guard.use.bytes).to.equal(0);
        });
    }

    it("tells nothing after the answer", async () => {
        const socket = await open();
        socket.write(post("/held"));
        await untilHeld(1);
        sendJson(held[0] as ServerResponse, 200, {});
        await once(socket, "data");
        socket.destroy();
        await sleep(50);
        expect(left).to.equal(0);
    });

    // Guards against a refusal that is taken for the answer that is due, or for a part of it, and against answers that are
    // cut by it.
    for (
        const [name, rest] of [["within a head", "POST /sho"], ["within a body", post("/short").slice(0, -1)]] as const
    ) {
        it(`answers the whole requests of a client that closes its sending side ${name}`, async () => {
            const socket = await open();
            socket.end(post("/large") + post("/short") + rest);
            const statuses = statusesOf(await readAll(socket));
            expect(statuses.slice(0, 2)).to.deep.equal(["200", "200"]);
            // The part of a head is refused only if it is read when no answer is due any more.
            expect(statuses.slice(2)).to.be.deep.oneOf(name === "within a body" ? [["400"]] : [[], ["400"]]);
            while (guard.use.connections > 0 || server.traffic.inFlight > 0) {
                await sleep(5);
            }
        });
    }

    it("sends no refusal behind the last answer for a part of a head that was read before it", async () => {
        for (
            const [rest, statuses] of [["POST /sho", ["502"]], [post("/short").slice(0, -1), ["502", "400"]]] as const
        ) {
            const socket = await open();
            held.length = 0;
            // Answered with 502 once the close of the sending side has been read.
            socket.write(post("/held") + rest);
            await untilHeld(1);
            socket.end();
            expect(statusesOf(await readAll(socket))).to.deep.equal(statuses);
        }
    });

    it("refuses a request that ends within its body or its head", async () => {
        for (const rest of ["POST /sho", post("/short").slice(0, -1)]) {
            const socket = await open();
            socket.end(rest);
            expect(statusesOf(await readAll(socket))).to.deep.equal(["400"]);
        }
    });

    // Guards against descriptors that are held for clients that do not close their side after a refusal.
    for (
        const [name, bytes] of [
            ["no request", "no request\r\n\r\n"],
            ["a malformed body", "POST /short HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n"],
        ] as const
    ) {
        it(`closes a connection some time after the refusal of ${name}`, async () => {
            const socket = await open();
            let text = "";
            socket.setEncoding("latin1").on("data", (part: string) => text += part);
            socket.write(bytes);
            await once(socket, "end");
            expect(statusesOf(text)).to.deep.equal(["400"]);
            // The time for which a refusal can be read is 5 s.
            await sleep(6_000);
            expect(server.traffic).to.include({ connections: 0, inFlight: 0 });
            expect(guard.use).to.include({ bytes: 0, connections: 0 });
        });
    }

    // Guards against an unread answer that is held for ever, since a request behind it never ends.
    it("closes a connection whose caller does not read an answer and sends a part of a request", async () => {
        const socket = await open();
        socket.pause();
        socket.write(post("/large") + post("/short").slice(0, -1));
        await sleep(unreadAnswerTimeoutMs + 2_000);
        expect(server.traffic.connections).to.equal(0);
        expect(server.traffic.inFlight).to.equal(0);
    });

    // Guards against a half-closed connection that holds its answer and a descriptor for ever, and against the same for
    // an open one.
    it("closes a connection whose caller does not read, half-closed or open, some time after the answer", async () => {
        const [halfClosed, idle] = [await open(), await open()];
        halfClosed.pause();
        halfClosed.end(post("/large"));
        idle.pause();
        idle.write(post("/large"));
        await sleep(unreadAnswerTimeoutMs - 1_000);
        expect(server.traffic.connections).to.equal(2);
        await sleep(3_000);
        expect(server.traffic.connections).to.equal(0);
        expect(guard.use).to.include({ bytes: 0, connections: 0 });
        expect(log.events.filter(({ name }) => name === "http.answer-unread")).to.have.length(2);
    });

    // Guards against an answer that is lost to a caller that goes on reading: at this rate the system takes bytes from
    // the process only each 14 s or so.
    it("sends the whole answer to a half-closed caller that reads 100 KB a second", async () => {
        const socket = await open();
        socket.pause();
        socket.end(post("/large"));
        let received = 0;
        const take = (): void => {
            received += (socket.read(10_000) as Buffer | null ?? socket.read() as Buffer | null)?.length ?? 0;
        };
        socket.on("readable", () => undefined);
        for (const until = Date.now() + 18_000; Date.now() < until;) {
            take();
            await sleep(100);
        }
        expect(received).to.be.below(4_000_000);
        expect(server.traffic.connections).to.equal(1);
        const ended = once(socket, "end");
        socket.removeAllListeners("readable").on("data", part => received += part.length);
        socket.resume();
        await ended;
        expect(received).to.be.above(largeBytes);
    });
});
