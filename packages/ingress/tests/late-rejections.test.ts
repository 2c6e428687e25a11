import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { type Answer, type CallerAnswer, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

/** Silence before a rejection, in milliseconds; longer than the ingress waits before it asks another endpoint. */
const pauseMs = 1_500;
const rejects = sealed(503, "", { "x-not-executed": "1" });
const event = "id: 1\ndata: a\n\n";
const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
const rejectsAfter = (ms: number): Answer => async (...args) => {
    await sleep(ms);
    await rejects(...args);
};

describe("Relay with endpoints that are silent and then state that they have not run the request", () => {
    let endpoints: ScriptedEndpoint[] = [];
    let ingress: IngressHarness;

    async function start(answers: Answer[], { isEngine = true } = {}): Promise<void> {
        endpoints = answers.map((answer, i) => new ScriptedEndpoint(`e${i + 1}`, answer));
        for (const endpoint of endpoints) {
            await endpoint.start();
        }
        const engine = isEngine ? { slots: 4, kvCacheTokens: 10_000 } : undefined;
        ingress = await IngressHarness.start(
            testCatalog({
                routes: [testRoute({ execution: "stream", resumable: true, timeoutMs: 8_000, maxAttempts: 2 })],
                services: new Map([["app", { name: "app", connectionLimit: 96, engine, scaling: undefined }]]),
            }),
            endpoints.slice(0, 1),
            {},
            { retryRatio: 0, retryReserve: 20 },
        );
    }

    /** Sends a request to the first endpoint, before the others join. */
    async function call(deadlineMs = 8_000): Promise<CallerAnswer> {
        const answer = ingress.call({ method: "POST", body: "x", headers: { "x-deadline-ms": String(deadlineMs) } });
        while (endpoints[0]?.requests.length === 0) {
            await sleep(5);
        }
        ingress.view.applyEndpointList(endpoints.map(({ endpoint }) => endpoint), ingress.clock.now(), 2);
        return await answer;
    }

    afterEach(async () => {
        await ingress.close();
        endpoints.forEach(endpoint => endpoint.close());
    });

    const usage = (): number =>
        Object.values(ingress.view.usage.snapshot()).reduce((sum, counts) => sum + (counts.w ?? 0), 0);

    // Guards against a 502, which tells the caller that its request may have run, and against counting the request, when
    // all endpoints have stated that they have not run it.
    it("refuses a request that all endpoints reject, the silent one last", async () => {
        await start([rejectsAfter(pauseMs), rejects]);
        const { status, headers } = await call();
        expect(status).to.equal(503);
        expect(Number(headers["retry-after"])).to.be.above(0);
        expect(usage()).to.equal(0);
    });

    it("refuses a request that all endpoints reject, the silent one first", async () => {
        await start([rejectsAfter(1_000), rejectsAfter(pauseMs)]);
        expect((await call()).status).to.equal(503);
        expect(usage()).to.equal(0);
    });

    // Guards against a 502 while an endpoint could serve the request, as the attempts of the route count by runs.
    it("asks a third endpoint when one has failed and the silent one has not run the request", async () => {
        let asked = 0;
        const second: Answer = (...args) =>
            asked++ === 0 ? void args[1].socket?.resetAndDestroy() : sealed(200, event)(...args);
        await start([rejectsAfter(pauseMs), second, second]);
        expect(await call()).to.include({ status: 200, body: event, complete: true });
        expect(usage()).to.equal(1);
    });

    // Guards against a 503, after which a caller sends the request once more, when the silent endpoint may have run it.
    it("fails a request whose silent endpoint rejects a second attempt only, and counts it once", async () => {
        let asked = 0;
        const first: Answer = (...args) => asked++ === 0 ? undefined : rejects(...args);
        await start([first, rejectsAfter(pauseMs)], { isEngine: false });
        const { status, headers } = await call();
        expect(status).to.equal(502);
        expect(headers["retry-after"]).to.equal(undefined);
        expect(usage()).to.equal(1);
    });

    // Guards against a request that is not counted although a silent endpoint has begun to answer it.
    it("counts a request whose silent endpoint breaks its answer off before the first event", async () => {
        const breaksOff: Answer = async (req, res) => {
            await sleep(pauseMs);
            res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
            res.flushHeaders();
            await sleep(50);
            res.socket?.resetAndDestroy();
        };
        await start([breaksOff, rejects]);
        expect((await call()).status).to.equal(502);
        expect(usage()).to.equal(1);
    });

    // Guards against a request that is not counted although an endpoint may have run it until the deadline.
    it("counts a request once whose endpoints are silent until the deadline", async () => {
        await start([() => undefined, () => undefined]);
        expect((await call(2_500)).status).to.equal(504);
        expect(usage()).to.equal(1);
    });
});
