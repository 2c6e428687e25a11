import { defaultHttpServerOptions, HttpServer, readBody, sendJson } from "@lentilramp/protocol";
import { MemoryEventLog, SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import { connect } from "node:net";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const clients = 40;
const connectionsEach = 10;
const maxParts = 4;
const answer = "x".repeat(100_000);
const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const headers = "Host: desk.example\r\nX-Attempt-Id: a\r\nApi-Key: key-1\r\n";
const get = (more: string, line = "GET /x HTTP/1.1"): string => `${line}\r\n${more}\r\n`;
const chunked = (rest: string): string => `POST /x HTTP/1.1\r\n${headers}Transfer-Encoding: chunked\r\n\r\n${rest}`;
/** What a connection may carry: requests, and what is none or is not to be handled. */
const parts = [
    get(headers),
    get(headers, "HEAD /x HTTP/1.1"),
    get(headers, "OPTIONS * HTTP/1.1"),
    get(headers, "TRACE /x HTTP/1.1"),
    get(headers, "GET /x HTTP/1.0"),
    get(headers, "GET http://desk.example/x HTTP/1.1"),
    get(headers, "GET /%zz HTTP/1.1"),
    get(headers, "POST /x RTSP/1.0"),
    get(headers, "CONNECT desk.example:1 HTTP/1.1"),
    get(""),
    get(`${headers}Connection: close\r\n`),
    get(`${headers}Connection: Upgrade\r\nUpgrade: websocket\r\n`),
    get(`${headers}Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n`),
    get(`${headers}Expect: other\r\n`),
    get(`${headers}A: ${"b".repeat(70_000)}\r\n`),
    `POST /x HTTP/1.1\r\n${headers}Content-Length: 4\r\n\r\nbody`,
    `POST /x HTTP/1.1\r\n${headers}Content-Length: 4\r\nExpect: 100-continue\r\n\r\n`,
    `POST /x HTTP/1.1\r\n${headers}Content-Length: 99999999999\r\n\r\n`,
    `POST /x HTTP/1.1\r\n${headers}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
    chunked("3\r\nabc\r\n0\r\n\r\n"),
    chunked("3\r\nabc\r\n0\r\nTrailer: a\r\n\r\n"),
    chunked("ffffffffffff\r\n"),
    chunked(`5;${"e".repeat(20_000)}`),
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "not HTTP\r\n\r\n",
    "\r\n\r\n",
    "\0\0\0",
];

/** Opens one connection, writes up to `maxParts` parts to it, and closes it in one of four ways. */
async function connectOnce(port: number, random: SeededRandom): Promise<void> {
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    socket.on("error", () => undefined);
    if (random.next() < 0.7) {
        socket.resume();
    }
    for (let left = 1 + random.nextInt(maxParts); left > 0; left--) {
        socket.write(parts[random.nextInt(parts.length)] ?? "");
        if (random.next() < 0.5) {
            await sleep(10 * random.next());
        }
    }
    await sleep(40 * random.next());
    const end = random.nextInt(4);
    if (end === 0) {
        socket.end();
        await sleep(50);
    }
    else if (end === 1) {
        await sleep(200);
    }
    if (end === 2) {
        socket.destroy();
    }
    else {
        socket.resetAndDestroy();
    }
}

// Guards against a process that ends by an error that nothing catches, and against requests that stay open, whatever a
// connection carries and however it ends.
describe("Servers with random bytes of untrusted clients", () => {
    for (const seed of [1, 2]) {
        it(`answer an ordinary request afterwards, seed ${seed}`, async () => {
            const random = new SeededRandom(seed);
            const endpoint = new ScriptedEndpoint("e1", async (req, res, received) => {
                await sleep(20 * random.next());
                await sealed(200, answer)(req, res, received);
            });
            await endpoint.start();
            const ingress = await IngressHarness.start(testCatalog({ routes: [testRoute({ timeoutMs: 1_500 })] }), [
                endpoint,
            ]);
            const server = new HttpServer(
                { ...defaultHttpServerOptions, host: "127.0.0.1", port: 0 },
                new MemoryEventLog(),
            );
            for (const method of ["GET", "POST"]) {
                server.route(method, "/x", async (req, res) => {
                    await readBody(req, 1_000);
                    await sleep(10 * random.next());
                    sendJson(res, 200, { answer });
                });
            }
            await server.start();
            try {
                const { callers, readiness } = ingress.options;
                const ports = [callers.port, readiness.port, server.address.port];
                await Promise.all(Array.from({ length: clients }, async () => {
                    for (let i = 0; i < connectionsEach; i++) {
                        await connectOnce(ports[random.nextInt(ports.length)] ?? 0, random);
                    }
                }));
                expect((await ingress.call({})).status).to.equal(200);
                const inner = await fetch(`http://127.0.0.1:${server.address.port}/x`);
                expect(await inner.json()).to.deep.equal({ answer });
                while (ingress.relay.requestsInFlight + server.traffic.inFlight > 0) {
                    await sleep(10);
                }
            }
            finally {
                await ingress.close();
                await server.close();
                endpoint.close();
            }
        });
    }
});
