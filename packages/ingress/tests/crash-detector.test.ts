import { requestKey } from "@lentilramp/fleet";
import { expect } from "chai";
import type { IncomingMessage, ServerResponse } from "node:http";
import { testCatalog } from "../../catalog/tests/fixtures.ts";
import { type Answer, IngressHarness, ScriptedEndpoint } from "./ingress-harness.ts";

const probeMs = 400;

function head(req: IncomingMessage, res: ServerResponse): void {
    res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
    res.flushHeaders();
}

describe("CrashDetector", () => {
    let endpoint: ScriptedEndpoint;
    let harness: IngressHarness;

    async function start(answer: Answer, policy = {}): Promise<void> {
        endpoint = new ScriptedEndpoint("e", answer);
        await endpoint.start();
        const catalog = testCatalog();
        const routes = catalog.routes.map(route => ({ ...route, execution: "stream" as const, resumable: true }));
        harness = await IngressHarness.start({ ...catalog, routes }, [endpoint], policy);
    }

    async function callAndProbe(): Promise<void> {
        await harness.call({ headers: { "x-prompt-prefix": "a:10,b:10,c:10", "x-token-usage": "30,5" } })
            .catch(() => undefined);
        await new Promise(resolve => setTimeout(resolve, probeMs));
    }

    const reports = () => harness.view.crashes?.crashReports(harness.clock.now()).map(({ parts }) => parts);

    afterEach(async () => {
        await harness.close();
        endpoint.close();
    });

    it("reports the shared parts of a prompt at whose first token the endpoint crashed", async () => {
        await start((req, res) => {
            head(req, res);
            // A part of the first event may still leave the engine.
            res.write("id: 1\nda");
            setTimeout(() => endpoint.close(), 20);
        });
        await callAndProbe();
        expect(reports()).to.deep.equal([["a", "b"]]);
        const fields = harness.log.events.find(({ name }) => name === "endpoint.crashed")?.fields;
        expect(fields).to.include({ id: "attempt-1", parts: "a,b" });
        expect(String(fields?.request)).to.match(/^request:/);
    });

    // Guards against accusing parts of answers that were lost or reset while the endpoint lives on.
    // Guards against crashes under requests without a prompt that leave no line.
    it("logs the crash under a request without a prompt, with the same name for the request each time", async () => {
        const names = [];
        for (const id of ["first", "again"]) {
            await start(() => endpoint.close());
            await harness.call({ headers: { "x-attempt-id": id }, method: "POST", body: "x" }).catch(() => undefined);
            await new Promise(resolve => setTimeout(resolve, probeMs));
            const crashes = harness.log.events.filter(({ name }) => name === "endpoint.crashed");
            expect(crashes.map(({ fields }) => fields.id)).to.deep.equal([id]);
            names.push(crashes[0]?.fields.request);
            if (id === "first") {
                await harness.close();
            }
        }
        expect(names[1]).to.equal(names[0]);
    });

    it("reports nothing if the endpoint still accepts connections", async () => {
        await start((req, res) => {
            head(req, res);
            setTimeout(() => res.destroy(), 20);
        });
        await callAndProbe();
        expect(reports()).to.deep.equal([]);
    });

    it("reports nothing if the answer had begun, or if the endpoint had said that it leaves", async () => {
        await start((req, res) => {
            head(req, res);
            res.write("id: 1\ndata: x\n\n");
            setTimeout(() => endpoint.close(), 250);
        });
        await callAndProbe();
        expect(reports()).to.deep.equal([]);
        await harness.close();
        await start((req, res) => {
            head(req, res);
            setTimeout(() => endpoint.close(), 20);
        });
        harness.view.endpoints.markLeaving("e");
        harness.relay.crashDetector?.recordLoss(endpoint.endpoint, { request: requestKey("r"), parts: ["a"] }, "x");
        await callAndProbe();
        expect(reports()).to.deep.equal([]);
    });

    it("refuses a blocked part at once and sends nothing", async () => {
        await start((req, res) => {
            head(req, res);
            res.end("id: 1\ndata: x\n\n");
        });
        const sync = { leading: true, stewards: [], members: 1 };
        harness.view.applySyncAnswer(
            { ...sync, blockedParts: [{ part: "b", endpoints: [] }] },
            harness.clock.now(),
        );
        const headers = { "x-prompt-prefix": "a:10,b:10,c:10", "x-token-usage": "30,5" };
        const refused = await harness.call({ headers });
        expect(refused.status).to.equal(503);
        expect(Number(refused.headers["retry-after"])).to.be.above(1);
        expect(endpoint.requests).to.have.length(0);
        expect(harness.view.crashes?.takeRefused()).to.deep.equal(["b"]);
        // The last part belongs to the request alone and is never judged.
        expect((await harness.call({ headers: { ...headers, "x-prompt-prefix": "a:10,b:10" } })).status).to.equal(200);
    });

    it("does nothing if the policy switches it off", async () => {
        await start((req, res) => {
            head(req, res);
            setTimeout(() => endpoint.close(), 20);
        }, { crashingParts: false });
        await callAndProbe();
        expect(harness.view.crashes).to.equal(undefined);
    });
});
