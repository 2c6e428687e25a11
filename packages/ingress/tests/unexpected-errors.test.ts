import type { CatalogRoute } from "@lentilramp/catalog";
import type { Endpoint } from "@lentilramp/fleet";
import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { ownHost } from "../../protocol/tests/loopback-net.ts";
import { type Answer, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const stream: Partial<CatalogRoute> = { execution: "stream", resumable: true, gapTargetMs: 100 };

describe("Relay with unexpected errors", () => {
    let endpoints: ScriptedEndpoint[] = [];
    let rawServer: Server | undefined;
    let ingress: IngressHarness | undefined;

    async function start(answers: Answer[], route: Partial<CatalogRoute>): Promise<IngressHarness> {
        endpoints = answers.map((answer, i) => new ScriptedEndpoint(`e${i + 1}`, answer));
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        ingress = await IngressHarness.start(testCatalog({ routes: [testRoute(route)] }), endpoints);
        return ingress;
    }

    /** Starts an endpoint that writes these bytes as the head of its answers, and the id of the request after them. */
    async function startRaw(head: () => string, body: string, route: Partial<CatalogRoute>): Promise<IngressHarness> {
        const harness = await start([sealed(200, "")], route);
        rawServer = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", data => {
                const id = /x-attempt-id: (\S+)/i.exec(data.toString("latin1"))?.[1] ?? "";
                socket.end(`${head()}\r\nX-Attempt-Id: ${id}\r\nX-Response-Seal: s\r\n\r\n${body}`, "latin1");
            });
        });
        rawServer.listen(0, ownHost);
        await once(rawServer, "listening");
        const { port } = rawServer.address() as AddressInfo;
        harness.view.applyEndpointList([{ ...endpoints[0]!.endpoint, id: "raw", port }], harness.clock.now() + 1, 2);
        return harness;
    }

    afterEach(async () => {
        await ingress?.close();
        endpoints.forEach(endpoint => endpoint.close());
        rawServer?.close();
        ingress = undefined;
        rawServer = undefined;
        endpoints = [];
    });

    const withPort = (port: number): Endpoint => ({ ...endpoints[0]!.endpoint, id: "odd", port });

    for (const execution of ["idempotent", "at-most-once", "stream"] as const) {
        // Guards against a connection that closes without a word because a send throws before anything is sent.
        it(`refuses a request whose send fails at once, ${execution}`, async () => {
            const harness = await start([sealed(200, "ok")], { execution });
            harness.view.applyEndpointList([withPort(99_999)], harness.clock.now(), 2);
            const { status, headers } = await harness.call({ method: "POST", body: "x" });
            expect(status).to.equal(503);
            expect(Number(headers["retry-after"])).to.be.above(0);
        });

        it(`sends a request elsewhere after a send that fails at once, ${execution}`, async () => {
            const harness = await start([sealed(200, "id: 1\ndata: ok\n\n")], { ...stream, execution });
            harness.view.applyEndpointList([withPort(99_999), endpoints[0]!.endpoint], harness.clock.now(), 2);
            for (let i = 0; i < 6; i++) {
                expect((await harness.call({ method: "POST", body: "x" })).status).to.equal(200);
            }
        });
    }

    // Guards against an exception in the listener of a socket, which ends the whole process.
    for (const [what, route] of [["plain", {}], ["stream", { execution: "stream" }], ["resumable", stream]] as const) {
        it(`relays an answer whose reason phrase holds a control character, ${what}`, async () => {
            const harness = await startRaw(() => "HTTP/1.1 200 O\x01K", "id: 1\ndata: a\n\n", route);
            const { status, body } = await harness.call({ method: "POST", body: "x" });
            expect({ status, body }).to.deep.equal({ status: 200, body: "id: 1\ndata: a\n\n" });
        });
    }

    it("answers each request whatever byte a reason phrase or a header of its answer holds", async () => {
        const bytes = Array.from({ length: 256 }, (...[, i]) => String.fromCharCode(i));
        const heads = bytes.flatMap(byte => [`HTTP/1.1 200 a${byte}b`, `HTTP/1.1 200 OK\r\nX-Odd: a${byte}b`]);
        heads.push(...["000", "099", "101", "199", "999", "1000", "20", "2x0"].map(code => `HTTP/1.1 ${code} OK`));
        let sent = 0;
        const harness = await startRaw(() => heads[sent++ % heads.length] ?? "", "id: 1\ndata: a\n\n", stream);
        harness.view.health.recordOutcome = () => false;
        while (sent < heads.length) {
            const { status } = await harness.call({ method: "POST", body: "x" });
            expect(status).to.be.oneOf([200, 502, 503, 999]);
        }
    });

    const fail = (message: string) => (): never => {
        throw new Error(message);
    };
    const countBroken = (harness: IngressHarness): number =>
        harness.log.events.filter(({ name }) => name === "request.broken").length;

    // Guards against a connection that closes without a word because of a fault of the ingress itself.
    it("answers 503 after an internal error before a request was sent", async () => {
        const harness = await start([sealed(200, "ok")], { execution: "at-most-once" });
        const { candidates } = harness.relay;
        harness.relay.candidates = fail("before the send");
        const { status, headers } = await harness.call({ method: "POST", body: "x" });
        expect(status).to.equal(503);
        expect(Number(headers["retry-after"])).to.be.above(0);
        harness.relay.candidates = candidates;
        harness.view.caps.tryUse = fail("at the admission");
        expect((await harness.call({ method: "POST", body: "x" })).status).to.equal(503);
        expect(endpoints[0]?.requests).to.have.length(0);
        expect(countBroken(harness)).to.equal(2);
    });

    it("answers 502 after an internal error once a request was sent, and ends it at the endpoint", async () => {
        const harness = await start([(req, res) => {
            res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
            res.write("a");
        }], { execution: "at-most-once" });
        harness.view.limits.recordAnswer = fail("after the send");
        expect((await harness.call({ method: "POST", body: "x" })).status).to.equal(502);
        await endpoints[0]?.requests[0]?.closed;
        expect(countBroken(harness)).to.equal(1);
    });

    // Guards against a request whose work ends without a word, so that its caller waits until it gives up.
    it("answers a request whose work ends without a word while its caller is there", async () => {
        const harness = await start([sealed(200, "ok")], { execution: "at-most-once" });
        harness.relay.queue("app").submit = (...[, , settle]) => {
            settle({ kind: "left" });
            return () => undefined;
        };
        const { status, headers } = await harness.call({ method: "POST", body: "x" });
        expect(status).to.equal(503);
        expect(Number(headers["retry-after"])).to.be.above(0);
        expect(countBroken(harness)).to.equal(1);
    });

    it("leaves an answer whole when an internal error follows it", async () => {
        const harness = await start([sealed(200, "ok")], {});
        harness.view.health.recordOutcome = fail("after the answer");
        expect(await harness.call({})).to.include({ status: 200, body: "ok", complete: true });
        expect(countBroken(harness)).to.equal(1);
    });

    it("answers 502 after an internal error outside the admission and the call", async () => {
        const harness = await start([sealed(200, "ok")], { execution: "at-most-once" });
        harness.relay.connections.onCallerEnd = fail("before the call");
        expect((await harness.call({ method: "POST", body: "x" })).status).to.equal(502);
        Object.defineProperty(harness.view, "ready", { get: fail("before the admission") });
        expect((await harness.call({ method: "POST", body: "x" })).status).to.equal(502);
        expect(countBroken(harness)).to.equal(2);
    });

    // Guards against a queue that is never looked at again because one of its requests fails.
    it("serves the requests that wait behind one that fails with an internal error", async () => {
        const slow: Answer = (req, res, received) =>
            void setTimeout(() => void sealed(200, "ok")(req, res, received), 60);
        const harness = await start([slow], { firstByteTargetMs: 2_000 });
        const { trackRequest } = harness.view.loads;
        let count = 0;
        harness.view.loads.trackRequest = (...args) =>
            ++count === 8 ? fail("in the turn of another request")() : trackRequest.apply(harness.view.loads, args);
        const ids = Array.from({ length: 14 }, (...[, i]) => `r${i}`);
        const answers = await Promise.all(ids.map(id => harness.call({ headers: { "x-attempt-id": id } })));
        expect(answers.map(({ status }) => status).sort()).to.deep.equal([...Array<number>(13).fill(200), 503]);
    });
});
