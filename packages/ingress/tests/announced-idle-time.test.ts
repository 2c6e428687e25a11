import { expect } from "chai";
import { testCatalog } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

describe("CallerServer with an idle time that a catalog shortens", () => {
    // Guards against closing a connection earlier than its last answer announced, while its caller still relies on it.
    it("keeps a connection for as long as its last answer announces", async () => {
        const endpoint = new ScriptedEndpoint("e1", sealed(200, "ok"));
        await endpoint.start();
        const catalog = testCatalog();
        const ingress = await IngressHarness.start(catalog, [endpoint]);
        catalog.limits.idleTimeoutMs = 500;
        const caller = await ingress.connect();
        caller.send("GET /x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: a\r\nApi-Key: key-1\r\n\r\n");
        await caller.receive("ok");
        const answeredAt = ingress.clock.now();
        const announcedMs = 1_000 * Number(/keep-alive: timeout=(\d+)/i.exec(caller.received)?.[1]);
        await caller.closed();
        const keptMs = ingress.clock.now() - answeredAt;
        await ingress.close();
        endpoint.close();
        expect(announcedMs).to.be.at.most(keptMs);
    });
});
