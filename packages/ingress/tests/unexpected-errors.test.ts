import type { CatalogRoute } from "@lentilramp/catalog";
import type { Endpoint } from "@lentilramp/fleet";
import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { type Answer, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const stream: Partial<CatalogRoute> = { execution: "stream", resumable: true, gapTargetMs: 100 };

describe("Relay with unexpected errors", () => {
    let endpoints: ScriptedEndpoint[] = [];
    let ingress: IngressHarness | undefined;

    async function start(answers: Answer[], route: Partial<CatalogRoute>): Promise<IngressHarness> {
        endpoints = answers.map((answer, i) => new ScriptedEndpoint(`e${i + 1}`, answer));
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        ingress = await IngressHarness.start(testCatalog({ routes: [testRoute(route)] }), endpoints);
        return ingress;
    }

    afterEach(async () => {
        await ingress?.close();
        endpoints.forEach(endpoint => endpoint.close());
        ingress = undefined;
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
});
