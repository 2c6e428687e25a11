import { expect } from "chai";
import { setTimeout as sleep } from "node:timers/promises";
import { firstHost, type FleetProcesses, PlatformStandIn, startConfiguredFleet, until } from "./fleet-harness.ts";
import { InnerNetwork } from "./inner-network.ts";
import { StreamCaller } from "./stream-caller.ts";
import { VersionedEndpoint } from "./versioned-endpoint.ts";

const timeoutMs = 15_000;
/** Longest time by which the platform's list is behind, in milliseconds. */
const maxLagMs = 800;
/** Time from the join of a version to the loss of its endpoints, within which not every reader has to see it. */
const lostAfterMs = 590;
const streams = 24;

const configuration = JSON.stringify({
    version: 1,
    routes: [{
        name: "r",
        host: "desk.example",
        path_prefix: "/",
        kind: "streaming",
        timeout_ms: timeoutMs,
        target_latency_ms: 2_000,
        priority: 0,
        service: "app",
        max_attempts: 2,
        public: true,
        resumable: true,
        gap_target_ms: 2_000,
    }],
    services: [{ name: "app", health_check_path: "/h", connection_limit: 400 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [],
});

describe("streams of a version that joins while one ingress is out of step", function() {
    this.timeout(90_000);
    let endpoints: VersionedEndpoint[] = [];
    let network: InnerNetwork;
    let platform: PlatformStandIn;
    let fleet: FleetProcesses;
    /** When the second version has joined, in milliseconds since the epoch. */
    let joinedAt = Infinity;
    /** Returns by how much the list of a reader is behind, in milliseconds; called for each read. */
    let lagOf: (reader: string) => number = () => 0;

    const ofVersion = (version: string): VersionedEndpoint[] =>
        endpoints.filter(endpoint => endpoint.version === version);

    beforeEach(async () => {
        endpoints = ["v1", "v1", "v2", "v2"].map((version, i) =>
            new VersionedEndpoint(`i-${i}`, { service: "app", version, events: 12, gapMs: 500 })
        );
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        joinedAt = Infinity;
        lagOf = () => 0;
        network = new InnerNetwork(firstHost.ingress);
        await network.start();
        let leaderReads = 0;
        platform = new PlatformStandIn(reader => {
            leaderReads += Number(reader.split(".").at(-1)) < firstHost.ingress ? 1 : 0;
            const lagMs = lagOf(reader);
            return endpoints.filter(({ version }) => version === "v1" || Date.now() - lagMs >= joinedAt)
                .map(({ entry }) => entry);
        });
        fleet = await startConfiguredFleet(await platform.start(), {
            stewards: 3,
            ingresses: 3,
            configuration,
            // A leader that has read the list before there is a configuration knows of all versions so far.
            beforeConfiguration: () => until("the leader has read the list twice", async () => leaderReads >= 2),
            limits: { settings: [`cloud.max_lag_ms=${maxLagMs}`], nodeOptions: network.nodeOptions },
        });
    });

    afterEach(async () => {
        await fleet.close();
        network.close();
        platform.close();
        endpoints.forEach(endpoint => endpoint.close());
    });

    /** Begins streams at some ingresses; each is taken up at others if it breaks off, four times at most. */
    function begin(count: number, first: readonly string[], next: readonly string[]) {
        const callers = Array.from(
            { length: count },
            (...[, i]) => new StreamCaller(`s-${i}`, { host: "desk.example", path: "/x", timeoutMs }),
        );
        const ended = Promise.all(callers.map(async (caller, i) => {
            await caller.attempt(first[i % first.length] ?? "");
            return caller.complete || await caller.takeUp(next, 4);
        }));
        return { callers, ended };
    }

    function expectOneVersionEach(callers: readonly StreamCaller[]): void {
        expect(callers.map(({ versions }) => [...versions].join(" and ")).filter(text => text.includes("and")))
            .to.deep.equal([]);
    }

    // Guards against an ingress that reads a version from the platform before the leader knows of it, and begins streams
    // there that the others take for streams of the only version: 12 of 12 went on at another version.
    it("go on at no other version when they began at an ingress that was cut off", async () => {
        const [cutOff = "", ...others] = fleet.ingresses;
        network.cut();
        await sleep(2_500);
        // The version joins as the ingress reads the list, and the list of all others is as far behind as may be.
        lagOf = reader => {
            if (reader === cutOff && joinedAt === Infinity) {
                joinedAt = Date.now();
            }
            return reader === cutOff ? 0 : maxLagMs;
        };
        await until("the ingress has read the list", async () => joinedAt !== Infinity);
        await sleep(100);
        const { callers, ended } = begin(streams, [cutOff], others);
        await sleep(lostAfterMs - 100);
        ofVersion("v2").forEach(endpoint => endpoint.close());
        await fleet.end(cutOff, "SIGKILL");
        await ended;
        expect(callers.every(({ statuses }) => statuses.length > 0), "taken up").to.equal(true);
        expectOneVersionEach(callers);
    });

    // Guards against keeping a version out of use for good. What such an ingress begins it can tell nobody.
    it("begin at an ingress that is cut off once every leader knows of their version, and are refused elsewhere", async () => {
        const [cutOff = "", ...others] = fleet.ingresses;
        network.cut();
        await sleep(2_500);
        joinedAt = Date.now();
        const begun: ReturnType<typeof begin>[] = [];
        await until("the version is used", async () => {
            begun.push(begin(4, [cutOff], others));
            await sleep(300);
            return begun.some(({ callers }) => callers.some(({ versions }) => versions.has("v2")));
        });
        await fleet.end(cutOff, "SIGKILL");
        const goOn = await Promise.all(begun.map(({ ended }) => ended));
        expect(goOn.flat().filter(Boolean)).to.deep.equal([]);
        begun.forEach(({ callers }) => expectOneVersionEach(callers));
    });

    for (
        const [state, begins, ends] of [
            ["cut off", () => network.cut(), () => network.heal()],
            [
                "held",
                (host: string) => fleet.signal(host, "SIGSTOP"),
                (host: string) => fleet.signal(host, "SIGCONT"),
            ],
        ] as const
    ) {
        // Guards against an ingress that takes its own list for the fleet's.
        it(`go on at no other version when they are taken up at an ingress that was ${state}`, async () => {
            const [outOfStep = "", ...others] = fleet.ingresses;
            begins(outOfStep);
            await sleep(1_000);
            joinedAt = Date.now();
            lagOf = reader => reader === outOfStep ? maxLagMs : 0;
            await sleep(1_000);
            const { callers, ended } = begin(streams, others, [outOfStep]);
            await until("streams have begun", async () => callers.every(({ lastEvent }) => lastEvent > 0));
            expect(callers.some(({ versions }) => versions.has("v2"))).to.equal(true);
            ofVersion("v2").forEach(endpoint => endpoint.close());
            await sleep(1_000);
            ends(outOfStep);
            await ended;
            expect(callers.some(({ statuses }) => statuses.length > 0), "taken up").to.equal(true);
            expectOneVersionEach(callers);
        });
    }
});
