import type { CatalogRoute } from "@lentilramp/catalog";
import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { type Answer, type CallerAnswer, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

/** Silence of a sound endpoint, in milliseconds; longer than the time after which a stream or a call is moved. */
const pauseMs = 2_200;
const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];

const pausingStream: Answer = (req, res) => {
    res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
    const rest = events.slice(Number(req.headers["last-event-id"] ?? 0));
    res.write(rest.shift());
    const timer = setTimeout(() => res.end(rest.join("")), pauseMs);
    res.on("close", () => clearTimeout(timer));
};

const answerAfterPause: Answer = (req, res, received) => {
    const timer = setTimeout(() => void sealed(200, "ok")(req, res, received), pauseMs);
    res.on("close", () => clearTimeout(timer));
};

/** States that the request has not run, as an endpoint without a free place does. */
const reject: Answer = sealed(503, "", { "x-not-executed": "1" });

describe("Relay with a silent endpoint and one that rejects what is moved to it", () => {
    let endpoints: ScriptedEndpoint[] = [];
    let ingress: IngressHarness | undefined;

    /** Sends a request to the first endpoint; the second one joins once the first one has it. */
    async function callSilent(silent: Answer, second: Answer, route: Partial<CatalogRoute>): Promise<CallerAnswer> {
        endpoints = [new ScriptedEndpoint("e1", silent), new ScriptedEndpoint("e2", second)];
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        const [first] = endpoints;
        const routes = [testRoute({ timeoutMs: 8_000, ...route })];
        ingress = await IngressHarness.start(testCatalog({ routes }), first === undefined ? [] : [first]);
        const answer = ingress.call({ method: "POST", body: "x", headers: { "x-deadline-ms": "8000" } });
        while (first?.requests.length === 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        ingress.view.applyEndpointList(endpoints.map(({ endpoint }) => endpoint), ingress.clock.now(), 2);
        return await answer;
    }

    afterEach(async () => {
        await ingress?.close();
        endpoints.forEach(endpoint => endpoint.close());
        ingress = undefined;
        endpoints = [];
    });

    const stream: Partial<CatalogRoute> = { execution: "stream", resumable: true, gapTargetMs: 300 };

    // Guards against closing the caller's connection, with seconds of its time left, because an endpoint without a free
    // place rejected the rest of a stream that a sound endpoint would have continued.
    it("relays the whole stream when the other endpoint rejects its rest", async () => {
        const answer = await callSilent(pausingStream, reject, stream);
        expect(answer).to.include({ status: 200, body: events.join(""), complete: true });
    });

    it("relays the whole stream when the other endpoint has ended", async () => {
        const answer = await callSilent(pausingStream, (...[, res]) => void res.destroy(), {
            ...stream,
            maxAttempts: 3,
        });
        expect(answer).to.include({ status: 200, body: events.join(""), complete: true });
    });

    // Guards against a 502 with seconds of the caller's time left for a request that a sound endpoint had begun.
    it("answers an idempotent request when the other endpoint rejects it", async () => {
        const answer = await callSilent(answerAfterPause, reject, {});
        expect(answer).to.include({ status: 200, body: "ok", complete: true });
    });
});
