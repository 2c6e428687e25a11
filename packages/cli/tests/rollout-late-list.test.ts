import { expect } from "chai";
import { setTimeout as sleep } from "node:timers/promises";
import { exchange, FleetProcesses, PlatformStandIn, ports, until } from "./fleet-harness.ts";
import {
    requestsOf,
    RolloutCallers,
    rolloutConfiguration,
    rolloutLimits,
    rolloutPath,
    VersionedEndpoint,
} from "./rollout-harness.ts";

for (const restarts of [false, true]) {
    describe(`a roll-out that is ordered before the platform has answered${restarts ? ", and all stewards restart" : ""}`, function() {
        this.timeout(90_000);
        const endpoints = {
            v1: ["v1-a", "v1-b"].map(id => new VersionedEndpoint(id, "v1")),
            v2: ["v2-a", "v2-b"].map(id => new VersionedEndpoint(id, "v2")),
        };
        const all = Object.values(endpoints).flat();
        let listed = endpoints.v1;
        const platform = new PlatformStandIn(() => listed.map(({ entry }) => entry));
        const callers = new RolloutCallers();
        let fleet: FleetProcesses;

        before(async () => {
            await Promise.all(all.map(endpoint => endpoint.start()));
            platform.answering = false;
            fleet = new FleetProcesses(await platform.start(), 3, 2, rolloutLimits);
            await fleet.start();
        });

        after(async () => {
            await callers.stop();
            await fleet.close();
            platform.close();
            all.forEach(endpoint => endpoint.close());
        });

        async function control(path: string, method: "PUT" | "POST", body: string): Promise<void> {
            await until(`${path} was confirmed`, async () => {
                const [host = ""] = fleet.stewards;
                return (await exchange(host, ports.control, path, { method, body })).status === 200;
            });
        }

        // Guards against requests to versions that the leader did not know when it accepted the order: the platform stops
        // their replicas at `completed` without draining.
        it("is confirmed, and sends nothing to the version of the first list after its end", async () => {
            await control("/lentilramp/configuration", "PUT", rolloutConfiguration);
            await control(rolloutPath, "POST", JSON.stringify({ service: "app", target: "v2", duration_s: 12 }));
            if (restarts) {
                await Promise.all(fleet.stewards.map(host => fleet.end(host, "SIGKILL")));
                fleet.stewards.forEach(host => fleet.run(host));
            }
            platform.answering = true;
            callers.start(fleet.ingresses);
            await until("the old version serves", async () => requestsOf(endpoints.v1) > 20);
            listed = all;
            await until("the roll-out has ended", async () => {
                const [host = ""] = fleet.stewards;
                const { body } = await exchange(host, ports.control, `${rolloutPath}/app`);
                return body === '{"state":"completed","target":"v2"}';
            });
            const atOld = requestsOf(endpoints.v1);
            const atTarget = requestsOf(endpoints.v2);
            await sleep(1_500);
            expect(requestsOf(endpoints.v1)).to.equal(atOld);
            expect(requestsOf(endpoints.v2)).to.be.above(atTarget);
        });
    });
}
