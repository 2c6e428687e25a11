import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const requests = 400;

describe("sampling of request lines", () => {
    const harnesses: IngressHarness[] = [];
    const endpoint = new ScriptedEndpoint("e1", sealed(200, "ok"));

    before(async () => {
        await endpoint.start();
        for (let i = 0; i < 2; i++) {
            harnesses.push(await IngressHarness.start(testCatalog({ routes: [testRoute({})] }), [endpoint]));
        }
    });

    after(async () => {
        await Promise.all(harnesses.map(harness => harness.close()));
        endpoint.close();
    });

    // A request that is looked for in the logs of two processes must be in both or in neither.
    it("keeps the lines of the same ids in every process, one in sixteen", async () => {
        const kept: Set<string>[] = [];
        for (const harness of harnesses) {
            for (let i = 0; i < requests; i++) {
                await harness.call({ headers: { "x-attempt-id": `request-${i}` } });
            }
            const lines = harness.log.events.filter(({ name }) => name === "request.done");
            kept.push(new Set(lines.map(({ fields }) => String(fields.id))));
        }
        expect([...kept[1] ?? []]).to.deep.equal([...kept[0] ?? []]);
        expect(kept[0]?.size).to.be.within(requests / 32, requests / 8);
    });
});
