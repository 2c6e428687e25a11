import { expect } from "chai";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { exchange, type FleetProcesses, PlatformStandIn, ports, startConfiguredFleet } from "./fleet-harness.ts";

const configuration = JSON.stringify({
    version: 1,
    routes: [{
        name: "safe",
        host: "leaving.example",
        path_prefix: "/",
        kind: "safe",
        timeout_ms: 2_000,
        target_latency_ms: 400,
        priority: 0,
        service: "app",
        max_attempts: 1,
        public: false,
    }],
    services: [{ name: "app", health_check_path: "/h", connection_limit: 200 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "w", api_keys: ["key"], priority: 0 }],
});
/** Time in which all ingresses sync with the leader twice, in milliseconds. */
const twoSyncsMs = 1_200;

describe("leaving endpoint", function() {
    this.timeout(60_000);
    const received: string[] = [];
    const endpoints = ["leaving", "staying"].map(id => ({
        id,
        server: createServer((req, res) => {
            received.push(id);
            res.writeHead(200, {
                "x-attempt-id": String(req.headers["x-attempt-id"]),
                "x-response-seal": "s",
                ...id === "leaving" ? { "server-leaving": "1" } : {},
            });
            res.end("ok");
        }),
    }));
    const platform = new PlatformStandIn(() =>
        endpoints.map(({ id, server }) => ({
            id,
            service: "app",
            address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
            zone: "a",
            slots: 8,
            state: "ready",
        }))
    );
    let fleet: FleetProcesses;

    before(async () => {
        for (const { server } of endpoints) {
            server.listen(0, "127.0.0.1");
            await once(server, "listening");
        }
        fleet = await startConfiguredFleet(await platform.start(), { stewards: 3, ingresses: 3, configuration });
    });

    after(async () => {
        await fleet.close();
        platform.close();
        endpoints.forEach(({ server }) => {
            server.close();
            server.closeAllConnections();
        });
    });

    async function call(host: string, id: string): Promise<void> {
        const headers = { host: "leaving.example", "x-attempt-id": id, "api-key": "key", "x-deadline-ms": "2000" };
        expect((await exchange(host, ports.front, "/x", { headers })).status).to.equal(200);
    }

    // Guards against ingresses that each send a request to an endpoint that has told another ingress that it leaves.
    it("gets no request from an ingress that it has not told itself", async () => {
        const [first = "", ...others] = fleet.ingresses;
        for (let i = 0; !received.includes("leaving"); i++) {
            await call(first, `first-${i}`);
        }
        await sleep(twoSyncsMs);
        const before = received.filter(id => id === "leaving").length;
        for (const host of others) {
            for (let i = 0; i < 10; i++) {
                await call(host, `${host}-${i}`);
            }
        }
        expect(received.filter(id => id === "leaving").length === before).to.equal(true);
    });
});
