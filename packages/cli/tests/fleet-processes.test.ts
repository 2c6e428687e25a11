import { expect } from "chai";
import { exchange, FleetProcesses, PlatformStandIn, ports, until } from "./fleet-harness.ts";

const route = {
    host: "desk.example",
    timeout_ms: 4_000,
    target_latency_ms: 1_000,
    priority: 0,
    max_attempts: 2,
    public: false,
};
const configuration = (version: number): string =>
    JSON.stringify({
        version,
        routes: [
            { ...route, name: "safe", path_prefix: "/safe/", kind: "safe", service: "app" },
            { ...route, name: "unsafe", path_prefix: "/unsafe/", kind: "unsafe", service: "app", max_attempts: 1 },
            { ...route, name: "stream", path_prefix: "/stream/", kind: "streaming", service: "model", resumable: true },
        ],
        services: [
            { name: "app", health_check_path: "/health", connection_limit: 64 },
            {
                name: "model",
                health_check_path: "/health",
                connection_limit: 64,
                engine: { slots: 8, kv_cache_tokens: 9_000 },
            },
        ],
        limits: { max_body_bytes: 65_536, idle_timeout_ms: 5_000 },
        tenants: [{
            name: "hire",
            api_keys: ["key"],
            unit: "tokens",
            plain_tokens: 10,
            rate_per_s: 100_000,
            burst: 100_000,
        }],
    });

describe("processes of a fleet", function() {
    this.timeout(120_000);
    const platform = new PlatformStandIn();
    let fleet: FleetProcesses;
    let nextId = 1;

    before(async () => {
        fleet = new FleetProcesses(await platform.start(), 5, 8);
        await fleet.start();
    });

    after(async () => {
        await fleet.close();
        platform.close();
    });

    const put = (host: string, text: string) =>
        exchange(host, ports.control, "/lentilramp/configuration", { method: "PUT", body: text });
    const read = (host: string) => exchange(host, ports.control, "/lentilramp/configuration");
    const lookUp = async (host: string): Promise<string[]> => {
        const answer = await exchange(
            host,
            ports.directory,
            "/lentilramp/resolution?name=desk.example&region=r&zone=a",
        );
        return answer.status === 200 ? (JSON.parse(answer.body) as { addresses: string[]; }).addresses : [];
    };
    const call = (host: string, path: string, method = "GET") =>
        exchange(host, ports.front, path, {
            method,
            headers: {
                host: "desk.example",
                "api-key": "key",
                "x-attempt-id": `id-${nextId++}`,
                "x-deadline-ms": "3000",
                "x-token-usage": "100,10",
            },
        });

    it("found a group from three seeds, take a configuration and name all ingresses to callers", async () => {
        const [first = "", , , fourth = ""] = fleet.stewards;
        await until("configuration acknowledged", async () => (await put(first, configuration(3))).status === 200);
        await until("all ingresses named", async () => (await lookUp(first)).length === fleet.ingresses.length);
        await until(
            "a steward that joined names them too",
            async () => (await lookUp(fourth)).length === fleet.ingresses.length,
        );
        expect((await read(first)).body).to.equal(configuration(3));
    });

    it("serve a request of every kind at every ingress under the name of its workspace", async () => {
        for (const host of fleet.ingresses) {
            for (
                const [path, method, body] of [
                    ["/safe/x", "GET", "done"],
                    ["/unsafe/x", "POST", "done"],
                    ["/stream/x", "POST", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"],
                ] as const
            ) {
                expect(await call(host, path, method)).to.include({ status: 200, body });
            }
            expect((await call(host, "/none/x")).status).to.equal(404);
        }
        expect(new Set(platform.runs.map(({ tenant }) => tenant))).to.deep.equal(new Set(["hire"]));
    });

    it("refuse an invalid configuration, acknowledge an older one again, and keep the newest", async () => {
        const [first = "", second = ""] = fleet.stewards;
        expect((await put(second, configuration(9).slice(0, -9))).status).to.equal(400);
        expect((await put(second, configuration(5))).status).to.equal(200);
        expect((await put(first, configuration(3))).status).to.equal(200);
        expect((await read(first)).body).to.equal(configuration(5));
    });

    it("report each usage window once, with one holder and fencing numbers that do not fall", async () => {
        await until(
            "a window with requests reported",
            async () =>
                platform.orders.some(({ path, body }) =>
                    path === "/usage" && Object.keys(body.counts as object).length > 0
                ),
        );
        const reports = platform.orders.filter(({ path }) => path === "/usage");
        const windows = reports.map(({ body }) => body.window_number);
        expect(new Set(windows).size).to.equal(windows.length);
        expect(new Set(reports.map(({ holder }) => holder)).size).to.equal(1);
    });

    it("stop an ingress without a failed request and leave it out of the addresses", async () => {
        const stopped = fleet.ingresses.at(-1) ?? "";
        const ended = fleet.end(stopped, "SIGTERM");
        await until(
            "left out",
            async () => !(await lookUp(fleet.stewards[0] ?? "")).some(at => at.startsWith(`${stopped}:`)),
        );
        expect(await ended).to.equal(0);
    });

    it("stop a steward and still read the newest configuration", async () => {
        expect(await fleet.end(fleet.stewards[0] ?? "", "SIGTERM")).to.equal(0);
        await until(
            "read at another steward",
            async () => (await read(fleet.stewards[1] ?? "")).body === configuration(5),
        );
    });

    it("keep an acknowledged configuration when all stewards are killed at once", async () => {
        const alive = fleet.stewards.slice(1);
        await until("acknowledged", async () => (await put(alive[0] ?? "", configuration(8))).status === 200);
        await Promise.all(alive.map(host => fleet.end(host, "SIGKILL")));
        expect(await call(fleet.ingresses[0] ?? "", "/unsafe/x", "POST")).to.include({ status: 200 });
        alive.forEach(host => fleet.run(host));
        await until("read back", async () => (await read(alive[1] ?? "")).body === configuration(8));
    });
});
