import type { CatalogRoute } from "@lentilramp/catalog";
import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { type Answer, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const post = (id: string, length: number): string =>
    `POST /x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: ${id}\r\nApi-Key: key-1\r\nX-Deadline-Ms: 8000\r\n`
    + `Content-Length: ${length}\r\n\r\n`;

describe("Relay with pipelined requests", () => {
    let endpoint: ScriptedEndpoint;
    let ingress: IngressHarness;

    async function start(answer: Answer, route: Partial<CatalogRoute> = {}): Promise<void> {
        endpoint = new ScriptedEndpoint("e1", answer);
        await endpoint.start();
        const routes = [testRoute({ timeoutMs: 8_000, ...route })];
        ingress = await IngressHarness.start(testCatalog({ routes }), [endpoint]);
    }

    afterEach(async () => {
        await ingress.close();
        endpoint.close();
    });

    async function until(condition: () => boolean, timeoutMs: number): Promise<boolean> {
        const giveUpAt = Date.now() + timeoutMs;
        while (!condition() && Date.now() < giveUpAt) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        return condition();
    }

    // Guards against a 400 in place of the answer to an earlier request of the connection, which has run: the bytes that
    // are no HTTP come within the body of the request after it.
    it("answers a request in progress before it refuses the malformed body of the next one", async () => {
        let release: () => void = () => undefined;
        const released = new Promise<void>(resolve => release = resolve);
        await start(async (req, res, received) => {
            await released;
            await sealed(200, "done")(req, res, received);
        }, { execution: "at-most-once" });
        const caller = await ingress.connect();
        caller.send(`${post("first", 1)}x`);
        expect(await until(() => endpoint.requests.length === 1, 2_000)).to.equal(true);
        caller.send(`${post("second", 1).replace("Content-Length: 1", "Transfer-Encoding: chunked")}not a length\r\n`);
        await new Promise(resolve => setTimeout(resolve, 100));
        release();
        await caller.closed();
        expect(caller.statuses[0]).to.equal(200);
    });

    // Guards against leaving that next request, whose head has been read, without an answer, and against reporting the
    // connection as cut for the first one.
    it("refuses a request with a malformed body after the answer to the one before", async () => {
        let release: () => void = () => undefined;
        const released = new Promise<void>(resolve => release = resolve);
        await start(async (req, res, received) => {
            await released;
            await sealed(200, "done")(req, res, received);
        }, { execution: "at-most-once" });
        const caller = await ingress.connect();
        const second = post("second", 1).replace("Content-Length: 1", "Transfer-Encoding: chunked");
        caller.send(`${post("first", 1)}x${second}not a length\r\n`);
        expect(await until(() => endpoint.requests.length === 1, 2_000)).to.equal(true);
        expect(await until(() => ingress.log.events.some(({ name }) => name === "caller.bad-request"), 2_000))
            .to.equal(true);
        release();
        await caller.receive(" 400 ");
        caller.disconnect();
        await caller.closed();
        expect(caller.statuses).to.deep.equal([200, 400]);
        expect(await until(() => ingress.relay.requestsInFlight === 0, 2_000)).to.equal(true);
        const cuts = ingress.log.events.filter(({ name }) => name === "caller.cut").map(({ fields }) => fields);
        expect(cuts).to.have.length(1);
        expect(cuts[0]).to.include({ id: "second", cause: "bad-request", error: "HPE_INVALID_CHUNK_SIZE" });
    });

    // Guards against work for a caller that has left: an answer that waits behind another one of its connection gets no
    // close event from Node.js.
    it("ends both of two pipelined requests when their caller leaves", async () => {
        await start(() => undefined, { execution: "at-most-once" });
        const caller = await ingress.connect();
        caller.send(`${post("first", 1)}x${post("second", 1)}x`);
        expect(await until(() => endpoint.requests.length === 2, 2_000)).to.equal(true);
        caller.disconnect();
        await until(() => ingress.relay.requestsInFlight === 0, 1_000);
        expect(ingress.relay.requestsInFlight).to.equal(0);
        expect(ingress.view.loads.localRunning("e1")).to.equal(0);
    });

    // Guards against work for a caller that has left: Node.js reports the close as an error of the parser when the bytes
    // after the request are no request, or a part of one.
    for (const bytes of ["not HTTP\r\n\r\n", "GET /x HTTP/1.1\r\nHost: de", post("second", 2)]) {
        it(`ends a request whose caller leaves after it has sent ${JSON.stringify(bytes.slice(0, 20))}`, async () => {
            await start(() => undefined, { execution: "at-most-once" });
            const caller = await ingress.connect();
            caller.send(`${post("first", 1)}x${bytes}`);
            expect(await until(() => endpoint.requests.length === 1, 2_000)).to.equal(true);
            caller.disconnect();
            await until(() => ingress.relay.requestsInFlight === 0, 1_000);
            expect(ingress.relay.requestsInFlight).to.equal(0);
            expect(ingress.view.loads.localRunning("e1")).to.equal(0);
        });
    }
});
