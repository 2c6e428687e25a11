import { expect } from "chai";
import { request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { exchange, type FleetProcesses, PlatformStandIn, ports, startConfiguredFleet, until } from "./fleet-harness.ts";
import { VersionedEndpoint, versionedEvent } from "./versioned-endpoint.ts";

/** Pause after the first event of a new stream, in milliseconds; all ingresses are killed in it. */
const pauseMs = 3_000;

describe("streams of a fleet whose endpoints have two software versions", function() {
    this.timeout(60_000);
    const endpoints = ["v1", "v1", "v2", "v2"].map((version, i) =>
        new VersionedEndpoint(`i-${i}`, { service: "app", version, events: 2, gapMs: pauseMs })
    );
    const platform = new PlatformStandIn(() => endpoints.map(({ entry }) => entry));
    let fleet: FleetProcesses;

    before(async () => {
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        const configuration = JSON.stringify({
            version: 1,
            routes: [{
                name: "r",
                host: "desk.example",
                path_prefix: "/",
                kind: "streaming",
                timeout_ms: 15_000,
                target_latency_ms: 2_000,
                priority: 0,
                service: "app",
                max_attempts: 3,
                public: true,
                resumable: true,
                gap_target_ms: 2_000,
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
        fleet = await startConfiguredFleet(await platform.start(), { stewards: 3, ingresses: 3, configuration });
    });

    after(async () => {
        await fleet.close();
        platform.close();
        endpoints.forEach(endpoint => endpoint.close());
    });

    /** Begins a stream, and resolves with its version when its first event has come. */
    async function begin(ingress: number, id: string): Promise<string> {
        return await new Promise((resolve, reject) => {
            const req = request({
                host: fleet.ingresses[ingress],
                port: ports.front,
                path: "/x",
                method: "POST",
                agent: false,
                headers: { host: "desk.example", "x-attempt-id": id, "x-deadline-ms": "15000" },
            }, res => {
                res.once("data", () => resolve(String(res.headers["x-response-seal"])));
                res.on("error", () => undefined);
            });
            req.on("error", reject);
            req.end("x");
        });
    }

    // Guards against streams that go on at any version after all ingresses have lost their memory, and against refusing
    // them all because their versions are unknown.
    it("go on at their version after all ingresses were killed", async () => {
        const attempts = Array.from({ length: 12 }, (...[, i]) => `attempt-${i}`);
        const versions = await Promise.all(attempts.map((id, i) => begin(i % 3, id)));
        expect(new Set(versions)).to.have.keys("v1", "v2");
        // Two syncs, so that the stewards have heard of all streams.
        await sleep(600);
        await Promise.all(fleet.ingresses.map(host => fleet.end(host, "SIGKILL")));
        fleet.ingresses.forEach(host => fleet.run(host));
        await until("all ingresses are ready", async () => {
            const answers = await Promise.all(
                fleet.ingresses.map(host => exchange(host, ports.ready, "/lentilramp/readiness")),
            );
            return answers.every(({ status }) => status === 200);
        });
        const answers = await Promise.all(
            attempts.map((id, i) =>
                exchange(fleet.ingresses[(i + 1) % 3] ?? "", ports.front, "/x", {
                    method: "POST",
                    body: "x",
                    headers: {
                        "host": "desk.example",
                        "x-attempt-id": `again-${i}`,
                        "x-deadline-ms": "10000",
                        "last-event-id": "1",
                        "resumes": id,
                    },
                })
            ),
        );
        expect(answers.map(({ status, body }) => [status, body])).to.deep.equal(
            versions.map(version => [200, versionedEvent(version, 2)]),
        );
        expect(answers.map(({ headers }) => headers["x-response-seal"])).to.deep.equal(versions);
    });

    it("are refused when nobody knows their version", async () => {
        const answer = await exchange(fleet.ingresses[0] ?? "", ports.front, "/x", {
            method: "POST",
            body: "x",
            headers: {
                "host": "desk.example",
                "x-attempt-id": "again",
                "x-deadline-ms": "10000",
                "last-event-id": "1",
                "resumes": "attempt-of-nobody",
            },
        });
        expect(answer.status).to.equal(503);
        expect(endpoints.flatMap(({ resumed }) => resumed)).to.not.include("again");
    });
});
