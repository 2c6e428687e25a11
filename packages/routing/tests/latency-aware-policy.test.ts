import type { RouteRequest } from "@lentilramp/routing";
import { ejectionDefaults, EjectionTable, EndpointTable, LatencyAwarePolicy, LinkTable } from "@lentilramp/routing";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import fc from "fast-check";

const ids = ["a", "b", "c"];
const req: RouteRequest = { priority: "normal", deadline: 1e6 };

function setUpServices() {
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
    it("does not send requests to an endpoint that became slow until its latency estimate has decayed", () => {
        const { table, count } = setUpServices();
        ids.forEach(id => table.recordSuccess(id, id === "a" ? 900 : 20, 0));
        expect(count(0, "a")).to.equal(0);
        expect(count(100_000, "a")).to.be.above(0);
    });

    // Without ejection, requests to a failing endpoint are lost; without trials, the endpoint is never used again.
    it("ejects a failing endpoint, sends one trial after the ejection, and restores the endpoint on success", () => {
        const { table, count } = setUpServices();
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

    it("does not eject the last endpoint when all fail or the others are removed", () => {
        const { table, count } = setUpServices();
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

    it("does not eject more than the maximum share when all endpoints fail, for example with the entry's link", () => {
        const table = new EjectionTable(new SeededRandom(1));
        const all = [...Array(8).keys()].map(String);
        table.setEndpoints(all);
        all.forEach(id => Array.from(Array(5).keys()).forEach(() => table.recordFailure(id, 0)));
        expect(all.filter(id => table.allowsRequest(id, 0))).to.have.length(8 * (1 - maxEjectedShare));
    });

    // More than one trial would burst on an endpoint that may still fail; a lost trial must not block it forever.
    it("allows one trial at a time and another one after the trial timeout", () => {
        const table = ejected(consecutiveFailures);
        const later = 1.2 * baseEjectionMs;
        expect(table.allowsRequest("a", later)).to.be.true;
        table.recordDispatch("a", later);
        expect(table.allowsRequest("a", later)).to.be.false;
        expect(table.allowsRequest("a", later + trialTimeoutMs)).to.be.true;
    });

    it("does not prolong an ejection by failures of requests that were in flight when it began", () => {
        expect(ejected(consecutiveFailures + 20).allowsRequest("a", 1.2 * baseEjectionMs)).to.be.true;
    });

    it("does not eject more than the maximum share under any sequence of results", () => {
        const event = fc.record({
            id: fc.nat(7),
            succeeded: fc.boolean(),
            delayMs: fc.nat(3_000),
            trial: fc.boolean(),
        });
        fc.assert(
            fc.property(fc.array(event, { maxLength: 200 }), events => {
                const table = new EjectionTable(new SeededRandom(1));
                const all = [...Array(8).keys()].map(String);
                table.setEndpoints(all);
                let now = 0;
                for (const { id, succeeded, delayMs, trial } of events) {
                    now += delayMs;
                    if (trial) {
                        table.recordDispatch(`${id}`, now);
                    }
                    if (succeeded) {
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
