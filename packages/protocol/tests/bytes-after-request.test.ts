import { MemoryEventLog } from "@lentilramp/runtime";
import { expect } from "chai";
import { once } from "node:events";
import { connect } from "node:net";
import { defaultHttpServerOptions, HttpServer, readBody, sendJson } from "../src/index.ts";

const limitBytes = 1_000;
const request = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb";
const notRequests = [
    "not HTTP\r\n\r\n",
    "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n",
    "GET /x HTTP/1.1\r\n\r\n",
    "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nnot a chunk\r\n",
    `POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: ${2 * limitBytes}\r\n\r\n${"b".repeat(2 * limitBytes)}`,
    `GET /x HTTP/1.1\r\nHost: a\r\nA: ${"b".repeat(2 * defaultHttpServerOptions.maxHeaderBytes)}\r\n\r\n`,
];

describe("HttpServer with bytes after a request", () => {
    let server: HttpServer;
    let handled: number;
    let release: () => void;

    beforeEach(async () => {
        handled = 0;
        const released = new Promise<void>(resolve => release = resolve);
        server = new HttpServer({ ...defaultHttpServerOptions, host: "127.0.0.1", port: 0 }, new MemoryEventLog());
        server.route("POST", "/x", async (req, res) => {
            await readBody(req, limitBytes);
            handled++;
            await released;
            sendJson(res, 200, { ok: true });
        });
        await server.start();
    });

    afterEach(() => server.close());

    /** Sends the bytes, and reads until the server closes the connection. */
    async function send(bytes: string, onSent: () => Promise<void> = async () => undefined): Promise<string> {
        const socket = connect(server.address.port, server.address.host);
        let received = "";
        socket.setEncoding("latin1").on("data", (part: string) => received += part);
        socket.on("error", () => undefined);
        const closed = new Promise(resolve => socket.once("close", resolve));
        await once(socket, "connect");
        socket.write(bytes);
        await onSent();
        await closed;
        return received;
    }

    const turn = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 1));

    for (const bytes of notRequests) {
        // Guards against requests that have been handled and whose callers get no answer.
        it(`answers the requests before ${JSON.stringify(bytes.slice(0, 60))}`, async () => {
            const received = await send(request + request + bytes, async () => {
                while (handled < 2 && server.traffic.connections > 0) {
                    await turn();
                }
                release();
            });
            expect(received.match(/HTTP\/1\.1 200 /g)).to.have.length(2);
            expect(received.match(/HTTP\/1\.1 [45]/g)?.length ?? 0).to.be.at.most(1);
        });
    }

    // Guards against a close that a caller takes for the loss of a request that may have been handled.
    it("refuses a method for tunnels", async () => {
        const received = await send("CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n");
        expect(received).to.match(/^HTTP\/1\.1 400 [^]*"run":"not-run"/);
    });

    // Guards against a process that ends by the error of a connection that Node.js has given up.
    for (const before of ["", request]) {
        it(`goes on when a caller resets its connection behind such a method, ${before === "" ? 0 : 1} requests`, async () => {
            const socket = connect(server.address.port, server.address.host);
            socket.on("error", () => undefined);
            await once(socket, "connect");
            socket.write(`${before}CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\nmore`);
            while (handled < (before === "" ? 0 : 1)) {
                await turn();
            }
            await turn();
            socket.resetAndDestroy();
            while (server.traffic.connections > 0) {
                await turn();
            }
            release();
            expect(await send(`${request}bytes that are no request\r\n\r\n`)).to.match(/^HTTP\/1\.1 200 /);
        });
    }
});
