import { expect } from "chai";
import { createServer, type IncomingMessage, request, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { exchange, type FleetProcesses, PlatformStandIn, ports, startConfiguredFleet, until } from "./fleet-harness.ts";

/** Pause after the first event of a new stream, in milliseconds; all ingresses are killed in it. */
const pauseMs = 3_000;
const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];

/** An endpoint of one software version, which writes its version into its events. */
class VersionedEndpoint {
    /** Ids of the requests that were resumed here. */
    readonly resumed: string[] = [];
    private readonly server: Server = createServer((req, res) => void this.answer(req, res));

    constructor(readonly id: string, readonly version: string) {}

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    get entry(): unknown {
        const { port } = this.server.address() as AddressInfo;
        return {
            id: this.id,
            service: "app",
            address: `127.0.0.1:${port}`,
            zone: "a",
            slots: 32,
            state: "ready",
            version: this.version,
        };
    }

    private async answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
        req.resume();
        const id = String(req.headers["x-attempt-id"]);
        const from = Number(req.headers["last-event-id"] ?? 0);
        res.writeHead(200, { "x-attempt-id": id, "x-response-seal": this.version });
        if (from > 0) {
            this.resumed.push(id);
        }
        else {
            res.write(events[0]);
            await sleep(pauseMs);
        }
        res.end(events[1]);
    }
}

describe("streams of a fleet whose endpoints have two software versions", function() {
    this.timeout(60_000);
    const endpoints = ["v1", "v1", "v2", "v2"].map((version, i) => new VersionedEndpoint(`i-${i}`, version));
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
        expect(answers.map(({ status, body }) => [status, body])).to.deep.equal(attempts.map(() => [200, events[1]]));
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
