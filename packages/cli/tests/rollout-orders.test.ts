import { expect } from "chai";
import {
    type Answer,
    exchange,
    type FleetProcesses,
    PlatformStandIn,
    ports,
    startConfiguredFleet,
    until,
} from "./fleet-harness.ts";

const path = "/lentilramp/rollouts";

describe("orders for roll-outs in a fleet of processes", function() {
    this.timeout(60_000);
    const platform = new PlatformStandIn();
    let fleet: FleetProcesses;

    before(async () => {
        const configuration = JSON.stringify({
            version: 1,
            routes: [{
                name: "r",
                host: "desk.example",
                path_prefix: "/",
                kind: "idempotent",
                timeout_ms: 15_000,
                target_latency_ms: 2_000,
                priority: 0,
                service: "app",
                max_attempts: 3,
                public: true,
            }],
            services: [{ name: "app", health_check_path: "/h", connection_limit: 400 }],
            limits: {
                max_header_bytes: 16_384,
                max_body_bytes: 1_000_000,
                header_timeout_ms: 3_000,
                idle_timeout_ms: 15_000,
            },
            tenants: [],
        });
        fleet = await startConfiguredFleet(await platform.start(), {
            stewards: 3,
            ingresses: 1,
            configuration,
            limits: { settings: ["contracts=rollout"], nodeOptions: [] },
        });
    });

    after(async () => {
        await fleet.close();
        platform.close();
    });

    const order = (host: string, target: string, service = "app"): Promise<Answer> =>
        exchange(host, ports.control, path, {
            method: "POST",
            body: JSON.stringify({ service, target, duration_s: 60 }),
        });
    const read = (host: string): Promise<Answer> => exchange(host, ports.control, `${path}/app`);

    // Guards against a confirmed order that is lost with the leader.
    it("are confirmed, survive a kill of each steward in turn, and are read back at each one", async () => {
        const [first = "", second = "", third = ""] = fleet.stewards;
        expect((await read(first)).status).to.equal(404);
        expect((await order(first, "v2")).status).to.equal(200);
        expect((await order(second, "v2")).status).to.equal(200);
        expect((await order(third, "v3")).status).to.equal(409);
        expect((await order(third, "v2", "unknown")).status).to.equal(400);
        const statuses = new Set<number>();
        for (const killed of fleet.stewards) {
            await fleet.end(killed, "SIGKILL");
            for (const host of fleet.stewards.filter(steward => steward !== killed)) {
                await until("the order is read back", async () => {
                    const { status, body } = await read(host);
                    statuses.add(status);
                    return status === 200 && body === '{"state":"running","target":"v2"}';
                });
            }
            fleet.run(killed);
        }
        // Until another steward leads, nothing else than 503 is true.
        expect([...statuses].filter(status => status !== 200 && status !== 503)).to.deep.equal([]);
    });
});
