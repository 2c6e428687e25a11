import type { CatalogRoute } from "@lentilramp/catalog";
import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { type Answer, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const fail = (): never => {
    throw new Error("unexpected");
};

describe("Relay with errors that are met twice or half way", () => {
    let endpoint: ScriptedEndpoint;
    let ingress: IngressHarness;

    async function start(answer: Answer, route: Partial<CatalogRoute> = {}): Promise<void> {
        endpoint = new ScriptedEndpoint("e1", answer);
        await endpoint.start();
        const routes = [testRoute({ timeoutMs: 8_000, ...route })];
        ingress = await IngressHarness.start(testCatalog({ routes }), [endpoint]);
    }

    afterEach(async () => {
        await ingress.close();
        endpoint.close();
    });

    // Guards against a 503, which promises that the request has not run, for one that an endpoint has run: the error
    // that ends it is met again by the code that ends it, and is taken for an error of the admission.
    it("does not promise that a request has not run when the line of its end cannot be written", async () => {
        await start((...[, res]) => void res.destroy(), { execution: "at-most-once" });
        ingress.view.endpoints.ageMs = fail;
        const status = await ingress.call({ method: "POST", body: "x" }).then(answer => answer.status, () => "closed");
        expect(endpoint.requests).to.have.length(1);
        expect(status).to.be.oneOf([502, 504, "closed"]);
        expect(ingress.view.loads.localRunning("e1")).to.equal(0);
    });

    // Guards against an endpoint that is booked for ever because a part of the preparation of an attempt failed.
    it("releases the endpoint when an attempt cannot be prepared", async () => {
        await start(sealed(200, "ok"));
        ingress.relay.headerCodec.encodeEndpointHeaders = fail;
        expect((await ingress.call({})).status).to.equal(503);
        expect(endpoint.requests).to.have.length(0);
        expect(ingress.view.loads.localRunning("e1")).to.equal(0);
    });

    // Guards against a caller that waits for the rest of a stream for ever, because the error was met again before its
    // connection was closed.
    it("closes the connection of a begun stream when the line of its end cannot be written", async () => {
        await start((req, res) => {
            res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
            res.write("id: 1\ndata: a\n\n");
            setTimeout(() => res.destroy(), 50);
        }, { execution: "stream", timeoutMs: 500 });
        ingress.view.endpoints.ageMs = fail;
        const answer = ingress.call({ method: "POST", body: "x" });
        const waited = new Promise(resolve => setTimeout(resolve, 1_500, "still open"));
        expect(await Promise.race([answer.then(({ complete }) => complete), waited])).to.equal(false);
    });
});
