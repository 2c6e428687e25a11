import { expect } from "chai";
import { testCatalog } from "../../catalog/tests/fixtures.ts";
import { holdBeforePoll, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

/** Timers run before sockets are read, so that a connection may have been opened while the process was held. */
describe("Attempt that opens a connection during a pause of its own process", () => {
    let endpoint: ScriptedEndpoint;
    let ingress: IngressHarness;

    beforeEach(async () => {
        endpoint = new ScriptedEndpoint("e1", sealed(200, "ok"));
        await endpoint.start();
        ingress = await IngressHarness.start(testCatalog(), [endpoint]);
    });

    afterEach(async () => {
        await ingress.close();
        endpoint.close();
    });

    // Guards against refusing a request, and blaming its endpoint, when the connection was opened in time.
    it("sends the request on the connection that was opened meanwhile", async () => {
        const { pool } = ingress.relay;
        const requestOptions = pool.requestOptions.bind(pool);
        pool.requestOptions = (...args) => {
            holdBeforePoll(400);
            return requestOptions(...args);
        };
        const answer = ingress.call({});
        const { status, body } = await answer;
        expect({ status, body, sent: endpoint.requests.length }).to.deep.equal({ status: 200, body: "ok", sent: 1 });
    });
});
