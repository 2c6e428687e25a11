import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

describe("planned stop of an ingress with requests that are sent once more", () => {
    // Guards against passing on a request, late in a stop, that an endpoint has held and then rejected.
    it("refuses a request whose next attempt may not end in time", async () => {
        const endpoints = [
            new ScriptedEndpoint("e1", sealed(200, "ok")),
            new ScriptedEndpoint("e2", sealed(200, "ok")),
        ];
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        const lingerMs = 200;
        const ingress = await IngressHarness.start(
            testCatalog({ routes: [testRoute({ execution: "at-most-once", timeoutMs: 30_000 })] }),
            endpoints,
            {},
            { graceMs: 4_000, lingerMs },
        );
        const post = (): ReturnType<IngressHarness["call"]> =>
            ingress.call({ method: "POST", body: "x", headers: { "x-deadline-ms": "30000" } });
        // The times of the answers are known from eight on.
        for (let i = 0; i < 8; i++) {
            await post();
        }
        const before = endpoints.reduce((sum, { requests }) => sum + requests.length, 0);
        for (const endpoint of endpoints) {
            endpoint.answer = async (req, res, received) => {
                await sleep(lingerMs * 3);
                await sealed(503, "", { "x-not-executed": "1" })(req, res, received);
            };
        }
        const stopped = ingress.drain().then(() => ingress.close());
        expect((await post()).status).to.equal(503);
        await stopped;
        endpoints.forEach(endpoint => endpoint.close());
        expect(endpoints.reduce((sum, { requests }) => sum + requests.length, 0) - before).to.equal(1);
    });
});
