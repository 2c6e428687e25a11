import { expect } from "chai";
import { setTimeout as sleep } from "node:timers/promises";
import { type FleetProcesses, PlatformStandIn, startConfiguredFleet, until } from "./fleet-harness.ts";
import { StreamCaller } from "./stream-caller.ts";
import { VersionedEndpoint } from "./versioned-endpoint.ts";

const timeoutMs = 60_000;
const gapMs = 500;
const events = 90;
const streamsOfService = 8;
/** Time from the beginning of the streams to the loss of their ingress, in milliseconds. */
const lostAfterMs = 36_000;

const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: 1_000_000,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

function routeTo(service: string): unknown {
    return {
        name: service,
        host: "desk.example",
        path_prefix: `/${service}/`,
        kind: "streaming",
        timeout_ms: timeoutMs,
        target_latency_ms: 2_000,
        priority: 0,
        service,
        max_attempts: 2,
        public: true,
        resumable: true,
        gap_target_ms: 2_000,
    };
}

describe("streams that run for longer than half a minute", function() {
    this.timeout(120_000);
    const endpoint = (service: string, version: string, i: number) =>
        new VersionedEndpoint(`${service}-${version}-${i}`, { service, version, events, gapMs });
    /** Two versions side by side. */
    const kept = [
        endpoint("kept", "v1", 1),
        endpoint("kept", "v1", 2),
        endpoint("kept", "v2", 1),
        endpoint("kept", "v2", 2),
    ];
    /** One version, which leaves the list as the next one comes. Its endpoints go on. */
    const old = [endpoint("replaced", "v1", 1), endpoint("replaced", "v1", 2)];
    const next = [endpoint("replaced", "v2", 1), endpoint("replaced", "v2", 2)];
    let listed = [...kept, ...old];
    const platform = new PlatformStandIn(() => listed.map(({ entry }) => entry));
    let fleet: FleetProcesses;

    before(async () => {
        await Promise.all([...kept, ...old, ...next].map(one => one.start()));
        const services = ["kept", "replaced"].map(name => ({ name, health_check_path: "/h", connection_limit: 400 }));
        const routes = ["kept", "replaced"].map(routeTo);
        fleet = await startConfiguredFleet(await platform.start(), {
            stewards: 3,
            ingresses: 4,
            configuration: JSON.stringify({ version: 1, routes, services, limits, tenants: [] }),
        });
    });

    after(async () => {
        await fleet.close();
        platform.close();
        [...kept, ...old, ...next].forEach(one => one.close());
    });

    // Guards against an origin that is forgotten while its stream runs, and against a version that is forgotten while its
    // streams run: they went on at none, and at another one. The leader is lost in the meantime.
    it("can be taken up at their version, and nowhere else, when their ingress is lost", async () => {
        const [first = "", ...others] = fleet.ingresses;
        const callers = ["kept", "replaced"].map(service =>
            Array.from(
                { length: streamsOfService },
                (...[, i]) =>
                    new StreamCaller(`${service}-${i}`, { host: "desk.example", path: `/${service}/x`, timeoutMs }),
            )
        );
        const begun = callers.flat().map(caller => caller.attempt(first));
        await sleep(3_000);
        listed = [...kept, ...next];
        await sleep(3_000);
        const leader = fleet.stewards[0] ?? "";
        await fleet.end(leader, "SIGKILL");
        fleet.run(leader);
        await sleep(lostAfterMs - 6_000);
        await fleet.end(first, "SIGKILL");
        await Promise.all(begun);
        const [keptOn = [], replacedOn = []] = await Promise.all(
            callers.map(group => Promise.all(group.map(caller => caller.takeUp(others, 4)))),
        );
        expect(keptOn.filter(Boolean).length, "taken up at their version").to.equal(streamsOfService);
        expect(replacedOn.filter(Boolean).length, "taken up without their version").to.equal(0);
        const [keptCallers = [], replacedCallers = []] = callers;
        for (const { versions, complete } of keptCallers) {
            expect({ versions: versions.size, complete }).to.deep.equal({ versions: 1, complete: true });
        }
        for (const { versions, statuses } of replacedCallers) {
            expect([...versions]).to.deep.equal(["v1"]);
            expect(new Set(statuses)).to.deep.equal(new Set([503]));
        }
        await until("the lost leader is back", async () => fleet.runs(leader));
    });
});
