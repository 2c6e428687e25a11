import type { CatalogRoute } from "@lentilramp/catalog";
import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { type Answer, type CallerAnswer, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const limited = { "server-limit": "2" };
const calls = 10;

describe("Relay with endpoints that limit their requests", () => {
    let endpoints: ScriptedEndpoint[] = [];
    let ingress: IngressHarness | undefined;

    async function start(answers: Answer[], route: Partial<CatalogRoute> = {}): Promise<IngressHarness> {
        endpoints = answers.map((answer, i) => new ScriptedEndpoint(`e${i + 1}`, answer));
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        // The share of one of 191 ingresses in the endpoint's connections must not be what refuses a request.
        const services = new Map([
            ["app", { name: "app", connectionLimit: 10_000, engine: undefined, scaling: undefined }],
        ]);
        ingress = await IngressHarness.start(testCatalog({ routes: [testRoute(route)], services }), endpoints);
        return ingress;
    }

    /** Applies a leader's answer with permits, which also puts the ingress in contact with the leader. */
    function grant(harness: IngressHarness, permits: Record<string, number>, wanted: number = 0): void {
        const sentAt = harness.clock.now();
        const demand = { e1: { wanted, held: 0 } };
        harness.view.applySyncAnswer({ leading: true, stewards: [], members: 191, permits }, sentAt, demand);
    }

    /** Lets the ingress hear the limit of the first endpoint, and the leader grant no permits for it. */
    async function hearLimit(harness: IngressHarness): Promise<void> {
        while (harness.view.limits.limitOf("e1") === undefined) {
            await harness.call({});
        }
        grant(harness, {}, 1);
    }

    async function callTimes(harness: IngressHarness, count: number): Promise<CallerAnswer[]> {
        return await Promise.all(Array.from({ length: count }, () => harness.call({})));
    }

    const received = (index: number): number => endpoints[index]?.requests.length ?? 0;

    afterEach(async () => {
        await ingress?.close();
        endpoints.forEach(endpoint => endpoint.close());
        ingress = undefined;
        endpoints = [];
    });

    // Guards against requests beyond the permits, and against permits that are not used.
    it("sends as many requests as it has permits, and refuses the others with spread times to return", async () => {
        const harness = await start([sealed(200, "ok", limited)]);
        await hearLimit(harness);
        grant(harness, { e1: 3 }, calls);
        const before = received(0);
        const answers = await callTimes(harness, calls);
        expect(received(0) - before).to.equal(3);
        const refused = answers.filter(({ status }) => status === 503);
        expect(refused.length).to.equal(calls - 3);
        expect(new Set(refused.map(({ headers }) => headers["retry-after"])).size).to.be.above(3);
        const [givenUp] = harness.log.events.filter(({ name }) => name === "request.given-up");
        expect(givenUp?.fields).to.include({ reason: "endpoint-limit", limited: 1, limitPerSecond: 2 });
    });

    // Guards against callers who are refused although other endpoints of the service take their requests.
    it("sends to the other endpoints while it has no permit", async () => {
        const harness = await start([sealed(200, "one", limited), sealed(200, "two")]);
        await hearLimit(harness);
        const before = received(0);
        for (let i = 0; i < calls; i++) {
            expect((await harness.call({})).status).to.equal(200);
        }
        expect(received(0)).to.equal(before);
    });

    // Guards against retries that pass by the limit.
    it("sends no retry to an endpoint without a permit for it", async () => {
        const harness = await start([sealed(200, "one", limited), sealed(500, "two")]);
        await hearLimit(harness);
        const before = received(0);
        await callTimes(harness, 3);
        expect(received(1)).to.be.at.least(3);
        expect(received(0)).to.equal(before);
    });

    // Guards against resumed streams that pass by the limit.
    it("resumes no stream at an endpoint without a permit for it", async () => {
        const cut: Answer = (req, res) => {
            res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
            res.write("id: 1\ndata: a\n\n", () => setTimeout(() => res.destroy(), 5));
        };
        const stream = { execution: "stream", resumable: true, gapTargetMs: 100 } as const;
        const harness = await start([sealed(200, "id: 1\ndata: a\n\n", limited), cut], stream);
        await hearLimit(harness);
        const before = received(0);
        await callTimes(harness, 3);
        expect(received(1)).to.be.at.least(3);
        expect(received(0)).to.equal(before);
    });

    // Guards against requests that were waiting for a permit and are all sent when one arrives.
    it("sends one of the waiting requests for one permit", async () => {
        const harness = await start([sealed(200, "ok", limited)]);
        await hearLimit(harness);
        grant(harness, {}, 0);
        const before = received(0);
        const answers = callTimes(harness, calls);
        while (harness.relay.waiting < calls) {
            await harness.clock.sleepUntil(harness.clock.now() + 5);
        }
        grant(harness, { e1: 1 }, calls);
        const statuses = (await answers).map(({ status }) => status).sort();
        expect(statuses).to.deep.equal([200, ...Array<number>(calls - 1).fill(503)]);
        expect(received(0) - before).to.equal(1);
    });

    // Guards against a limit that stays unknown because the endpoint names it only when it turns requests away.
    it("hears a limit in an answer that says that the request has not run", async () => {
        const full = sealed(503, "full", { ...limited, "x-not-executed": "1" });
        const harness = await start([full, sealed(200, "two")]);
        await hearLimit(harness);
        expect(harness.view.limits.limitOf("e1")).to.equal(2);
    });

    // Guards against a malformed value that lifts a limit or stops all requests.
    it("keeps what it knows when a limit cannot be read, and logs it", async () => {
        const harness = await start([sealed(200, "ok", { "server-limit": "-4" })]);
        expect((await harness.call({})).status).to.equal(200);
        expect(harness.view.limits.limitOf("e1")).to.equal(undefined);
        expect(harness.log.events.map(({ name }) => name)).to.include("endpoint.limit-unreadable");
    });
});
