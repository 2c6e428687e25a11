import { EndpointHealth, type EndpointOutcome } from "@lentilramp/dispatch";
import { type Endpoint, EndpointDirectory } from "@lentilramp/fleet";
import { ManualClock, MemoryEventLog, MemoryMetrics, SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import { testRoute } from "../../catalog/tests/fixtures.ts";
import type { AdmittedRequest } from "../src/admission.ts";
import { CallRecorder } from "../src/call-recorder.ts";
import type { RelayContext } from "../src/relay-context.ts";
import { VersionSplit } from "../src/version-split.ts";

const service = "app";

/** Endpoints that count how often a property of one of them is read. */
function countingEndpoints(count: number): { endpoints: Endpoint[]; reads: () => number; } {
    let reads = 0;
    const endpoints = [...Array(count).keys()].map(i =>
        new Proxy<Endpoint>({
            id: `e${i}`,
            service,
            host: "10.0.0.1",
            port: 80,
            failureDomain: "a",
            slots: 4,
            ready: true,
            reclaimable: false,
        }, {
            get: (endpoint, property: keyof Endpoint) => {
                reads++;
                return endpoint[property];
            },
        })
    );
    return { endpoints, reads: () => reads };
}

/** Returns how often properties of endpoints are read for 1,000 outcomes, of which `failing` endpoints break theirs. */
function readsOfOutcomes(count: number, failing: number): { reads: number; ejections: number; } {
    const clock = new ManualClock(100_000);
    const random = new SeededRandom(1);
    const { endpoints, reads } = countingEndpoints(count);
    const directory = new EndpointDirectory();
    directory.update(endpoints, clock.now());
    const log = new MemoryEventLog();
    const ctx = {
        view: { endpoints: directory, health: new EndpointHealth() },
        clock,
        log,
        versionSplit: new VersionSplit(clock, random, new MemoryMetrics()),
    } as unknown as RelayContext;
    const admitted = { route: testRoute(), dispatch: { service } } as unknown as AdmittedRequest;
    // The last endpoints, which a search of the list reaches after all others.
    const chosen = endpoints.slice(-40);
    const record = (i: number, outcome: EndpointOutcome): void => {
        new CallRecorder(admitted, ctx).recordHealth(chosen[i] as Endpoint, outcome);
    };
    // The first failure after a change of the list may build an index of it.
    record(1, "answered");
    [0, 1].forEach(() => record(0, "broken"));
    log.events.splice(0);
    const before = reads();
    for (let step = 0; step < 1_000; step++) {
        clock.advanceTo(clock.now() + 30);
        const i = random.nextInt(chosen.length);
        record(i, i < failing ? "broken" : "answered");
    }
    return {
        reads: reads() - before,
        ejections: log.events.filter(({ name }) => name === "endpoint.ejected").length,
    };
}

describe("Cost of an outcome at an ingress", () => {
    // Guards against a list of 7,400 siblings that is built for each answer: 78 us.
    for (const [what, failing] of [["all are answered", 0], ["a fifth breaks", 8]] as const) {
        it(`reads no more endpoints of 8,000 than of 500 for an outcome while ${what}`, () => {
            const [smaller, larger] = [500, 8_000].map(count => readsOfOutcomes(count, failing)) as [
                ReturnType<typeof readsOfOutcomes>,
                ReturnType<typeof readsOfOutcomes>,
            ];
            expect(larger.ejections > 0).to.equal(failing > 0);
            expect(larger).to.deep.equal(smaller);
        });
    }
});
