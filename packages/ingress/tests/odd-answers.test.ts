import type { CatalogRoute } from "@lentilramp/catalog";
import { expect } from "chai";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { IncomingMessage } from "node:http";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

describe("Relay with odd answers and requests", () => {
    let endpoint: ScriptedEndpoint | undefined;
    let ingress: IngressHarness | undefined;

    async function start(
        headers: Record<string, string>,
        status = 200,
        route: Partial<CatalogRoute> = {},
    ): Promise<IngressHarness> {
        endpoint = new ScriptedEndpoint("e1", sealed(status, "ok", headers));
        await endpoint.start();
        ingress = await IngressHarness.start(testCatalog({ routes: [testRoute(route)] }), [endpoint]);
        return ingress;
    }

    afterEach(async () => {
        endpoint?.close();
        await ingress?.close();
    });

    function answerWithInvalidName(): void {
        endpoint?.server.removeAllListeners("request");
        endpoint?.server.on("request", (req, res) => {
            res.socket?.end([
                "HTTP/1.1 200 OK",
                `X-Attempt-Id: ${String(req.headers["x-attempt-id"])}`,
                "X-Response-Seal: s",
                "X A: 1",
                "X-B: 2",
                "Content-Length: 9",
                "",
                "data: 1\n\n",
            ].join("\r\n"));
        });
    }

    // Guards against an exception in the listener of an answer's body, which ends the process, and against a success
    // whose head is no HTTP.
    for (const execution of ["idempotent", "stream"] as const) {
        it(`answers 502 when an answer on a route of the kind ${execution} has a header name with a space`, async () => {
            const harness = await start({}, 200, { execution });
            answerWithInvalidName();
            for (let i = 0; i < 2; i++) {
                const answer = await harness.call({});
                expect(answer).to.include({ status: 502, complete: true });
                expect(answer.headers).to.not.have.any.keys("x-response-seal", "x a", "x-b");
            }
            expect(harness.log.events.filter(({ name }) => name === "request.broken")).to.deep.equal([]);
        });
    }

    // Guards against a verdict that depends on the release of Node.js: older parsers accept a space in a header's name.
    it("answers 502 when the parser accepts an answer's header name with a space", async () => {
        const acceptName = (message: unknown): void => {
            (message as { response: IncomingMessage; }).response.rawHeaders.push("X A", "1");
        };
        const harness = await start({}, 200, { execution: "at-most-once" });
        subscribe("http.client.response.finish", acceptName);
        try {
            expect(await harness.call({})).to.include({ status: 502, complete: true });
            expect(endpoint?.requests).to.have.length(1);
        }
        finally {
            unsubscribe("http.client.response.finish", acceptName);
        }
    });

    // Guards against a request that may be repeated and fails because of one endpoint's malformed answer.
    it("asks another endpoint when an answer has a header name with a space", async () => {
        const harness = await start({}, 200, { execution: "idempotent" });
        answerWithInvalidName();
        const sound = new ScriptedEndpoint("e2", sealed(200, "ok"));
        await sound.start();
        harness.view.applyEndpointList([endpoint, sound].flatMap(e => e?.endpoint ?? []), harness.clock.now(), 1);
        try {
            for (let i = 0; i < 4; i++) {
                expect(await harness.call({})).to.include({ status: 200, body: "ok" });
            }
        }
        finally {
            sound.close();
        }
    });

    // Guards against a request that is sent and may run, although its caller has no time left.
    for (const timeout of ["0", "-5", "-1e300"]) {
        it(`refuses a request whose caller waits ${timeout} ms without sending it`, async () => {
            const harness = await start({}, 200, { execution: "at-most-once" });
            const answer = await harness.call({ headers: { "x-deadline-ms": timeout } });
            expect(answer).to.deep.include({ status: 503, body: `{"error":"no time left"}` });
            expect(endpoint?.requests).to.have.length(0);
        });
    }

    for (const timeout of ["1e300", "1e400", "2147483648", "NaN", "Infinity", "soon"]) {
        it(`relays a request whose caller waits "${timeout}" ms on a route with as long a timeout`, async () => {
            const harness = await start({}, 200, { timeoutMs: 1e300, firstByteTargetMs: 1e300 });
            expect((await harness.call({ headers: { "x-deadline-ms": timeout } })).status).to.equal(200);
        });
    }

    // Guards against a caller's connection that is closed without an answer, because the request cannot be written.
    for (const name of ["X A", "X-A ", ""]) {
        it(`answers 400 to a request with the header name "${name}" and does not send it`, async () => {
            const harness = await start({});
            const head = `GET /x HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key-1\r\nX-Attempt-Id: a\r\n${name}: 1\r\n`;
            const answer = await harness.sendRaw(`${head}X-B: 2\r\nConnection: close\r\n\r\n`);
            expect(answer.split("\r\n")[0]).to.equal("HTTP/1.1 400 Bad Request");
            expect(endpoint?.requests).to.have.length(0);
        });
    }

    // Guards against the end of the process: the idle time of a socket must be finite, and it is set in a listener.
    for (const seconds of ["9".repeat(400), "1000000000000", "0", "-5", "NaN", ""]) {
        it(`answers callers after an endpoint has announced the idle time "${seconds.slice(0, 20)}"`, async () => {
            const harness = await start({ "keep-alive": `timeout=${seconds}` });
            for (let i = 0; i < 3; i++) {
                expect(await harness.call({})).to.deep.include({ status: 200, body: "ok" });
            }
        });
    }
});
