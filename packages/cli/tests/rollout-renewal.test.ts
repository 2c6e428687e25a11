import { renewAnswerSchema, renewMethod, type RenewRequest } from "@lentilramp/rollouts";
import { expect } from "chai";
import { withClient } from "../src/operator-client.ts";
import {
    exchange,
    type FleetProcesses,
    innerPort,
    PlatformStandIn,
    ports,
    startConfiguredFleet,
    until,
} from "./fleet-harness.ts";
import {
    requestsOf,
    RolloutCallers,
    rolloutConfiguration,
    rolloutLimits,
    rolloutPath,
    VersionedEndpoint,
} from "./rollout-harness.ts";

describe("a roll-out whose shares end before the next syncs", function() {
    this.timeout(120_000);
    const endpoints = {
        v1: ["v1-a", "v1-b"].map(id => new VersionedEndpoint(id, "v1")),
        v2: ["v2-a", "v2-b"].map(id => new VersionedEndpoint(id, "v2")),
    };
    const all = Object.values(endpoints).flat();
    let listed = endpoints.v1;
    const platform = new PlatformStandIn(() => listed.map(({ entry }) => entry));
    let fleet: FleetProcesses;
    const callers = new RolloutCallers();

    before(async () => {
        await Promise.all(all.map(endpoint => endpoint.start()));
        // Shares hold for half of this time, in which no two syncs fall.
        const limits = { ...rolloutLimits, settings: [...rolloutLimits.settings, "bounds.rollback_ms=700"] };
        fleet = await startConfiguredFleet(await platform.start(), {
            stewards: 1,
            ingresses: 2,
            configuration: rolloutConfiguration,
            limits,
        });
        callers.start(fleet.ingresses);
    });

    after(async () => {
        await callers.stop();
        await fleet.close();
        platform.close();
        all.forEach(endpoint => endpoint.close());
    });

    // Guards against a renewal that is not answered, or that only processes with the key of the fleet should get.
    it("is completed, with renewals by the ingresses that take the share", async () => {
        const [steward = ""] = fleet.stewards;
        const body = JSON.stringify({ service: "app", target: "v2", duration_s: 14 });
        await until(
            "the order was confirmed",
            async () => (await exchange(steward, ports.control, rolloutPath, { method: "POST", body })).status === 200,
        );
        listed = [...endpoints.v1, ...endpoints.v2];
        await until("the target gets requests", async () => requestsOf(endpoints.v2) > 0);
        const req: RenewRequest = { ingress: "probe", lifetime: "probe", rolloutResults: {}, load: {} };
        const address = `${steward}:${innerPort}`;
        await withClient({ control: address, key: fleet.keyFile }, async client => {
            const [peer = { host: "", port: 0 }] = client.control;
            const answer = await client.call(peer, renewMethod, req, renewAnswerSchema);
            expect(answer.leading).to.equal(true);
            expect(answer.rollouts?.services.app).to.deep.include({ state: "running", validMs: 350, renewMs: 210 });
        });
        await until(
            "the roll-out has ended",
            async () => !(await exchange(steward, ports.control, `${rolloutPath}/app`)).body.includes("running"),
        );
        const end = await exchange(steward, ports.control, `${rolloutPath}/app`);
        expect(end.body).to.equal('{"state":"completed","target":"v2"}');
    });
});
