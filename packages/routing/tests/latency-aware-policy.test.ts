import type { RouteRequest } from "@lentilramp/routing";
import { ejectionDefaults, EjectionTable, EndpointTable, LatencyAwarePolicy, LinkTable } from "@lentilramp/routing";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import fc from "fast-check";

const ids = ["a", "b", "c"];
const req: RouteRequest = { priority: "normal", deadline: 1e6 };

function service() {
    const random = new SeededRandom(5);
    const table = new EndpointTable(new LinkTable({ x: { delayMs: 1, cost: 0 } }), random);
    table.setEndpoints(ids.map(id => ({ id, failureDomain: "x", models: [] })));
    const policy = new LatencyAwarePolicy(random);
    const count = (now: number, id: string) => {
        const choices = Array.from({ length: 100 }, () => policy.choose(req, table, now).unwrap().endpoint.id);
        return choices.filter(choice => choice === id).length;
    };
    return { table, count };
}

function fail(table: EndpointTable, id: string, now: number): void {
    for (let i = 0; i < ejectionDefaults.consecutiveFailures; i++) {
        table.recordFailure(id, now);
    }
}

describe("LatencyAwarePolicy", () => {
    // Guards against an equal share for an endpoint that has become slow.
    it("avoids a slow endpoint and tries it again later", () => {
        const { table, count } = service();
        ids.forEach(id => table.recordSuccess(id, id === "a" ? 900 : 20, 0));
        expect(count(0, "a")).to.equal(0);
        expect(count(100_000, "a")).to.be.above(0);
    });

    // Guards against requests lost to an endpoint that fails, and against one that never returns.
    it("ejects a failing endpoint, sends one trial after the ejection time, and restores it on success", () => {
        const { table, count } = service();
        fail(table, "a", 0);
        expect(count(0, "a")).to.equal(0);
        const later = 2 * ejectionDefaults.baseEjectionMs;
        expect(count(later, "a")).to.be.above(0);
        table.recordCall("trial", "a", req, later);
        expect(count(later, "a")).to.equal(0);
        table.inFlight.recordEnd("trial");
        table.recordFailure("a", later + 1);
        expect(count(later + ejectionDefaults.baseEjectionMs, "a")).to.equal(0);
        const end = later + 4 * ejectionDefaults.baseEjectionMs;
        table.recordCall("trial 2", "a", req, end);
        table.inFlight.recordEnd("trial 2");
        table.recordSuccess("a", 20, end);
        expect(count(end, "a")).to.be.above(0);
    });

    // Guards against an outage caused by ejection when everything seems to fail.
    it("always leaves an endpoint when all fail or the others have left", () => {
        const { table, count } = service();
        ids.forEach(id => fail(table, id, 0));
        expect(count(0, "b") + count(0, "c")).to.be.above(0);
        table.setEndpoints([{ id: "a", failureDomain: "x", models: [] }]);
        expect(count(0, "a")).to.equal(100);
    });
});

describe("EjectionTable", () => {
    const { baseEjectionMs, consecutiveFailures, maxEjectedShare, trialTimeoutMs } = ejectionDefaults;
    const ejected = (failures: number) => {
        const table = new EjectionTable(new SeededRandom(1));
        table.setEndpoints(ids);
        Array.from(Array(failures).keys()).forEach(() => table.recordFailure("a", 0));
        return table;
    };

    // Guards against ejection of all endpoints, for example when the entry's own link fails.
    it("stops at the largest share", () => {
        const table = new EjectionTable(new SeededRandom(1));
        const all = [...Array(8).keys()].map(String);
        table.setEndpoints(all);
        all.forEach(id => Array.from(Array(5).keys()).forEach(() => table.recordFailure(id, 0)));
        expect(all.filter(id => table.allowsRequest(id, 0))).to.have.length(8 * (1 - maxEjectedShare));
    });

    // Guards against a burst on an endpoint that may still fail, and against a lost trial that blocks it for ever.
    it("allows one trial at a time and forgets a trial without a result", () => {
        const table = ejected(consecutiveFailures);
        const later = 1.2 * baseEjectionMs;
        expect(table.allowsRequest("a", later)).to.be.true;
        table.recordDispatch("a", later);
        expect(table.allowsRequest("a", later)).to.be.false;
        expect(table.allowsRequest("a", later + trialTimeoutMs)).to.be.true;
    });

    // Guards against a long ejection caused by many requests that were in flight when the endpoint failed.
    it("prolongs the ejection only for failed trials", () => {
        expect(ejected(consecutiveFailures + 20).allowsRequest("a", 1.2 * baseEjectionMs)).to.be.true;
    });

    // Guards against ejection of more than the share under any sequence of results.
    it("never ejects more than the share", () => {
        const event = fc.record({ id: fc.nat(7), ok: fc.boolean(), after: fc.nat(3_000), trial: fc.boolean() });
        fc.assert(
            fc.property(fc.array(event, { maxLength: 200 }), events => {
                const table = new EjectionTable(new SeededRandom(1));
                const all = [...Array(8).keys()].map(String);
                table.setEndpoints(all);
                let now = 0;
                for (const { id, ok, after, trial } of events) {
                    now += after;
                    if (trial) {
                        table.recordDispatch(`${id}`, now);
                    }
                    if (ok) {
                        table.recordSuccess(`${id}`);
                    }
                    else {
                        table.recordFailure(`${id}`, now);
                    }
                    expect(all.filter(other => table.allowsRequest(other, now)).length).to.be.at.least(4);
                }
            }),
            { seed: 14 },
        );
    });
});
