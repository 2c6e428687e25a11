import type { EndpointPace } from "@lentilramp/dispatch";
import type { IngressPolicy } from "@lentilramp/ingress";
import type { MemoryMetrics } from "@lentilramp/runtime";
import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { type Answer, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Answers after a delay, with a statement of the load. */
function stating(load: string, ms = 0, status = 200, headers: Record<string, string> = {}): Answer {
    return async (...args) => {
        await sleep(ms);
        await sealed(status, status === 200 ? "data: a\n\n" : "", { "x-server-load": load, ...headers })(...args);
    };
}

describe("Relay with endpoints that state their pace", () => {
    let endpoints: ScriptedEndpoint[] = [];
    let ingress: IngressHarness | undefined;

    async function start(
        answers: Answer[],
        policy: Partial<IngressPolicy> = {},
        isEngine = false,
    ): Promise<IngressHarness> {
        endpoints = answers.map((answer, i) => new ScriptedEndpoint(`e${i + 1}`, answer));
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        const engine = isEngine ? { slots: 4, kvCacheTokens: 10_000 } : undefined;
        const services = new Map([["app", { name: "app", connectionLimit: 96, engine, scaling: undefined }]]);
        const route = testRoute(isEngine ? { execution: "stream" } : {});
        ingress = await IngressHarness.start(testCatalog({ routes: [route], services }), endpoints, policy);
        return ingress;
    }

    const paceOf = (harness: IngressHarness): EndpointPace | undefined => harness.relay.latencyModel("app").pace;
    const ignored = (harness: IngressHarness): number =>
        (harness.relay.metrics as MemoryMetrics).values.get("load_headers_ignored") ?? 0;

    afterEach(async () => {
        await ingress?.close();
        endpoints.forEach(endpoint => endpoint.close());
        ingress = undefined;
        endpoints = [];
    });

    // Guards against one moving average for endpoints of different speed.
    it("learns from whole answers of a plain service which endpoint is slower", async () => {
        const harness = await start([stating("0,0,4,100"), stating("0,0,4,100", 150)]);
        for (let i = 0; i < 20; i++) {
            await harness.call({});
        }
        const pace = paceOf(harness);
        expect(pace?.factor("e2")).to.be.above(1.2 * (pace?.factor("e1") ?? Infinity));
        expect(endpoints[0]?.requests.length).to.be.above(endpoints[1]?.requests.length ?? 0);
    });

    it("learns from the first bytes of an engine", async () => {
        const harness = await start([stating("0,0,4,100", 200)], {}, true);
        for (let i = 0; i < 8; i++) {
            await harness.call({ headers: { "x-token-usage": "100,10" } });
            // The delay of the last answer, which the next prediction would contain, has passed.
            await sleep(200);
        }
        // An idle engine is expected to begin an answer to a short prompt within 60 ms.
        expect(paceOf(harness)?.factor("e1")).to.be.above(1.3);
        expect(harness.relay.paces.takeReports()?.e1?.[1]).to.equal(8);
    });

    // Guards against evidence without the slowest answers, whose callers have left.
    it("counts an engine that has not begun its answer when the caller leaves", async () => {
        const harness = await start([stating("0,0,4,100")], {}, true);
        await harness.call({});
        const [endpoint] = endpoints;
        if (endpoint !== undefined) {
            endpoint.answer = () => undefined;
        }
        harness.relay.paces.takeReports();
        const caller = await harness.connect();
        caller.send(
            "GET /x HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key-1\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: 2000\r\n\r\n",
        );
        while (endpoint?.requests.length === 1) {
            await sleep(10);
        }
        await sleep(300);
        caller.reset();
        while (!harness.log.events.some(({ name }) => name === "request.left")) {
            await sleep(10);
        }
        expect(harness.relay.paces.takeReports()?.e1?.[0]).to.be.above(2);
    });

    // Guards against headers that break a request or spoil the estimates.
    it("serves requests whose endpoints state no load or a malformed one, and counts the latter", async () => {
        const odd = ["", "1,2", "-1,0,4,100", "1,0,4,0", "1,0,4,99999", "1,0,4,100, 1,0,4,100", "x".repeat(1_000)];
        const harness = await start([sealed(200, "ok")]);
        const [endpoint] = endpoints;
        for (const load of [undefined, ...odd]) {
            if (endpoint !== undefined && load !== undefined) {
                endpoint.answer = stating(load);
            }
            expect((await harness.call({})).status).to.equal(200);
        }
        expect(ignored(harness)).to.equal(odd.length);
        expect(paceOf(harness)?.factor("e1")).to.equal(undefined);
    });

    it("limits an endpoint that rejects a request for lack of capacity, and not one that leaves", async () => {
        for (const [headers, fullAt] of [[{}, 1], [{ "server-leaving": "1" }, undefined]] as const) {
            const rejection = stating("4,0,4,100", 0, 503, { "x-not-executed": "1", ...headers });
            const harness = await start([rejection]);
            await harness.call({});
            expect(paceOf(harness)?.fullAt("e1")).to.equal(fullAt);
            await harness.close();
            endpoints.forEach(endpoint => endpoint.close());
        }
    });

    it("estimates nothing when the policy switches it off", async () => {
        const harness = await start([stating("0,0,4,300")], { endpointPace: false });
        await harness.call({});
        expect(paceOf(harness)).to.equal(undefined);
        expect(harness.relay.paces.takeReports()).to.equal(undefined);
        harness.relay.paces.applyAnswer({ e1: 4 });
    });

    it("applies what the leader says of listed endpoints, and forgets what it no longer says", async () => {
        const harness = await start([sealed(200, "ok")]);
        harness.relay.paces.applyAnswer({ e1: 3, gone: 3 });
        expect(paceOf(harness)?.factor("e1")).to.be.closeTo(3, 0.5);
        expect(paceOf(harness)?.factor("gone")).to.equal(undefined);
        harness.relay.paces.applyAnswer(undefined);
        expect(paceOf(harness)?.factor("e1")).to.equal(undefined);
        // An endpoint that answers without a pace is served as if there were no estimates.
        harness.relay.paces.applyAnswer({ e1: 3 });
        await harness.call({});
        expect(paceOf(harness)?.factor("e1")).to.equal(undefined);
    });

    it("logs an endpoint that becomes slow, once", async () => {
        const harness = await start([sealed(200, "ok")]);
        const pace = paceOf(harness);
        for (let i = 0; i < 20; i++) {
            for (const [id, ms] of [["e1", 400], ["e2", 80], ["e3", 80]] as const) {
                pace?.recordReport(id, 100);
                pace?.observe(id, ms, 80);
            }
        }
        await sleep(60);
        harness.relay.paces.takeReports();
        harness.relay.paces.takeReports();
        const lines = harness.log.events.filter(({ name }) => name === "endpoint.slow");
        expect(lines.map(({ fields }) => fields.endpoint)).to.deep.equal(["e1"]);
        expect(harness.relay.paces.slowEndpoints).to.equal(1);
    });
});
