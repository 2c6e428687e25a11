import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { exchange, ports, type ProcessLimits } from "./fleet-harness.ts";

export const rolloutPath = "/lentilramp/rollouts";
/** Pause between two requests at each ingress, in milliseconds. */
const pauseMs = 25;

export const rolloutLimits: ProcessLimits = { settings: ["contracts=rollout"], nodeOptions: [] };

/** A configuration with one idempotent route to the service "app". */
export const rolloutConfiguration = JSON.stringify({
    version: 1,
    routes: [{
        name: "r",
        host: "desk.example",
        path_prefix: "/",
        kind: "idempotent",
        timeout_ms: 3_000,
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

/** An endpoint of one software version, of whose responses a part fails. */
export class VersionedEndpoint {
    requests = 0;
    inFlight = 0;
    private readonly server: Server = createServer((req, res) => {
        this.requests++;
        this.inFlight++;
        res.once("close", () => this.inFlight--);
        req.resume();
        req.on("end", () => {
            const isFailed = this.requests % 100 < this.failingPercent;
            setTimeout(() => {
                res.writeHead(isFailed ? 500 : 200, {
                    "x-attempt-id": String(req.headers["x-attempt-id"]),
                    "x-response-seal": "s",
                });
                res.end(this.version);
            }, 10);
        });
    });

    constructor(readonly id: string, readonly version: string, private readonly failingPercent = 0) {}

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    get entry(): unknown {
        const { port } = this.server.address() as AddressInfo;
        const { id, version } = this;
        return { id, service: "app", address: `127.0.0.1:${port}`, zone: "a", slots: 32, state: "ready", version };
    }
}

/** Returns the requests that the endpoints have received. */
export function requestsOf(group: readonly VersionedEndpoint[]): number {
    return group.reduce((sum, { requests }) => sum + requests, 0);
}

/** Callers that send one request after the other to each ingress. */
export class RolloutCallers {
    private stopped = false;
    private readonly callers: Promise<void>[] = [];

    start(ingresses: readonly string[]): void {
        this.callers.push(...ingresses.map(host => this.callRepeatedly(host)));
    }

    async stop(): Promise<void> {
        this.stopped = true;
        await Promise.all(this.callers);
    }

    private async callRepeatedly(host: string): Promise<void> {
        for (let i = 0; !this.stopped; i++) {
            const headers = { "host": "desk.example", "x-attempt-id": `${host}-${i}`, "x-deadline-ms": "3000" };
            await exchange(host, ports.front, "/x", { method: "POST", body: "x", headers }).catch(() => undefined);
            await sleep(pauseMs);
        }
    }
}
