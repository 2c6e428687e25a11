import { expect } from "chai";
import { Agent, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { type FleetProcesses, PlatformStandIn, ports, startConfiguredFleet } from "./fleet-harness.ts";
import { type Arrival, brokenLimits, limitedArrivals, type LimitNamed } from "./soak/limits.ts";
import { SoakEndpoint } from "./soak/soak-endpoint.ts";

const limitPerSecond = 3;
const callers = 12;
const callerPauseMs = 40;
/** Time for which a caller waits, in milliseconds. */
const deadlineMs = 2_000;
/** Time within which an answer is on time by the route, in milliseconds. */
const targetLatencyMs = 400;
/** Time for which the endpoint names its limit, in milliseconds. */
const limitMs = 10_000;

const configuration = JSON.stringify({
    version: 1,
    routes: [{
        name: "safe",
        host: "limit.example",
        path_prefix: "/safe/",
        kind: "safe",
        timeout_ms: deadlineMs,
        target_latency_ms: targetLatencyMs,
        priority: 0,
        service: "app",
        max_attempts: 2,
        public: false,
    }],
    services: [{ name: "app", health_check_path: "/h", connection_limit: 200 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "w", api_keys: ["key"], priority: 0 }],
});

describe("limit of an endpoint", function() {
    this.timeout(90_000);
    const arrivals: Arrival[] = [];
    const endpoint = new SoakEndpoint("i-app", "app", [], arrivals);
    const platform = new PlatformStandIn(() => [{
        id: endpoint.id,
        service: endpoint.service,
        address: `127.0.0.1:${endpoint.port}`,
        zone: "a",
        slots: 16,
        state: "ready",
    }]);
    const refusals: { ms: number; retryAfter: number; }[] = [];
    let fleet: FleetProcesses;
    let limit: LimitNamed;

    async function call(host: string, id: string, agent: Agent): Promise<void> {
        const sentAt = performance.now();
        await new Promise<void>(resolve => {
            const req = request({
                host,
                port: ports.front,
                path: `/safe/${id}`,
                agent,
                headers: {
                    host: "limit.example",
                    "x-attempt-id": id,
                    "api-key": "key",
                    "x-deadline-ms": String(deadlineMs),
                },
            }, res => {
                if (res.statusCode === 503) {
                    refusals.push({
                        ms: performance.now() - sentAt,
                        retryAfter: Number(res.headers["retry-after"]),
                    });
                }
                res.resume().on("close", resolve);
            });
            req.on("error", () => resolve());
            req.end();
        });
    }

    before(async () => {
        await endpoint.start();
        fleet = await startConfiguredFleet(await platform.start(), { stewards: 3, ingresses: 3, configuration });
        endpoint.nameLimit(String(limitPerSecond));
        const from = Date.now();
        limit = { endpoint: endpoint.id, perSecond: limitPerSecond, from, until: from + limitMs };
        await Promise.all(Array.from({ length: callers }, async (...[, caller]) => {
            const agent = new Agent({ keepAlive: true, maxSockets: 1 });
            for (let i = 0; Date.now() < limit.until; i++) {
                await call(fleet.ingresses[caller % 3] ?? "", `c${caller}-${i}`, agent);
                await sleep(callerPauseMs);
            }
            agent.destroy();
        }));
    });

    after(async () => {
        await fleet.close();
        platform.close();
        endpoint.close();
    });

    // Guards against ingresses that ignore the limit which an endpoint names, or that each use all of it.
    it("holds for the sum of the requests of all ingresses", () => {
        expect(brokenLimits([limit], arrivals).length === 0).to.equal(true);
    });

    // Guards against a fleet that keeps the limit by sending almost nothing.
    it("is used while callers ask for more", () => {
        const usedMs = limitMs - 4_000;
        const used = limitedArrivals({ ...limit, from: limit.from + 3_500 }, arrivals).length;
        expect(used).to.be.at.least(limitPerSecond * usedMs / 1_000 * 0.5);
    });

    // Guards against requests that wait until their deadline although the limit is used up, and against returns in a wave.
    it("refuses the requests that it does not allow at once, with different times to return", () => {
        const delays = refusals.map(({ ms }) => ms).sort((a, b) => a - b);
        expect(refusals.length).to.be.above(50);
        expect(delays[Math.floor(delays.length * 0.9)]).to.be.below(targetLatencyMs);
        expect(new Set(refusals.map(({ retryAfter }) => retryAfter.toFixed(2))).size).to.be.above(10);
        expect(refusals.every(({ retryAfter }) => retryAfter > 0)).to.equal(true);
    });
});
