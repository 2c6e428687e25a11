import { expect } from "chai";
import { setTimeout as sleep } from "node:timers/promises";
import { exchange, type FleetProcesses, PlatformStandIn, ports, startConfiguredFleet, until } from "./fleet-harness.ts";
import {
    requestsOf,
    RolloutCallers,
    rolloutConfiguration,
    rolloutLimits,
    rolloutPath as path,
    VersionedEndpoint,
} from "./rollout-harness.ts";

const metricsPort = 9_464;

describe("roll-outs in a fleet of processes under load", function() {
    this.timeout(120_000);
    const endpoints = {
        v1: ["v1-a", "v1-b"].map(id => new VersionedEndpoint(id, "v1")),
        v2: ["v2-a", "v2-b"].map(id => new VersionedEndpoint(id, "v2")),
        v3: ["v3-a", "v3-b"].map(id => new VersionedEndpoint(id, "v3", 50)),
    };
    const all = Object.values(endpoints).flat();
    let listed = endpoints.v1;
    const platform = new PlatformStandIn(() => listed.map(({ entry }) => entry));
    let fleet: FleetProcesses;
    const callers = new RolloutCallers();

    before(async () => {
        await Promise.all(all.map(endpoint => endpoint.start()));
        fleet = await startConfiguredFleet(await platform.start(), {
            stewards: 3,
            ingresses: 3,
            configuration: rolloutConfiguration,
            limits: rolloutLimits,
        });
        callers.start(fleet.ingresses);
    });

    after(async () => {
        await callers.stop();
        await fleet.close();
        platform.close();
        all.forEach(endpoint => endpoint.close());
    });

    async function order(target: string, durationS: number): Promise<void> {
        const body = JSON.stringify({ service: "app", target, duration_s: durationS });
        await until(`the order for ${target} was confirmed`, async () => {
            const [host = ""] = fleet.stewards;
            return (await exchange(host, ports.control, path, { method: "POST", body })).status === 200;
        });
    }

    async function stateOf(host: string): Promise<string> {
        return (await exchange(host, ports.control, `${path}/app`)).body;
    }

    async function leader(): Promise<string> {
        let found = "";
        await until("a steward leads", async () => {
            for (const host of fleet.stewards) {
                const { body } = await exchange(host, metricsPort, "/metrics");
                found = /^lentilramp_leads 1$/m.test(body) ? host : found;
            }
            return found !== "";
        });
        return found;
    }

    // Guards against a roll-out that a new leader forgets, and against `completed` while old endpoints have requests.
    it("move a good version in, over a change of the leader, and leave nothing at the old one", async () => {
        await order("v2", 14);
        listed = [...endpoints.v1, ...endpoints.v2];
        await until("the target gets requests", async () => requestsOf(endpoints.v2) > 0);
        const lost = await leader();
        await fleet.end(lost, "SIGKILL");
        fleet.run(lost);
        const states = new Set<string>();
        await until("the roll-out has ended", async () => {
            const state = await stateOf(fleet.stewards.find(host => host !== lost) ?? "");
            states.add(state);
            return state.includes("completed") || state.includes("rolled_back");
        });
        const inFlight = endpoints.v1.reduce((sum, endpoint) => sum + endpoint.inFlight, 0);
        const atOld = requestsOf(endpoints.v1);
        expect([...states].at(-1)).to.equal('{"state":"completed","target":"v2"}');
        expect(inFlight).to.equal(0);
        await sleep(1_500);
        expect(requestsOf(endpoints.v1)).to.equal(atOld);
        for (const host of fleet.stewards) {
            await until(
                `${host} reads the end back`,
                async () => await stateOf(host) === '{"state":"completed","target":"v2"}',
            );
        }
        listed = endpoints.v2;
    });

    it("roll a bad version back, which gets nothing more", async () => {
        await order("v3", 20);
        listed = [...endpoints.v2, ...endpoints.v3];
        await until("the verdict", async () => {
            const [host = ""] = fleet.stewards;
            return await stateOf(host) === '{"state":"rolled_back","target":"v3"}';
        });
        // Each ingress syncs within this time.
        await sleep(1_000);
        const atTarget = requestsOf(endpoints.v3);
        expect(atTarget).to.be.at.least(8);
        await sleep(1_500);
        expect(requestsOf(endpoints.v3)).to.equal(atTarget);
    });
});
