import { requestKey } from "@lentilramp/fleet";
import { expect } from "chai";
import type { IncomingMessage, ServerResponse } from "node:http";
import { testCatalog } from "../../catalog/tests/fixtures.ts";
import { type Answer, holdBeforePoll, IngressHarness, ScriptedEndpoint } from "./ingress-harness.ts";

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

    // Guards against a third endpoint that the request reaches while the second one is still probed.
    it("sends a request that two endpoints crash under to no third one", async () => {
        const endpoints = ["a", "b", "c"].map(id => new ScriptedEndpoint(id, () => undefined));
        for (const each of endpoints) {
            // The probe of the first endpoint ends before the second one crashes.
            each.answer = () => void setTimeout(() => each.close(), 50);
            await each.start();
        }
        endpoint = endpoints[0] as ScriptedEndpoint;
        const catalog = testCatalog();
        const routes = catalog.routes.map(route => ({ ...route, execution: "idempotent" as const, maxAttempts: 3 }));
        harness = await IngressHarness.start({ ...catalog, routes }, endpoints);
        await harness.call({ method: "POST", body: "x" }).catch(() => undefined);
        await new Promise(resolve => setTimeout(resolve, probeMs));
        endpoints.forEach(each => each.close());
        expect(endpoints.map(({ requests }) => requests.length).sort()).to.deep.equal([0, 1, 1]);
    });

    // Guards against answers that are lost at living endpoints and count as crashes while a probe is open.
    it("sends a request that two living endpoints lose to a third one", async () => {
        const endpoints = ["a", "b", "c"].map(id => new ScriptedEndpoint(id, (...[, res]) => void res.destroy()));
        for (const each of endpoints) {
            await each.start();
        }
        endpoint = endpoints[0] as ScriptedEndpoint;
        const catalog = testCatalog();
        const routes = catalog.routes.map(route => ({ ...route, execution: "idempotent" as const, maxAttempts: 3 }));
        harness = await IngressHarness.start({ ...catalog, routes }, endpoints);
        await harness.call({ method: "POST", body: "x" }).catch(() => undefined);
        await new Promise(resolve => setTimeout(resolve, probeMs));
        endpoints.forEach(each => each.close());
        expect(endpoints.map(({ requests }) => requests.length)).to.deep.equal([1, 1, 1]);
    });

    // Guards against a request that is not repeated although a probe has shown that the endpoint lives on.
    it("counts no open loss at an endpoint that a probe of the last second has reached", async () => {
        await start(() => undefined);
        const { crashes } = harness.view;
        const lose = (id: string): void =>
            harness.relay.crashDetector?.recordLoss(endpoint.endpoint, { request: requestKey(id), parts: [] }, id);
        crashes?.recordCrash({ id: "other" }, { request: requestKey("r"), parts: [] }, harness.clock.now());
        lose("s");
        await new Promise(resolve => setTimeout(resolve, probeMs));
        lose("r");
        // A repeat is decided in the turn of the event loop in which the answer is lost.
        expect(crashes?.mayRepeat([requestKey("r")], harness.clock.now())).to.equal(true);
        await new Promise(resolve => setTimeout(resolve, probeMs));
        expect(reports()).to.deep.equal([[]]);
    });

    it("reports nothing if the endpoint still accepts connections", async () => {
        await start((req, res) => {
            head(req, res);
            setTimeout(() => res.destroy(), 20);
        });
        await callAndProbe();
        expect(reports()).to.deep.equal([]);
    });

    // Guards against a pause of the own process that is taken for a crash, for which a sound prompt is accused.
    it("reports nothing if the endpoint has accepted the connection while the process was held", async () => {
        await start((...[, res]) => void res.destroy());
        holdBeforePoll(probeMs);
        harness.relay.crashDetector?.recordLoss(endpoint.endpoint, { request: requestKey("r"), parts: ["a"] }, "x");
        await new Promise(resolve => setTimeout(resolve, probeMs));
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
