// A small site on loopback addresses: the project's own processes, started as deploy/system.toml says, and stand-ins for
// the platform, the replicas, the consumers and the operator. A stand-in that a page does not describe behaves soundly.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { Agent, createServer, request } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

const command = ["--max-old-space-size=160", "target/lentilramp.cjs", "fleet", "--policy", "deploy/policy.json"];
export const ports = { front: 8_221, ready: 8_224, control: 8_229, directory: 8_230, inner: 7_600, metrics: 9_464 };
const configurationPath = "/lentilramp/configuration";

/** Time after which a case that has not ended gives up, in milliseconds. */
const longestCaseMs = 117_000;
/** Time that an operator waits for the answer to a small order, in milliseconds. */
const orderMs = 1_000;

export const trouble = process.env.TROUBLE !== "0";

/** Writes the record of a case: what was sent, answered and run, with the seconds since the start. */
export class Record {
    startedAt = Date.now();

    constructor(path) {
        this.path = path;
        writeFileSync(path, "");
    }

    add(text) {
        appendFileSync(this.path, `${((Date.now() - this.startedAt) / 1_000).toFixed(3)} ${text}\n`);
    }
}

/** One HTTP exchange; rejects if the connection fails or the answer is late. */
export async function exchange(host, port, path, { timeoutMs = orderMs, ...options } = {}) {
    return await new Promise((resolve, reject) => {
        const req = request({ host, port, path, agent: false, ...options }, res => {
            const parts = [];
            res.on("data", part => parts.push(part));
            res.on("error", reject);
            res.on("close", () => {
                clearTimeout(timer);
                resolve({
                    status: res.statusCode,
                    headers: res.headers,
                    body: Buffer.concat(parts).toString("utf8"),
                    complete: res.complete,
                });
            });
        });
        const timer = setTimeout(() => req.destroy(new Error("no answer in time")), timeoutMs);
        req.on("error", err => {
            clearTimeout(timer);
            reject(err);
        });
        req.end(options.body);
    });
}

/** The platform's API: the list of replicas and the calls of the duty holders. */
export class Platform {
    calls = [];
    /** Returns the entries of the list. */
    listed = () => [];

    server = createServer((req, res) => {
        const parts = [];
        req.on("data", part => parts.push(part));
        req.on("end", () => {
            res.setHeader("content-type", "application/json");
            if (req.method === "GET") {
                res.end(JSON.stringify({ instances: this.listed(), next: null }));
                return;
            }
            this.calls.push({ at: Date.now(), path: req.url, body: Buffer.concat(parts).toString("utf8") });
            res.end("{}");
        });
    });

    async start() {
        this.server.listen(0, "127.0.0.1");
        await once(this.server, "listening");
        return `127.0.0.1:${this.server.address().port}`;
    }
}

/** A replica of a plain service: answers each request after its work, and tells which requests it ran. */
export class Replica {
    /** When each request began to run last. */
    runs = new Map();

    constructor(id, service, record, workMs = 20) {
        Object.assign(this, { id, service, record, workMs });
        this.server = createServer((req, res) => void this.handle(req, res));
    }

    async start() {
        this.server.listen(0, "127.0.0.1");
        await once(this.server, "listening");
    }

    get entry() {
        return {
            id: this.id,
            service: this.service,
            address: `127.0.0.1:${this.server.address().port}`,
            zone: "a",
            version: "v1",
            slots: 16,
            state: "ready",
            cold_remaining_ms: 0,
        };
    }

    async handle(req, res) {
        const id = String(req.headers["x-attempt-id"]);
        const own = { "x-attempt-id": id, "keep-alive": "timeout=15" };
        for await (const part of req) {
            void part;
        }
        if (req.headers["x-expected-instance"] !== this.id) {
            res.writeHead(421, { ...own, "x-not-executed": "1", "content-length": 0 }).end();
            return;
        }
        this.runs.set(id, Date.now());
        this.record.add(`run ${id} at ${this.id} tenant=${req.headers["x-tenant"]}`);
        await sleep(this.workMs);
        const body = `answer to ${id}`;
        res.writeHead(200, { ...own, "x-response-seal": `s-${id}`, "content-length": Buffer.byteLength(body) }).end(
            body,
        );
    }
}

async function isFree(host, port) {
    const server = createTcpServer();
    return await new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });
}

/** Returns the first two numbers of loopback addresses on which the ports of a machine are free. */
async function freeNetwork() {
    for (let tries = 0; tries < 50; tries++) {
        const network = `127.${1 + Math.floor(Math.random() * 250)}`;
        const free = await Promise.all(
            ["1.1", "1.2", "1.3", "2.1"].flatMap(host =>
                Object.values(ports).map(port => isFree(`${network}.${host}`, port))
            ),
        );
        if (free.every(Boolean)) {
            return network;
        }
    }
    throw new Error("no free loopback addresses");
}

/** The machines of a small site, each with one process of the project. */
export class Site {
    folder = mkdtempSync(join(tmpdir(), "review-site-"));
    running = new Map();
    exits = [];
    seeds = [];
    bootstrap = true;
    closed = false;

    constructor(record, platform) {
        Object.assign(this, { record, platform });
    }

    async start(cores, fronts) {
        this.network = await freeNetwork();
        this.cloud = await this.platform.start();
        this.cores = Array.from({ length: cores }, (_, i) => `${this.network}.1.${i + 1}`);
        this.fronts = Array.from({ length: fronts }, (_, i) => `${this.network}.2.${i + 1}`);
        this.seeds = this.cores.slice(0, 3);
        [...this.cores, ...this.fronts].forEach(host => this.run(host));
        this.bootstrap = false;
    }

    /** Returns an address that no core machine has had. */
    newCore() {
        this.lastCore = (this.lastCore ?? this.cores.length) + 1;
        return `${this.network}.1.${this.lastCore}`;
    }

    isFront(host) {
        return host.startsWith(`${this.network}.2.`);
    }

    /** Starts the process of a machine with the settings that hold at this moment. */
    run(host) {
        if (this.closed) {
            return;
        }
        const front = this.isFront(host);
        const data = join(this.folder, `data-${host}`);
        const settings = join(this.folder, `settings-${host}.conf`);
        mkdirSync(data, { recursive: true });
        writeFileSync(
            settings,
            [
                `node_name=${front ? "front" : "core"}-a-${host.split(".").at(-1)}`,
                `role=${front ? "ingress" : "steward"}`,
                `machine_class=${front ? "front" : "core"}`,
                `serves=${front ? "front" : "control,directory"}`,
                `ip_address=${host}`,
                "zone=a",
                "region=r",
                "zones.a=r",
                ...front
                    ? [
                        `listen_addresses.front=${host}:${ports.front}`,
                        `listen_addresses.ready=${host}:${ports.ready}`,
                    ]
                    : [
                        `listen_addresses.control=${host}:${ports.control}`,
                        `listen_addresses.directory=${host}:${ports.directory}`,
                        `data_directory=${data}`,
                    ],
                `internal_port_range=${ports.inner},${ports.inner + 15}`,
                `seeds=${this.seeds.map(seed => `${seed}:${ports.control}`).join(",")}`,
                `bootstrap=${this.bootstrap}`,
                `counts_toward_tolerance=${!front}`,
                `limits.memory_mb=${front ? 350 : 346}`,
                `limits.disk_mb=${front ? 0 : 128}`,
                "fault_tolerance.machines=1",
                "fault_tolerance.zones=0",
                "fault_tolerance.regions=0",
                "bounds.contact_ms=3000",
                "bounds.catch_up_s=4",
                "bounds.drain_ms=3000",
                "bounds.grace_s=8",
                "bounds.config_apply_ms=2000",
                "bounds.retry_budget_ratio=0.2",
                "bounds.budget_window_s=10",
                "bounds.budget_extra_retries=52",
                "bounds.quota_window_s=8",
                "bounds.quota_overshoot=0.1",
                "bounds.quota_slack=110000",
                "bounds.lease_ms=3000",
                "bounds.usage_window_s=5",
                "bounds.usage_late_s=10",
                "bounds.recovery_s=12",
                "configuration_mode=highest",
                `cloud.address=${this.cloud}`,
                "cloud.rate_per_s=40.0",
                "cloud.duties=usage_reporting,autoscaling",
                "cloud.max_lag_ms=800",
            ].join("\n"),
        );
        const log = openSync(join(this.folder, `${host}.log`), "a");
        const child = spawn(process.execPath, command, {
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LENTILRAMP_BOOT: settings },
            stdio: ["ignore", log, log],
        });
        this.running.set(host, child);
        child.once("exit", (code, signal) => {
            if (this.running.get(host) === child) {
                this.running.delete(host);
                this.exits.push({ host, code, signal });
                this.record.add(`process at ${host} ended by itself code=${code} signal=${signal}`);
            }
        });
        this.record.add(`process at ${host} starts`);
    }

    /** Sends a signal that ends a process and waits for the end. */
    async end(host, signal) {
        const child = this.running.get(host);
        if (child !== undefined) {
            this.record.add(`process at ${host} gets ${signal}`);
            this.running.delete(host);
            const exited = once(child, "exit");
            child.kill(signal);
            await exited;
            this.record.add(`process at ${host} has ended`);
        }
    }

    /** Removes the disk of a core machine whose process has ended. */
    loseDisk(host) {
        rmSync(join(this.folder, `data-${host}`), { recursive: true, force: true });
        this.record.add(`disk of ${host} is lost`);
    }

    /** Returns the gauge of a process, from its own metrics address. */
    async gauge(host, name) {
        const { body } = await exchange(host, ports.metrics, "/metrics");
        const line = body.split("\n").find(text => text.includes(name) && !text.startsWith("#"));
        return Number(line?.split(" ").at(-1) ?? NaN);
    }

    async close() {
        this.closed = true;
        await Promise.all([...this.running.keys()].map(host => this.end(host, "SIGKILL")));
        if (process.env.KEEP === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
        else {
            console.log(this.folder);
        }
    }
}

/** The operator: sends an order to one machine after the other until it has a clear answer. */
export class Operator {
    acknowledged = 0;
    next = 0;

    constructor(site, record) {
        Object.assign(this, { site, record });
    }

    /** Sends a configuration for `forMs` at most; returns the status of the clear answer, if one came. */
    async put(text, forMs, timeoutMs = orderMs) {
        const { version } = JSON.parse(text);
        const until = Date.now() + forMs;
        for (let pauseMs = 50; Date.now() < until; pauseMs = Math.min(800, pauseMs * 2)) {
            const host = this.site.cores[this.next++ % this.site.cores.length];
            const options = { method: "PUT", body: text, headers: { "content-type": "application/json" }, timeoutMs };
            const answer = await exchange(host, ports.control, configurationPath, options).catch(err => String(err));
            this.record.add(`configuration ${version} sent to ${host}: ${answer.status ?? answer}`);
            if (answer.status === 200) {
                this.acknowledged = Math.max(this.acknowledged, version);
                return 200;
            }
            if (answer.status >= 400 && answer.status < 500) {
                return answer.status;
            }
            await sleep(pauseMs);
        }
        return undefined;
    }

    /** Reads the configuration back for `forMs` at most; returns its version, or undefined if it does not come. */
    async read(forMs, timeoutMs = orderMs) {
        const until = Date.now() + forMs;
        while (Date.now() < until) {
            const host = this.site.cores[this.next++ % this.site.cores.length];
            const answer = await exchange(host, ports.control, configurationPath, { timeoutMs })
                .catch(err => String(err));
            const version = answer.status === 200 ? JSON.parse(answer.body).version : undefined;
            this.record.add(`configuration read at ${host}: ${answer.status ?? answer} version=${version}`);
            if (version !== undefined) {
                return version;
            }
            await sleep(200);
        }
        return undefined;
    }
}

/** A consumer that asks the directory where to connect, and sends requests on kept connections. */
export class Consumer {
    calls = [];
    stopped = false;

    constructor(site, record) {
        Object.assign(this, { site, record });
        this.agent = new Agent({ keepAlive: true });
    }

    async lookUp() {
        for (const host of this.site.cores) {
            const path = "/lentilramp/resolution?name=site.example&region=r&zone=a";
            const answer = await exchange(host, ports.directory, path).catch(() => undefined);
            if (answer?.status === 200) {
                const { addresses, ttl_s: ttl } = JSON.parse(answer.body);
                this.addresses = addresses;
                this.knownUntil = Date.now() + ttl * 1_000;
                return;
            }
        }
    }

    /** Sends requests to a path of the site until it is stopped. */
    async run(prefix, pauseMs, timeMs = 1_500) {
        for (let i = 0; !this.stopped; i++) {
            if (this.addresses === undefined || Date.now() > this.knownUntil) {
                await this.lookUp();
            }
            const address = this.addresses?.[Math.floor(Math.random() * this.addresses.length)];
            if (address !== undefined) {
                await this.send(address, prefix, `c${i}`, timeMs);
            }
            await sleep(pauseMs);
        }
        this.agent.destroy();
    }

    async send(address, prefix, id, timeMs) {
        const [host, port] = address.split(":");
        const sentAt = Date.now();
        this.record.add(`sent ${id} to ${host}`);
        const answer = await exchange(host, Number(port), `${prefix}${id}`, {
            agent: this.agent,
            timeoutMs: timeMs,
            headers: {
                host: "site.example",
                "x-attempt-id": id,
                "x-deadline-ms": String(timeMs),
                "api-key": "review-key",
            },
        }).catch(err => String(err));
        this.record.add(`answered ${id}: ${answer.status ?? answer}`);
        this.calls.push({ id, sentAt, status: answer.status });
    }
}

/** Returns a configuration with two routes of the site and as many further ones; versions differ in the timeouts. */
export function configuration(version, furtherRoutes = 0) {
    const timeoutMs = 1_500 + version % 2;
    const route = (name, prefix, kind) => ({
        name,
        host: "site.example",
        path_prefix: prefix,
        kind,
        timeout_ms: timeoutMs,
        target_latency_ms: 300,
        priority: 0,
        service: "app",
        max_attempts: kind === "safe" ? 2 : 1,
        public: false,
        sticky_sessions: false,
        resumable: false,
    });
    return JSON.stringify({
        version,
        routes: [
            route("r-view", "/view/", "safe"),
            route("r-book", "/book/", "unsafe"),
            ...Array.from(
                { length: furtherRoutes },
                (_, i) => route(`r-further-${i}`, `/further/${i.toString(36)}/`, "safe"),
            ),
        ],
        services: [{ name: "app", health_check_path: "/health", connection_limit: 96, protocol: "h1", tls: false }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "t1", api_keys: ["review-key"], priority: 1, rate_per_s: 0, burst: 0 }],
    });
}

/** Waits until `check` holds; rejects after `forMs`. */
export async function until(what, check, forMs = 20_000) {
    const deadline = Date.now() + forMs;
    while (!await Promise.resolve(check()).catch(() => false)) {
        if (Date.now() > deadline) {
            throw new Error(`did not happen: ${what}`);
        }
        await sleep(50);
    }
}

export async function isReady(host) {
    return (await exchange(host, ports.ready, "/lentilramp/readiness")).status === 200;
}

/** Runs a case and ends with 1 if it returns a broken rule, 0 if it returns none, and 2 if it could not run. */
export async function runCase(path, play) {
    const record = new Record(path);
    const platform = new Platform();
    const site = new Site(record, platform);
    const stop = async code => {
        await site.close().catch(() => undefined);
        process.exit(code);
    };
    process.once("SIGTERM", () => void stop(2));
    process.once("SIGINT", () => void stop(2));
    process.on("exit", () => site.running.forEach(child => child.kill("SIGKILL")));
    setTimeout(() => void stop(2), longestCaseMs).unref();
    let code = 2;
    try {
        const broken = await play({ site, platform, record });
        record.add(broken === undefined ? "the rule held" : `broken: ${broken}`);
        console.log(broken === undefined ? "the rule held" : `broken: ${broken}`);
        code = broken === undefined ? 0 : 1;
    }
    catch (err) {
        record.add(`could not run: ${err.message}`);
        console.log(`could not run: ${err.stack}`);
    }
    await stop(code);
}
