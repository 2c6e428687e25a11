import { exchange, ports } from "./fleet-harness.ts";
import { describeFleetUnderLoad, type FleetTarget } from "./untrusted-clients-fleet.ts";

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

const asked = async (answer: Promise<{ status: number; }>): Promise<number> => (await answer).status;
const targets: readonly FleetTarget[] = [
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
describeFleetUnderLoad("untrusted clients", configuration, targets);
