import { expect } from "chai";
import { testCatalog } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

describe("Relay with odd numbers in answers", () => {
    let endpoint: ScriptedEndpoint | undefined;
    let ingress: IngressHarness | undefined;

    async function start(headers: Record<string, string>, status = 200): Promise<IngressHarness> {
        endpoint = new ScriptedEndpoint("e1", sealed(status, "ok", headers));
        await endpoint.start();
        ingress = await IngressHarness.start(testCatalog(), [endpoint]);
        return ingress;
    }

    afterEach(async () => {
        endpoint?.close();
        await ingress?.close();
    });

    // Guards against the end of the process: the idle time of a socket must be finite, and it is set in a listener.
    for (const seconds of ["9".repeat(400), "1000000000000", "0", "-5", "NaN", ""]) {
        it(`answers callers after an endpoint has announced the idle time "${seconds.slice(0, 20)}"`, async () => {
            const harness = await start({ "keep-alive": `timeout=${seconds}` });
            for (let i = 0; i < 3; i++) {
                expect(await harness.call({})).to.deep.include({ status: 200, body: "ok" });
            }
        });
    }
});
