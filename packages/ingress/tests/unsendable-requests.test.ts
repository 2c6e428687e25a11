import { expect } from "chai";
import { testCatalog, testWorkspace } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

describe("Relay with requests that fit in no head", () => {
    // Guards against blaming endpoints for requests that cannot be sent to any of them: the name of one workspace, which
    // no header holds, would take the endpoints away from the others.
    it("serves the other workspaces", async () => {
        const endpoints = [
            new ScriptedEndpoint("e1", sealed(200, "ok")),
            new ScriptedEndpoint("e2", sealed(200, "ok")),
        ];
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        const workspaces = [testWorkspace(), testWorkspace({ name: "\u017c\u00f3\u0142w", keys: ["key-2"] })];
        const ingress = await IngressHarness.start(testCatalog({ workspaces }), endpoints);
        const statuses: number[] = [];
        for (let i = 0; i < 6; i++) {
            expect((await ingress.call({ headers: { "api-key": "key-2" } })).status).to.equal(503);
            statuses.push((await ingress.call({})).status);
        }
        const ejected = ingress.log.events.filter(({ name }) => name === "endpoint.ejected");
        await ingress.close();
        endpoints.forEach(endpoint => endpoint.close());
        expect(ejected).to.deep.equal([]);
        expect(statuses).to.deep.equal(Array(6).fill(200));
    });
});
