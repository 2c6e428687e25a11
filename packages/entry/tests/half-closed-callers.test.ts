import { PlainService } from "@lentilramp/stand-ins";
import { expect } from "chai";
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { v7 as newKey } from "uuid";
import { startAll, testConfiguration, TestEntry } from "./entry-harness.ts";
import { FakeClaims } from "./fake-claims.ts";

const chatPath = "/v1/chat/completions";
const reserve = "/v1/services/hire-app/reserve";

function chatBody(stream: boolean): string {
    return JSON.stringify({
        model: "desk-model",
        messages: [{ role: "user", content: "Draft a quote." }],
        max_tokens: 50,
        stream,
    });
}

function head(path: string, body: string, more = ""): string {
    return `POST ${path} HTTP/1.1\r\nHost: x\r\nX-Workspace: hire-desk\r\n${more}Content-Length: ${body.length}\r\n\r\n${body}`;
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** HTTP lets a caller close its sending side behind its request; nothing tells it from one that has left. */
describe("entry with callers that close their sending side", () => {
    let entry: TestEntry;
    let engine: Server;
    let atEngine: ServerResponse[];
    let services: PlainService[];

    beforeEach(async () => {
        atEngine = [];
        // Answers only when the test does.
        engine = createServer((req, res) => {
            req.resume();
            if (req.url === chatPath) {
                atEngine.push(res);
            }
            else {
                res.end("{}");
            }
        });
        engine.listen(0, "127.0.0.1");
        await once(engine, "listening");
        services = [new PlainService({ latencyMs: 200 })];
        const { port } = engine.address() as AddressInfo;
        entry = new TestEntry(
            testConfiguration([{ host: "127.0.0.1", port }], await startAll(services)),
            new FakeClaims().coordinator(),
        );
        await entry.start();
    });

    afterEach(async () => {
        await entry.close();
        await Promise.all(services.map(service => service.close()));
        engine.close();
        engine.closeAllConnections();
    });

    async function open(): Promise<{ socket: Socket; received: () => string; closed: Promise<unknown>; }> {
        const { host, port } = entry.http.address;
        const socket = connect(port, host);
        let text = "";
        socket.setEncoding("latin1").on("data", (part: string) => text += part);
        socket.on("error", () => undefined);
        const closed = new Promise(resolve => socket.once("close", resolve));
        await once(socket, "connect");
        return { socket, received: () => text, closed };
    }

    async function untilAtEngine(): Promise<ServerResponse> {
        while (atEngine.length === 0) {
            await sleep(5);
        }
        return atEngine[0] as ServerResponse;
    }

    // Guards against requests that get neither an answer nor a refusal.
    for (const stream of [true, false]) {
        it(`refuses a chat request that it does not send, stream ${stream}`, async () => {
            const { socket, received, closed } = await open();
            socket.end(head(chatPath, chatBody(stream)));
            await closed;
            expect(received()).to.match(/^HTTP\/1\.1 503 [^]*"type":"caller-closed"[^]*"run":"not-run"/);
            expect(atEngine).to.have.length(0);
        });

        // Guards against work at the engine that goes on for a caller that has left, and the same as above.
        it(`cancels a chat request at the engine and says that it may have run, stream ${stream}`, async () => {
            const { socket, received, closed } = await open();
            socket.write(head(chatPath, chatBody(stream)));
            const cancelled = once(await untilAtEngine(), "close");
            socket.end();
            await Promise.all([cancelled, closed]);
            expect(received()).to.match(/^HTTP\/1\.1 502 [^]*"type":"caller-closed"[^]*"run":"unknown"/);
            expect(atEngine).to.have.length(1);
            expect(entry.streams.size).to.equal(0);
        });
    }

    // Guards against a stream that ends early and looks complete.
    it("ends a stream that has begun with an error", async () => {
        const { socket, received, closed } = await open();
        socket.write(head(chatPath, chatBody(true)));
        const res = await untilAtEngine();
        res.writeHead(200, { "content-type": "text/event-stream" });
        res.write('id: 1\ndata: {"choices":[{"delta":{"content":"a"}}]}\n\n');
        while (!received().includes("id: 1")) {
            await sleep(5);
        }
        const cancelled = once(res, "close");
        socket.end();
        await Promise.all([cancelled, closed]);
        expect(received()).to.match(/event: error\ndata: [^\n]*"type":"caller-closed"[^\n]*"run":"partial"/);
        expect(received()).not.to.include("[DONE]");
    });

    // Guards against `partial` for an answer of which nothing was sent, so that nothing can be continued.
    it("says of a whole answer that an engine has begun that it may have run", async () => {
        const { socket, received, closed } = await open();
        socket.write(head(chatPath, chatBody(false)));
        const res = await untilAtEngine();
        res.writeHead(200, { "content-type": "text/event-stream" });
        res.write('id: 1\ndata: {"choices":[{"delta":{"content":"a"}}]}\n\n');
        while (entry.streams.ofWorkspace("hire-desk")[0]?.firstTokenMs === undefined) {
            await sleep(5);
        }
        const cancelled = once(res, "close");
        socket.end();
        await Promise.all([cancelled, closed]);
        expect(received()).to.match(/^HTTP\/1\.1 502 [^]*"type":"caller-closed"[^]*"run":"unknown"/);
    });

    // Guards against work that goes on for callers that have closed both sides or whose process has ended.
    for (
        const [name, leave] of [
            ["has closed both sides", socket => socket.destroy()],
            ["has reset its connection", socket => socket.resetAndDestroy()],
        ] as [string, (socket: Socket) => void][]
    ) {
        it(`cancels the work for a caller that ${name}, also behind another answer`, async () => {
            const { socket } = await open();
            socket.write(head(chatPath, chatBody(true)).repeat(2));
            while (atEngine.length < 2) {
                await sleep(5);
            }
            const cancelled = atEngine.map(res => once(res, "close"));
            leave(socket);
            await Promise.all(cancelled);
            while (entry.streams.size > 0 || entry.http.traffic.connections > 0) {
                await sleep(5);
            }
            expect(entry.http.traffic.inFlight).to.equal(0);
        });
    }

    it("answers a service call that has been sent, which is not cancelled", async () => {
        const { socket, received, closed } = await open();
        const key = newKey();
        socket.write(head(reserve, '{"lens":1}', `Idempotency-Key: ${key}\r\n`));
        while (entry.calls.byEndpoint.total === 0) {
            await sleep(2);
        }
        socket.end();
        await closed;
        expect(received()).to.match(/^HTTP\/1\.1 200 /);
        expect(services[0]?.executions(key)).to.equal(1);
    });

    // Guards against a key that its caller takes for spent although a later call with it may run.
    it("says of a service call that it does not send that its key is undecided", async () => {
        const { socket, received, closed } = await open();
        socket.end(head(reserve, '{"lens":1}', `Idempotency-Key: ${newKey()}\r\n`));
        await closed;
        expect(received()).to.match(/^HTTP\/1\.1 503 [^]*"type":"caller-closed"[^]*"run":"undecided"/);
    });
});
