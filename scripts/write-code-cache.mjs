/**
 * Writes the code cache of the bundle of a fleet: `node FLAGS scripts/write-code-cache.mjs FOLDER [LIMIT]`. Runs a small fleet in
 * this process first, stewards and ingresses that serve some requests, so that the cache holds what V8 has compiled until
 * then, and not only what loading the bundle compiles. If the fleet cannot run here, the cache holds what was reached.
 */
import { once } from "node:events";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

/** Time after which the cache is written whatever the fleet has reached, in milliseconds. */
const limitMs = Number(process.argv[3] ?? 15_000);
/** Time for what the processes do at intervals, such as syncs, rosters and usage reports, in milliseconds. */
const settleMs = 2_500;
const pauseMs = 20;
const ports = { front: 8_001, ready: 8_002, control: 8_003, directory: 8_004, inner: 7_600 };

const target = resolve(process.argv[2] ?? "target");
const { BundleScript, cachePath } = createRequire(import.meta.url)(join(target, "bundle-script.cjs"));
const folder = mkdtempSync(join(tmpdir(), "lentilramp-cache-"));
const net = `127.${1 + process.pid % 250}`;
const stewards = [`${net}.4.1`, `${net}.4.2`];
const ingresses = [`${net}.5.1`, `${net}.5.2`];
const bundle = new BundleScript(target);

process.on("exit", () => {
    process.exitCode = 0;
    writeFileSync(cachePath(target), bundle.compiledCode());
    rmSync(folder, { recursive: true, force: true });
});
console.error = () => undefined;
setTimeout(() => process.exit(), limitMs).unref();

const sleep = ms => new Promise(done => setTimeout(done, ms));

/** Resolves with the status of the answer, 0 without one. */
function call(host, port, path, options = {}) {
    return new Promise(done => {
        const req = request({ host, port, path, agent: false, ...options }, res => {
            res.resume();
            res.on("end", () => done(res.statusCode));
            res.on("error", () => done(0));
        });
        req.on("error", () => done(0));
        req.end(options.body);
    });
}

async function until(check) {
    while (!await check()) {
        await sleep(pauseMs);
    }
}

async function listen(handle) {
    const server = createServer((req, res) => {
        req.resume();
        req.on("end", () => handle(req, res));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return `127.0.0.1:${server.address().port}`;
}

/** Starts a process of the fleet within this one. */
async function start(host, cloud) {
    const steward = stewards.includes(host);
    const data = join(folder, `data-${host}`);
    mkdirSync(data);
    const settings = join(folder, `settings-${host}`);
    writeFileSync(
        settings,
        [
            `node_name=${host}`,
            `serves=${steward ? "control,directory" : "front"}`,
            `ip_address=${host}`,
            "zone=a",
            "region=r",
            "zones.a=r",
            ...steward
                ? [
                    `listen_addresses.control=${host}:${ports.control}`,
                    `listen_addresses.directory=${host}:${ports.directory}`,
                    `data_directory=${data}`,
                ]
                : [`listen_addresses.front=${host}:${ports.front}`, `listen_addresses.ready=${host}:${ports.ready}`],
            `internal_port_range=${ports.inner},${ports.inner + 15}`,
            `seeds=${stewards.map(seed => `${seed}:${ports.control}`).join(",")}`,
            "bootstrap=true",
            "bounds.usage_window_s=1",
            `cloud.address=${cloud}`,
            "cloud.duties=usage_reporting,autoscaling",
        ].join("\n"),
    );
    process.env.LENTILRAMP_BOOT = settings;
    process.argv = [process.argv[0], "lentilramp", "fleet", "--key", join(folder, "key")];
    bundle.run();
    // The command reads its settings in a later turn.
    await sleep(pauseMs);
}

const route = {
    host: "h.example",
    timeout_ms: 4_000,
    target_latency_ms: 1_000,
    priority: 0,
    max_attempts: 2,
    public: false,
};
const configuration = JSON.stringify({
    version: 1,
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
    tenants: [{ name: "t", api_keys: ["key"], unit: "tokens", plain_tokens: 10, rate_per_s: 100_000, burst: 100_000 }],
});

async function runFleet() {
    writeFileSync(join(folder, "key"), "a key of this build alone");
    const endpoint = await listen((req, res) => {
        res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
        res.end(req.url.startsWith("/stream") ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" : "done");
    });
    const instances = ["app", "model"].map(service => ({
        id: service,
        service,
        address: endpoint,
        zone: "a",
        slots: 8,
        state: "ready",
    }));
    const cloud = await listen((req, res) => {
        res.setHeader("content-type", "application/json");
        res.end(req.method === "GET" ? JSON.stringify({ instances }) : "{}");
    });
    for (const host of [...stewards, ...ingresses]) {
        await start(host, cloud);
    }
    const put = { method: "PUT", body: configuration };
    await until(async () => await call(stewards[0], ports.control, "/lentilramp/configuration", put) === 200);
    let nextId = 1;
    for (const host of ingresses) {
        await until(async () => await call(host, ports.ready, "/lentilramp/readiness") === 200);
        for (
            const [method, path, key] of [
                ["GET", "/safe/a", "key"],
                ["POST", "/unsafe/a", "key"],
                ["POST", "/stream/a", "key"],
                ["POST", "/stream/a", "key"],
                ["GET", "/safe/a", "none"],
                ["GET", "/none", "key"],
            ]
        ) {
            const headers = {
                "host": "h.example",
                "api-key": key,
                "x-attempt-id": `id-${nextId++}`,
                "x-deadline-ms": "3000",
                "x-token-usage": "100,10",
            };
            await call(host, ports.front, path, { method, headers, body: method === "POST" ? "{}" : undefined });
        }
    }
    await call(stewards[0], ports.directory, "/lentilramp/resolution?name=h.example&region=r&zone=a");
    await sleep(settleMs);
}

// A bundle that cannot be run is a failure of the build, unlike a fleet that cannot.
process.argv = [process.argv[0], "lentilramp", "fleet"];
delete process.env.LENTILRAMP_BOOT;
bundle.run();
await sleep(pauseMs);
await runFleet().catch(() => undefined);
process.exit();
