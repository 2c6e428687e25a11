import { expect } from "chai";
import { testCatalog } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint, sealed, unreadableCatalog } from "./ingress-harness.ts";

describe("Relay with a newer catalog that it cannot decode", () => {
    let endpoint: ScriptedEndpoint;
    let ingress: IngressHarness;

    beforeEach(async () => {
        endpoint = new ScriptedEndpoint("e1", sealed(200, "ok"));
        await endpoint.start();
        ingress = await IngressHarness.start(testCatalog({}), [endpoint]);
    });

    afterEach(async () => {
        endpoint.close();
        await ingress.close();
    });

    function receive(version: number): void {
        const catalog = { version, text: unreadableCatalog };
        ingress.view.applySyncAnswer({ leading: true, stewards: [], members: 1, catalog }, ingress.clock.now());
    }

    // Guards against an ingress that takes its old catalog for the newest one for as long as it runs, while others obey
    // one that it cannot decode, as in a rolling upgrade.
    it("refuses requests with 503 instead of serving or refusing them for good by the one before", async () => {
        const { version } = testCatalog({});
        expect((await ingress.call({})).status).to.equal(200);
        for (let i = 0; i < 3; i++) {
            receive(version + 1);
        }
        expect(await ingress.call({})).to.include({ status: 503, body: `{"error":"unreadable catalog"}` });
        expect((await ingress.call({ path: "/none/" })).status).to.equal(503);
        expect(ingress.view.ready).to.equal(false);
        expect(ingress.log.events.filter(({ name }) => name === "catalog.unreadable")).to.have.length(1);
    });

    it("goes on with its catalog when an older one cannot be decoded", async () => {
        receive(testCatalog({}).version);
        expect((await ingress.call({})).status).to.equal(200);
    });
});
