import type { EngineRequest, LoadReport } from "@lentilramp/routing";
import { EndpointTable, LinkTable, PredictedFirstTokenPolicy } from "@lentilramp/routing";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import fc from "fast-check";

const random = new SeededRandom(3);
const links = new LinkTable({ near: { delayMs: 0.5, cost: 0 }, far: { delayMs: 4, cost: 1 } });
const req: EngineRequest = {
    model: "m",
    priority: "normal",
    deadline: 1e6,
    promptTokens: 640,
    prefix: [1, 2, 3, 4, 5, 6, 7, 8, 9, 10],
};

function endpoint(id: string, failureDomain = "near", adapters: string[] = [], version = "1") {
    return { id, failureDomain, models: [{ model: "m", version, adapters }] };
}

function report(tokens: number, measuredAt: number, priority = "normal"): LoadReport {
    const waitingTokens = { high: 0, normal: 0, low: 0, [priority]: tokens };
    return { measuredAt, waitingTokens, requests: 0, prefillTokensPerMs: 10 };
}

function tableOf(...endpoints: ReturnType<typeof endpoint>[]): EndpointTable {
    const table = new EndpointTable(links, random);
    table.setEndpoints(endpoints);
    return table;
}

function chosen(table: EndpointTable, request: EngineRequest = req, now = 0): string {
    const choice = new PredictedFirstTokenPolicy(random).choose(request, table, now);
    return choice.isOk() ? choice.value.endpoint.id : choice.error.kind;
}

describe("PredictedFirstTokenPolicy", () => {
    // Guards against forty entries that send everything to the endpoint that one stale report shows idle.
    it("does not herd on one stale report", () => {
        for (const [age, most] of [[0, 25], [5_000, 8]] as const) {
            let idle = 0;
            for (let entry = 0; entry < 40; entry++) {
                const ids = [...Array(12).keys()].map(i => `e${i}`);
                const table = tableOf(...ids.map(id => endpoint(id)));
                ids.forEach((id, i) => table.acceptReport(id, report(i === 0 ? 0 : 20_000, 0)));
                idle += chosen(table, req, age) === "e0" ? 1 : 0;
            }
            expect(idle, `age ${age}`).to.be.within(1, most);
        }
    });

    // Guards against dispatch to an endpoint without the model, version or adapter, or one already tried.
    it("chooses only endpoints that serve the request", () => {
        const table = tableOf(endpoint("old"), endpoint("new", "far", ["lens"], "2"));
        expect(chosen(table, { ...req, version: "2" })).to.equal("new");
        expect(chosen(table, { ...req, adapter: "lens" })).to.equal("new");
        expect(chosen(table, { ...req, version: "3" })).to.equal("no-endpoint");
        expect(chosen(table, { ...req, version: "2", excluded: new Set(["new"]) })).to.equal("no-endpoint");
    });

    // Guards against recomputation of a prompt that a lightly loaded endpoint has cached.
    it("prefers a cached prefix until the wait there is longer than the recomputation", () => {
        const table = tableOf(endpoint("cold"), endpoint("warm", "far"));
        table.acceptCacheSnapshot("warm", { generation: 1, sequence: 1, blocks: req.prefix }, 0);
        table.acceptReport("cold", report(0, 0));
        table.acceptReport("warm", report(300, 0));
        expect(chosen(table)).to.equal("warm");
        table.acceptReport("warm", report(3_000, 1));
        expect(chosen(table, req, 1)).to.equal("cold");
    });

    // Guards against a wait counted for work that the engine serves after this request.
    it("ignores waiting work of lower priority", () => {
        const table = tableOf(endpoint("low", "near"), endpoint("high", "near"));
        table.acceptReport("low", report(5_000, 0, "low"));
        table.acceptReport("high", report(500, 0, "high"));
        expect(chosen(table)).to.equal("low");
        expect(chosen(table, { ...req, priority: "low" })).to.equal("high");
    });

    // Guards against work sent only to be late, and against refusal while some endpoint is fast enough.
    it("refuses exactly when no endpoint can answer by the deadline", () => {
        const table = tableOf(...["a", "b", "c", "d", "e", "f", "g"].map(id => endpoint(id)));
        "abcdef".split("").forEach(id => table.acceptReport(id, report(10_000, 0)));
        table.acceptReport("g", report(0, 0));
        for (let i = 0; i < 20; i++) {
            expect(chosen(table, { ...req, deadline: 300 })).to.equal("g");
        }
        expect(chosen(table, { ...req, deadline: 20 })).to.equal("deadline-unreachable");
    });

    // Guards against use of own work twice, once as in flight and once as part of the report.
    it("counts own prompt tokens in flight once", () => {
        const table = tableOf(endpoint("own"), endpoint("other"));
        table.recordDispatch("1", "own", req, 640, 0);
        table.acceptReport("own", report(640, 10));
        table.acceptReport("other", report(900, 10));
        expect(chosen(table, { ...req, prefix: [99] }, 10)).to.equal("own");
        table.inFlight.recordFirstToken("1");
        table.inFlight.recordEnd("1");
        expect(table.inFlight.requestCount("own")).to.equal(0);
    });

    // Guards against a report that arrives late and replaces a newer one.
    it("keeps the newest measurement", () => {
        const table = tableOf(endpoint("a"), endpoint("b"));
        table.acceptReport("a", report(5_000, 10));
        table.acceptReport("a", report(0, 5));
        table.acceptReport("b", report(500, 10));
        expect(chosen(table, req, 10)).to.equal("b");
    });

    // Guards against one endpoint overloaded by all requests with the same long prefix.
    it("does not prefer a cached prefix on an endpoint far busier than the mean", () => {
        const long = { ...req, promptTokens: 64_000, prefix: Array.from(Array(1_000).keys()) };
        const ids = [...Array(12).keys()].map(i => `e${i}`);
        const table = tableOf(...ids.map(id => endpoint(id)));
        table.acceptCacheSnapshot("e0", { generation: 1, sequence: 1, blocks: long.prefix }, 0);
        ids.forEach((id, i) => table.acceptReport(id, report(i === 0 ? 14_000 : 0, 0)));
        const choices = Array.from(Array(60).keys(), () => chosen(table, long));
        expect(choices.filter(id => id === "e0").length).to.be.below(40);
    });

    // Guards against a choice by nothing but chance when the reports are stale.
    it("follows the own requests in flight when the reports are stale", () => {
        const table = tableOf(endpoint("busy"), endpoint("free"));
        for (let i = 0; i < 3; i++) {
            table.recordDispatch(`${i}`, "busy", { ...req, prefix: [] }, 640, 0);
            table.inFlight.recordFirstToken(`${i}`);
        }
        ["busy", "free"].forEach(id => table.acceptReport(id, report(0, 1)));
        for (let i = 0; i < 20; i++) {
            expect(chosen(table, req, 10_000)).to.equal("free");
        }
    });

    // Guards against streams lost to an engine that fails.
    it("avoids an ejected engine", () => {
        const table = tableOf(endpoint("a"), endpoint("b", "far"));
        for (let i = 0; i < 3; i++) {
            table.recordFailure("a", 0);
        }
        expect(chosen(table)).to.equal("b");
    });

    // Guards against an engine choice outside the eligible set for any load and age.
    it("always chooses an eligible endpoint", () => {
        fc.assert(
            fc.property(fc.array(fc.nat(50_000), { minLength: 1, maxLength: 15 }), fc.nat(20_000), (tokens, age) => {
                const table = tableOf(...[...tokens.keys()].map(i => endpoint(`${i}`, i % 2 ? "far" : "near")));
                tokens.forEach((count, i) => table.acceptReport(`${i}`, report(count, 0)));
                expect(Number(chosen(table, req, age))).to.be.within(0, tokens.length - 1);
            }),
            { seed: 13 },
        );
    });
});
