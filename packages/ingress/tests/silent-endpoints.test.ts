import type { CatalogRoute } from "@lentilramp/catalog";
import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { type Answer, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

/** Silence of a sound endpoint, in milliseconds. */
const pauseMs = 1_300;
/** Silence after which a stream is moved if it can be, in milliseconds. */
const longPauseMs = 2_200;
const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];

/** Writes one event, falls silent, and goes on. A resumed stream begins after the event that the caller has. */
function pausingStream(forMs: number): Answer {
    return (req, res) => {
        res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
        const rest = events.slice(Number(req.headers["last-event-id"] ?? 0));
        res.write(rest.shift());
        const timer = setTimeout(() => res.end(rest.join("")), forMs);
        res.on("close", () => clearTimeout(timer));
    };
}

const answerAfterPause: Answer = (req, res, received) => {
    const timer = setTimeout(() => void sealed(200, "ok")(req, res, received), pauseMs);
    res.on("close", () => clearTimeout(timer));
};

describe("Relay with endpoints that fall silent and go on", () => {
    let endpoints: ScriptedEndpoint[] = [];
    let ingress: IngressHarness | undefined;

    async function start(answers: Answer[], route: Partial<CatalogRoute>): Promise<IngressHarness> {
        endpoints = answers.map((answer, i) => new ScriptedEndpoint(`e${i + 1}`, answer));
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        const routes = [testRoute({ timeoutMs: 8_000, ...route })];
        ingress = await IngressHarness.start(testCatalog({ routes }), endpoints);
        return ingress;
    }

    afterEach(async () => {
        await ingress?.close();
        endpoints.forEach(endpoint => endpoint.close());
        ingress = undefined;
        endpoints = [];
    });

    const countAttempts = (): number => endpoints.reduce((sum, { requests }) => sum + requests.length, 0);
    const headers = { "x-deadline-ms": "8000" };

    for (
        const [where, answers, maxAttempts] of [
            ["the only endpoint over a pause", [pausingStream(pauseMs)], 2],
            ["the only endpoint over a long pause", [pausingStream(longPauseMs)], 2],
            ["each of two endpoints over a pause", [pausingStream(pauseMs), pausingStream(pauseMs)], 2],
            ["each of two endpoints over a long pause", [pausingStream(longPauseMs), pausingStream(longPauseMs)], 2],
            ["the endpoint of the only attempt over a pause", [pausingStream(pauseMs), pausingStream(pauseMs)], 1],
        ] as const
    ) {
        // Guards against closing the caller's connection because a sound endpoint was silent for a second.
        it(`relays the whole stream of ${where}`, async () => {
            const route: Partial<CatalogRoute> = {
                execution: "stream",
                resumable: true,
                gapTargetMs: 300,
                maxAttempts,
            };
            const harness = await start([...answers], route);
            const answer = await harness.call({ method: "POST", body: "x", headers });
            expect(answer).to.include({ status: 200, body: events.join(""), complete: true });
        });
    }

    const refusal: Answer = (req, res) => {
        res.writeHead(503, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-not-executed": "1" }).end();
    };
    const noConnection: Answer = (req, res) => {
        void req;
        res.socket?.resetAndDestroy();
    };
    for (
        const [what, other] of [
            ["answers 500", sealed(500, "failed")],
            ["refuses it", refusal],
            ["closes its connection", noConnection],
        ] as const
    ) {
        // Guards against a stream that is cut although its endpoint goes on: it was left for another one, which failed.
        it(`returns to a stream that paused when the endpoint that was to resume it ${what}`, async () => {
            const isFirst = { left: true };
            const firstThenOther: Answer = (...args) => {
                const answer = isFirst.left ? pausingStream(longPauseMs) : other;
                isFirst.left = false;
                return answer(...args);
            };
            const harness = await start([firstThenOther, firstThenOther], {
                execution: "stream",
                resumable: true,
                gapTargetMs: 300,
                maxAttempts: 2,
            });
            const answer = await harness.call({ method: "POST", body: "x", headers });
            expect(answer).to.include({ status: 200, body: events.join(""), complete: true });
            expect(countAttempts()).to.be.at.least(2);
            while (harness.relay.requestsInFlight > 0) {
                await new Promise(resolve => setTimeout(resolve, 5));
            }
        });
    }

    // Guards against a 502 for a request with seconds of its time left, while its only endpoint is about to answer.
    it("waits for the answer to an idempotent request while no other endpoint could be asked", async () => {
        const harness = await start([answerAfterPause], {});
        expect(await harness.call({ headers })).to.include({ status: 200, body: "ok", complete: true });
        expect(countAttempts()).to.equal(1);
    });

    // Guards against waiting for a silent endpoint to the end while another one could answer.
    it("asks an endpoint that joins while the only one is silent", async () => {
        const harness = await start([() => undefined], {});
        const answer = harness.call({ headers: { "x-deadline-ms": "4000" } });
        const other = new ScriptedEndpoint("e2", sealed(200, "ok"));
        await other.start();
        endpoints.push(other);
        await new Promise(resolve => setTimeout(resolve, 600));
        harness.view.applyEndpointList(endpoints.map(({ endpoint }) => endpoint), harness.clock.now(), 2);
        expect(await answer).to.include({ status: 200, body: "ok" });
    });
});
