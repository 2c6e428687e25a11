import type { Catalog } from "@lentilramp/catalog";
import type { IngressOptions } from "@lentilramp/ingress";
import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const halfRequest = "POST /x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: a\r\nApi-Key: key-1\r\n"
    + "X-Deadline-Ms: 8000\r\nContent-Length: 9\r\n\r\nabc";

describe("Relay with requests that wait until the process can serve", () => {
    let endpoint: ScriptedEndpoint;
    let ingress: IngressHarness;

    async function start(catalog: Catalog | undefined, options: Partial<IngressOptions> = {}): Promise<void> {
        endpoint = new ScriptedEndpoint("e1", sealed(200, "ok"));
        await endpoint.start();
        ingress = await IngressHarness.start(catalog, [endpoint], {}, options);
    }

    afterEach(async () => {
        await ingress.close();
        endpoint.close();
    });

    async function untilInFlight(count: number, timeoutMs: number): Promise<void> {
        const giveUpAt = Date.now() + timeoutMs;
        while (ingress.relay.requestsInFlight !== count && Date.now() < giveUpAt) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    }

    // Guards against requests that never end, which a planned stop waits for: their callers left while the process
    // started, and the events of the close were over when they were waited for.
    it("forgets a request whose caller left within its body while the process started", async () => {
        await start(undefined);
        const caller = await ingress.connect();
        caller.send(halfRequest);
        await untilInFlight(1, 1_000);
        expect(ingress.relay.requestsInFlight).to.equal(1);
        caller.disconnect();
        await untilInFlight(0, 2_000);
        expect(ingress.relay.requestsInFlight).to.equal(0);
    });

    // Guards against the same for requests that pass their checks: the body of a closed connection was waited for.
    for (const [title, text] of [["half", halfRequest], ["whole", `${halfRequest}defghi`]] as const) {
        it(`forgets a ${title} request whose caller left while the list of endpoints was empty`, async () => {
            await start(testCatalog());
            ingress.view.applyEndpointList([], ingress.clock.now(), 2);
            const caller = await ingress.connect();
            caller.send(text);
            await untilInFlight(1, 1_000);
            caller.disconnect();
            await untilInFlight(0, 2_000);
            expect(ingress.relay.requestsInFlight).to.equal(0);
            const cuts = ingress.log.events.filter(({ name }) => name === "caller.cut").map(({ fields }) =>
                fields.cause
            );
            expect(cuts).to.deep.equal(title === "half" ? ["incomplete-request"] : []);
        });
    }

    // Guards against holding a request for the full time of a start although its caller waits for less; the list of
    // endpoints can become empty at any time.
    it("answers a request in its time while the list of endpoints is empty", async () => {
        await start(testCatalog());
        ingress.view.applyEndpointList([], ingress.clock.now(), 2);
        const sentAt = ingress.clock.now();
        const timeoutMs = 200;
        const { status } = await ingress.call({ headers: { "x-deadline-ms": String(timeoutMs) } });
        expect(status).to.equal(503);
        expect(ingress.clock.now() - sentAt).to.be.below(timeoutMs + 500);
    });

    // Guards against a wait that takes all the time of a request, so that it can be neither served nor tried elsewhere.
    for (const [whose, timeoutMs, routeTimeoutMs] of [["the caller", 800, 8_000], ["the route", 8_000, 800]] as const) {
        it(`leaves time for a request with little time of ${whose} while the list of endpoints is empty`, async () => {
            await start(testCatalog({ routes: [testRoute({ timeoutMs: routeTimeoutMs })] }));
            ingress.view.applyEndpointList([], ingress.clock.now(), 2);
            const { status } = await ingress.call({ headers: { "x-deadline-ms": String(timeoutMs) } });
            expect(status).to.equal(503);
            const [givenUp] = ingress.log.events.filter(({ name }) => name === "request.given-up");
            expect(givenUp?.fields).to.include({ reason: "no-endpoint" });
            expect(givenUp?.fields.ageMs).to.be.below(Math.min(timeoutMs, routeTimeoutMs));
        });
    }

    // Guards against closing the connection of a request that still waits when the grace time of a planned stop is over.
    it("refuses a request that waits until the process is ready before a planned stop closes its connection", async () => {
        await start(undefined, { graceMs: 600 });
        const stopped = ingress.drain().then(() => ingress.close());
        const answer = ingress.call({ headers: { "x-deadline-ms": "8000" } });
        await Promise.all([answer, stopped]);
        expect((await answer).status).to.equal(503);
    });
});
