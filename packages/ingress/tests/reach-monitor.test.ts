import type { Endpoint } from "@lentilramp/fleet";
import { ReachMonitor } from "@lentilramp/ingress";
import { MemoryEventLog, SeededRandom, SystemClock } from "@lentilramp/runtime";
import { expect } from "chai";
import { holdEventLoop, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
/** Longer than a test of the paths takes, in milliseconds. */
const testMs = 500;

describe("ReachMonitor", () => {
    const endpoints = ["e1", "e2", "e3", "e4"].map(id => new ScriptedEndpoint(id, sealed(200, "ok")));
    const log = new MemoryEventLog();
    let listed: Endpoint[] = [];
    let monitor: ReachMonitor;

    before(async () => {
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
    });

    beforeEach(() => {
        listed = endpoints.map(({ endpoint }) => endpoint);
        monitor = new ReachMonitor(() => listed, () => undefined, new SystemClock(), new SeededRandom(1), log);
    });

    afterEach(() => monitor.close());
    after(() => endpoints.forEach(endpoint => endpoint.close()));

    const fail = (count: number): void => listed.slice(0, count).forEach(({ id }) => monitor.recordUnreached(id));

    // Guards against an ingress that forwards its requests because endpoints are silent or full, or reset connections.
    it("does not take the failures of endpoints that accept connections for a loss of the paths", async () => {
        fail(4);
        await sleep(testMs);
        expect(monitor.isCutOff).to.equal(false);
    });

    // Guards against taking a pause of this process for a loss of the paths.
    it("takes a connection that opened during a pause of its own process for open", async () => {
        await holdEventLoop(400, () => fail(4));
        await sleep(testMs);
        expect(monitor.isCutOff).to.equal(false);
        expect(log.events).to.deep.equal([]);
    });

    it("tests the paths only after several endpoints have failed", async () => {
        listed = listed.map(endpoint => ({ ...endpoint, port: 1 }));
        fail(2);
        await sleep(testMs);
        expect(monitor.isCutOff).to.equal(false);
        fail(3);
        await sleep(testMs);
        expect(monitor.isCutOff).to.equal(true);
    });
});
