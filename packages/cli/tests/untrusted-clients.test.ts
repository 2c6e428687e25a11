import { exchange, type FleetProcesses, PlatformStandIn, ports, startConfiguredFleet } from "./fleet-harness.ts";
import {
    boundedFleet,
    expectSurvival,
    loads,
    type LoadTarget,
    type UntrustedClients,
} from "./untrusted-clients-load.ts";

const maxBodyBytes = 1_048_576;
const callerHeaders = "Host: desk.example\r\nApi-Key: key\r\nX-Attempt-Id: id\r\nX-Deadline-Ms: 3000\r\n";

const configuration = JSON.stringify({
    version: 1,
    routes: [{
        host: "desk.example",
        timeout_ms: 4_000,
        target_latency_ms: 1_000,
        priority: 0,
        max_attempts: 2,
        public: false,
        name: "safe",
        path_prefix: "/safe/",
        kind: "safe",
        service: "app",
    }],
    services: [{ name: "app", health_check_path: "/health", connection_limit: 64 }],
    limits: { max_body_bytes: maxBodyBytes, idle_timeout_ms: 15_000 },
    tenants: [{ name: "hire", api_keys: ["key"], unit: "requests", rate_per_s: 100_000, burst: 100_000 }],
});

/** A server of the product, with the ordinary request that it has to answer afterwards. */
interface Target extends LoadTarget {
    name: string;
    role: "ingress" | "steward";
    port: number;
    ask: (host: string) => Promise<number>;
}

const asked = async (answer: Promise<{ status: number; }>): Promise<number> => (await answer).status;
const targets: readonly Target[] = [
    {
        name: "callers' address of an ingress",
        role: "ingress",
        port: ports.front,
        method: "POST",
        path: "/safe/x",
        headers: callerHeaders,
        ask: host =>
            asked(exchange(host, ports.front, "/safe/x", {
                method: "POST",
                headers: {
                    host: "desk.example",
                    "api-key": "key",
                    "x-attempt-id": "ordinary",
                    "x-deadline-ms": "3000",
                },
                body: "x".repeat(50_000),
            })),
    },
    {
        name: "readiness address of an ingress",
        role: "ingress",
        port: ports.ready,
        method: "POST",
        path: "/lentilramp/readiness",
        headers: "Host: h\r\n",
        ask: host => asked(exchange(host, ports.ready, "/lentilramp/readiness")),
    },
    {
        name: "operators' address of a steward",
        role: "steward",
        port: ports.control,
        method: "PUT",
        path: "/lentilramp/configuration",
        headers: "Host: h\r\n",
        ask: host => asked(exchange(host, ports.control, "/lentilramp/configuration")),
    },
    {
        name: "lookup address of a steward",
        role: "steward",
        port: ports.directory,
        method: "GET",
        path: "/lentilramp/resolution?name=desk.example&region=r&zone=a",
        headers: "Host: h\r\n",
        ask: host => asked(exchange(host, ports.directory, "/lentilramp/resolution?name=desk.example&region=r&zone=a")),
    },
];

// Guards against clients that end a process: before the memory account, what they sent and did not read was kept
// without a common bound.
describe("untrusted clients", function() {
    this.timeout(120_000);
    const platform = new PlatformStandIn();
    let cloudAddress: string;
    let fleet: FleetProcesses | undefined;
    let clients: UntrustedClients | undefined;

    before(async () => {
        cloudAddress = await platform.start();
    });

    beforeEach(async () => {
        fleet = await startConfiguredFleet(cloudAddress, {
            stewards: 1,
            ingresses: 1,
            configuration,
            limits: boundedFleet,
        });
    });

    afterEach(async () => {
        clients?.close();
        await fleet?.close();
    });

    after(() => platform.close());

    for (const target of targets) {
        for (const load of loads) {
            it(`at the ${target.name}: ${load.name}`, async () => {
                const host = (target.role === "ingress" ? fleet?.ingresses : fleet?.stewards)?.[0] ?? "";
                await expectSurvival(
                    {
                        pid: () => fleet?.pid(host),
                        exits: () => fleet?.unexpectedExits,
                        ask: () => target.ask(host),
                    },
                    opened => clients = opened,
                    { ...target, host },
                    load,
                );
            });
        }
    }
});
