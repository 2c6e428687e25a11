import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const requestCount = 400;

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

    // A request must be logged by all processes or by none, so that its path can be traced across their logs.
    it("logs the same one in sixteen request ids in every process", async () => {
        const loggedIds: Set<string>[] = [];
        for (const harness of harnesses) {
            for (let i = 0; i < requestCount; i++) {
                await harness.call({ headers: { "x-attempt-id": `request-${i}` } });
            }
            // Late answers are logged besides the sample, at whichever process was late.
            const lines = harness.log.events.filter(({ name, fields }) => name === "request.done" && !fields.late);
            loggedIds.push(new Set(lines.map(({ fields }) => String(fields.id))));
        }
        expect([...loggedIds[1] ?? []]).to.deep.equal([...loggedIds[0] ?? []]);
        expect(loggedIds[0]?.size).to.be.within(requestCount / 32, requestCount / 8);
    });
});
