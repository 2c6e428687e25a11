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
    // Forty entries that receive the same stale report would otherwise all choose the endpoint that it shows idle.
    it("does not send the requests of all entries to the endpoint that one stale report shows idle", () => {
        for (const [ageMs, maxChosen] of [[0, 25], [5_000, 8]] as const) {
            let idleChosen = 0;
            for (let entry = 0; entry < 40; entry++) {
                const ids = [...Array(12).keys()].map(i => `e${i}`);
                const table = tableOf(...ids.map(id => endpoint(id)));
                ids.forEach((id, i) => table.acceptReport(id, report(i === 0 ? 0 : 20_000, 0)));
                idleChosen += chosen(table, req, ageMs) === "e0" ? 1 : 0;
            }
            expect(idleChosen, `age ${ageMs}`).to.be.within(1, maxChosen);
        }
    });

    it("does not choose an endpoint that lacks the model, version or adapter or was already tried", () => {
        const table = tableOf(endpoint("old"), endpoint("new", "far", ["lens"], "2"));
        expect(chosen(table, { ...req, version: "2" })).to.equal("new");
        expect(chosen(table, { ...req, adapter: "lens" })).to.equal("new");
        expect(chosen(table, { ...req, version: "3" })).to.equal("no-endpoint");
        expect(chosen(table, { ...req, version: "2", excluded: new Set(["new"]) })).to.equal("no-endpoint");
    });

    it("does not recompute a cached prompt unless the queueing time at its endpoint is longer", () => {
        const table = tableOf(endpoint("cold"), endpoint("warm", "far"));
        table.acceptCacheSnapshot("warm", { generation: 1, sequence: 1, blocks: req.prefix }, 0);
        table.acceptReport("cold", report(0, 0));
        table.acceptReport("warm", report(300, 0));
        expect(chosen(table)).to.equal("warm");
        table.acceptReport("warm", report(3_000, 1));
        expect(chosen(table, req, 1)).to.equal("cold");
    });

    it("does not count queued requests of lower priority, which the engine serves after this request", () => {
        const table = tableOf(endpoint("low", "near"), endpoint("high", "near"));
        table.acceptReport("low", report(5_000, 0, "low"));
        table.acceptReport("high", report(500, 0, "high"));
        expect(chosen(table)).to.equal("low");
        expect(chosen(table, { ...req, priority: "low" })).to.equal("high");
    });

    it("rejects a request only if no endpoint, sampled or not, can meet the deadline", () => {
        const table = tableOf(...["a", "b", "c", "d", "e", "f", "g"].map(id => endpoint(id)));
        "abcdef".split("").forEach(id => table.acceptReport(id, report(10_000, 0)));
        table.acceptReport("g", report(0, 0));
        for (let i = 0; i < 20; i++) {
            expect(chosen(table, { ...req, deadline: 300 })).to.equal("g");
        }
        expect(chosen(table, { ...req, deadline: 20 })).to.equal("deadline-unreachable");
    });

    it("does not count in-flight prompt tokens again when the load report includes them", () => {
        const table = tableOf(endpoint("used"), endpoint("other"));
        table.recordDispatch("1", "used", req, 640, 0);
        table.acceptReport("used", report(640, 10));
        table.acceptReport("other", report(900, 10));
        expect(chosen(table, { ...req, prefix: [99] }, 10)).to.equal("used");
        table.inFlight.recordFirstToken("1");
        table.inFlight.recordEnd("1");
        expect(table.inFlight.requestCount("used")).to.equal(0);
    });

    it("does not replace a load report by an older one that arrives later", () => {
        const table = tableOf(endpoint("a"), endpoint("b"));
        table.acceptReport("a", report(5_000, 10));
        table.acceptReport("a", report(0, 5));
        table.acceptReport("b", report(500, 10));
        expect(chosen(table, req, 10)).to.equal("b");
    });

    it("does not overload the endpoint that has cached a long prefix with all requests of that prefix", () => {
        const long = { ...req, promptTokens: 64_000, prefix: Array.from(Array(1_000).keys()) };
        const ids = [...Array(12).keys()].map(i => `e${i}`);
        const table = tableOf(...ids.map(id => endpoint(id)));
        table.acceptCacheSnapshot("e0", { generation: 1, sequence: 1, blocks: long.prefix }, 0);
        ids.forEach((id, i) => table.acceptReport(id, report(i === 0 ? 14_000 : 0, 0)));
        const choices = Array.from(Array(60).keys(), () => chosen(table, long));
        expect(choices.filter(id => id === "e0").length).to.be.below(40);
    });

    it("does not ignore this entry's in-flight requests when the load reports are stale", () => {
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

    it("does not send a request to an engine that was ejected after consecutive failures", () => {
        const table = tableOf(endpoint("a"), endpoint("b", "far"));
        for (let i = 0; i < 3; i++) {
            table.recordFailure("a", 0);
        }
        expect(chosen(table)).to.equal("b");
    });

    it("does not choose an ineligible endpoint at any load and report age", () => {
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
