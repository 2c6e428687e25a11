import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

/** Keeps the whole process busy, as a collection of garbage or a lack of processor time does. */
function block(forMs: number): void {
    const until = performance.now() + forMs;
    while (performance.now() < until) {
        // Busy.
    }
}

describe("Relay after a pause of its own process", () => {
    // Guards against taking a pause of the ingress for silence of the endpoint: the timers that fire after it run before
    // the answers that have come meanwhile are read, and all requests in flight are sent once more.
    it("reads the answers that have arrived before it leaves a silent endpoint", async () => {
        const endpoints = [
            new ScriptedEndpoint("e1", sealed(200, "ok")),
            new ScriptedEndpoint("e2", sealed(200, "ok")),
        ];
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        const [first] = endpoints;
        first!.answer = async (req, res, received) => {
            ingress.view.applyEndpointList(endpoints.map(({ endpoint }) => endpoint), ingress.clock.now(), 2);
            await sealed(200, "ok")(req, res, received);
            // The answer is in the buffers of the connection when the process pauses.
            block(1_000);
        };
        const ingress = await IngressHarness.start(testCatalog({ routes: [testRoute()] }), [first!]);
        const answer = await ingress.call({});
        await ingress.close();
        endpoints.forEach(endpoint => endpoint.close());
        expect(answer).to.include({ status: 200, body: "ok" });
        expect(endpoints.map(({ requests }) => requests.length)).to.deep.equal([1, 0]);
    });
});
