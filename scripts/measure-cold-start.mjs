/**
 * Measures the start of a fleet after the loss of all its processes: `node scripts/measure-cold-start.mjs`, after
 * `node scripts/build-fleet.mjs`. Starts real processes on loopback, kills all of them under load, starts them again at
 * once, and prints for each role when a step was reached, in milliseconds since the start of the process and of its
 * processor time. `--core-ingress` and `--core-steward` limit a process to a part of a core, by stopping it for the rest
 * of each period once it has used its part; 1 is no limit. `--profile FOLDER` writes processor profiles.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, createServer, request } from "node:http";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { parseArgs } from "node:util";

const { values: args } = parseArgs({
    options: {
        "build": { type: "string", default: "target" },
        "stewards": { type: "string", default: "3" },
        "ingresses": { type: "string", default: "3" },
        "core-ingress": { type: "string", default: "0.3" },
        "core-steward": { type: "string", default: "0.4" },
        "callers": { type: "string", default: "6" },
        "rounds": { type: "string", default: "5" },
        "watch-ms": { type: "string", default: "6000" },
        "profile": { type: "string" },
        "logs": { type: "boolean", default: false },
    },
});
const program = resolve(args.build, "lentilramp.cjs");
const folder = mkdtempSync(join(tmpdir(), "cold-start-"));
const periodMs = 100;
const pollMs = 4;
const tickMs = 10;
const net = `127.${1 + process.pid % 250}`;
const hosts = (kind, count) => Array.from({ length: count }, (...[, i]) => `${net}.${kind}.${i + 1}`);
const stewards = hosts(1, Number(args.stewards));
const ingresses = hosts(2, Number(args.ingresses));

/** Loaded before the program: notes the time and the processor time of each step that can be seen from outside of it. */
const preload = `
const { performance } = require("node:perf_hooks");
const stamps = [];
const cpuMs = () => { const { user, system } = process.cpuUsage(); return (user + system) / 1000; };
const note = step => { if (stamps.length < 2000) stamps.push([step, performance.now(), cpuMs()]); };
const first = new Set();
const noteFirst = step => { if (!first.has(step)) { first.add(step); note(step); } };
note("Node.js started");
const vm = require("node:vm");
const Script = vm.Script;
vm.Script = class extends Script {
    constructor(...parameters) {
        note("bundle read");
        super(...parameters);
        note(this.cachedDataRejected === false ? "bundle loaded from the cache" : "bundle compiled without a cache");
    }
};
const fs = require("node:fs");
const write = fs.write;
fs.write = (fd, text, ...rest) => {
    if (fd === 1 && typeof text === "string") {
        for (const [, event] of text.matchAll(/event"?[=:]"?([a-z.-]+)/g)) noteFirst("log " + event);
        for (const [, role] of text.matchAll(/agreement.role.*?role"?[=:]"?([a-z-]+)/g)) noteFirst("role " + role);
    }
    return write(fd, text, ...rest);
};
const http = require("node:http");
const emit = http.Server.prototype.emit;
http.Server.prototype.emit = function(event, req, res) {
    if (event === "request") {
        const kind = { 8001: "caller", 8002: "readiness", 8003: "operator", 8004: "lookup" }[req.socket.localPort] ?? "inner";
        noteFirst(kind + ": first request");
        res.once("finish", () => noteFirst(kind + ": first " + res.statusCode));
    }
    return emit.apply(this, arguments);
};
const send = http.request;
http.request = function(options) {
    const path = String(options?.path ?? options?.pathname ?? "").split("?")[0];
    noteFirst("sent " + path);
    const req = send.apply(this, arguments);
    req.once("response", res => noteFirst("answered " + path + " " + res.statusCode));
    return req;
};
process.on("SIGUSR2", () => fs.writeFileSync(process.env.STAMPS, JSON.stringify(stamps)));
`;

/** A process that is limited to a part of a core by SIGSTOP and SIGCONT. */
class LimitedProcess {
    constructor(host, core, bootstrap, cloud) {
        const steward = stewards.includes(host);
        const data = join(folder, `data-${host}`);
        mkdirSync(data, { recursive: true });
        this.host = host;
        this.quotaMs = core * periodMs;
        this.limited = core < 1;
        const settings = join(folder, `settings-${host}`);
        this.stamps = join(folder, `stamps-${host}`);
        rmSync(this.stamps, { force: true });
        writeFileSync(
            settings,
            [
                `node_name=${steward ? "core" : "front"}-${host}`,
                `serves=${steward ? "control,directory" : "front"}`,
                `ip_address=${host}`,
                "zone=a",
                "region=r",
                "zones.a=r",
                ...steward
                    ? [`listen_addresses.control=${host}:8003`, `listen_addresses.directory=${host}:8004`]
                    : [`listen_addresses.front=${host}:8001`, `listen_addresses.ready=${host}:8002`],
                "internal_port_range=7600,7615",
                `seeds=${stewards.slice(0, 3).map(seed => `${seed}:8003`).join(",")}`,
                `bootstrap=${bootstrap}`,
                ...steward ? [`data_directory=${data}`] : [],
                "fault_tolerance.machines=1",
                "bounds.grace_s=8",
                "bounds.usage_window_s=2",
                `cloud.address=${cloud}`,
                "cloud.duties=usage_reporting,autoscaling",
            ].join("\n"),
        );
        this.startedAt = Date.now();
        this.child = spawn(
            process.execPath,
            [
                "--require",
                join(folder, "preload.cjs"),
                ...args.profile !== undefined && !bootstrap ? ["--cpu-prof", `--cpu-prof-dir=${args.profile}`] : [],
                "--max-old-space-size=160",
                program,
                "fleet",
                "--policy",
                "deploy/policy.json",
                "--key",
                join(folder, "key"),
            ],
            {
                env: { ...process.env, NODE_OPTIONS: "", LENTILRAMP_BOOT: settings, STAMPS: this.stamps },
                stdio: ["ignore", args.logs ? "inherit" : "ignore", args.logs ? "inherit" : "ignore"],
            },
        );
        this.periodStart = performance.now();
        this.periodUsed = 0;
        this.stopped = false;
    }

    usedMs() {
        const text = readFileSync(`/proc/${this.child.pid}/stat`, "utf8");
        const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
        return (Number(fields[11]) + Number(fields[12])) * tickMs;
    }

    /** Stops the process if it has used its part of the period, and resumes it in the next period. */
    limit() {
        if (!this.limited || this.child.exitCode !== null || this.child.signalCode !== null) {
            return;
        }
        const now = performance.now();
        if (now - this.periodStart >= periodMs) {
            const periods = Math.floor((now - this.periodStart) / periodMs);
            this.periodStart += periods * periodMs;
            // What was used beyond the part counts in the next period.
            this.periodUsed = Math.min(this.usedMs(), this.periodUsed + this.quotaMs * periods);
        }
        const mayRun = this.usedMs() - this.periodUsed < this.quotaMs;
        if (mayRun === this.stopped) {
            this.stopped = !mayRun;
            this.child.kill(mayRun ? "SIGCONT" : "SIGSTOP");
        }
    }

    async kill() {
        if (this.child.exitCode === null && this.child.signalCode === null) {
            const exited = once(this.child, "exit");
            // A profile is written only by a process that ends by itself.
            this.child.kill(args.profile === undefined ? "SIGKILL" : "SIGTERM");
            this.child.kill("SIGCONT");
            await exited;
        }
    }

    async readStamps() {
        this.limited = false;
        this.child.kill("SIGCONT");
        this.child.kill("SIGUSR2");
        for (let tries = 0; tries < 100; tries++) {
            await sleep(20);
            try {
                return JSON.parse(readFileSync(this.stamps, "utf8"));
            }
            catch {
                // Not written yet.
            }
        }
        return [];
    }
}

const sleep = ms => new Promise(done => setTimeout(done, ms));
const agent = new Agent({ keepAlive: true });

function call(host, port, path, options = {}) {
    return new Promise(done => {
        const req = request({ host, port, path, agent, timeout: 4_000, ...options }, res => {
            res.resume();
            res.on("end", () => done(res.statusCode));
            res.on("error", () => done(0));
        });
        req.on("timeout", () => req.destroy());
        req.on("error", () => done(0));
        req.end(options.body);
    });
}

const route = { host: "desk.example", timeout_ms: 4_000, target_latency_ms: 1_000, public: false };
const configuration = JSON.stringify({
    version: 3,
    routes: Array.from({ length: 20 }, (...[, i]) => [
        {
            ...route,
            name: `safe-${i}`,
            path_prefix: `/safe-${i}/`,
            kind: "safe",
            service: "app",
            priority: i % 3,
            max_attempts: 2,
        },
        {
            ...route,
            name: `stream-${i}`,
            path_prefix: `/stream-${i}/`,
            kind: "streaming",
            service: "model",
            priority: 0,
            max_attempts: 2,
            resumable: true,
        },
    ]).flat(),
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
    tenants: Array.from({ length: 100 }, (...[, i]) => ({
        name: `t${i}`,
        api_keys: [`key${i}`],
        unit: "tokens",
        plain_tokens: 10,
        rate_per_s: 100_000,
        burst: 100_000,
    })),
});

async function startPlatform() {
    const endpoint = createServer((req, res) => {
        req.resume();
        req.on("end", () => {
            res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
            res.end(req.url.startsWith("/stream") ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" : "done");
        });
    });
    endpoint.listen(0, "127.0.0.1");
    await once(endpoint, "listening");
    const address = `127.0.0.1:${endpoint.address().port}`;
    const instances = ["app", "model"].flatMap(service =>
        Array.from(
            { length: 8 },
            (...[, i]) => ({ id: `i-${service}-${i}`, service, address, zone: "a", slots: 8, state: "ready" }),
        )
    );
    const cloud = createServer((req, res) => {
        req.resume();
        req.on("end", () => {
            res.setHeader("content-type", "application/json");
            res.end(req.method === "GET" ? JSON.stringify({ instances }) : "{}");
        });
    });
    cloud.listen(0, "127.0.0.1");
    await once(cloud, "listening");
    return {
        address: `127.0.0.1:${cloud.address().port}`,
        close: () => [endpoint, cloud].forEach(server => server.close(() => undefined)),
    };
}

let nextId = 1;
/** Answers of the present round: host, status and time. */
let answers = [];
let isCalling = true;

async function callForever(host, index) {
    while (isCalling) {
        const stream = index % 2 === 1;
        const startedAt = Date.now();
        const status = await call(host, 8001, stream ? `/stream-${index}/x` : `/safe-${index}/x`, {
            method: stream ? "POST" : "GET",
            headers: {
                "host": "desk.example",
                "api-key": `key${index}`,
                "x-attempt-id": `id-${nextId++}`,
                "x-deadline-ms": "3000",
                "x-token-usage": "100,10",
            },
        });
        answers.push({ host, status, at: Date.now(), startedAt });
        await sleep(status === 200 ? 20 : 50);
    }
}

const median = numbers => [...numbers].sort((a, b) => a - b)[Math.floor(numbers.length / 2)];

const platform = await startPlatform();
writeFileSync(join(folder, "preload.cjs"), preload);
writeFileSync(join(folder, "key"), "a key of this measurement alone");
let processes = [];
const startAll = bootstrap => {
    processes = [...stewards, ...ingresses].map(host =>
        new LimitedProcess(
            host,
            Number(args[stewards.includes(host) ? "core-steward" : "core-ingress"]),
            bootstrap,
            platform.address,
        )
    );
};
const limiter = setInterval(() => processes.forEach(each => each.limit()), pollMs);
const steps = { steward: new Map(), ingress: new Map() };
const rounds = { first: [], last: [], served: [], leader: [] };
try {
    startAll(true);
    while (await call(stewards[0], 8003, "/lentilramp/configuration", { method: "PUT", body: configuration }) !== 200) {
        await sleep(50);
    }
    for (const host of ingresses) {
        while (await call(host, 8002, "/lentilramp/readiness") !== 200) {
            await sleep(50);
        }
    }
    const callers = ingresses.flatMap(host =>
        Array.from({ length: Number(args.callers) }, (...[, i]) => callForever(host, i))
    );
    await sleep(2_000);
    for (let round = 0; round < Number(args.rounds); round++) {
        await Promise.all(processes.map(each => each.kill()));
        answers = [];
        const killedAt = Date.now();
        startAll(false);
        await sleep(Number(args["watch-ms"]));
        const servedAt = ingresses.map(host =>
            answers.find(answer => answer.host === host && answer.status === 200)?.at - killedAt
        );
        rounds.first.push(Math.min(...servedAt));
        rounds.last.push(Math.max(...servedAt));
        rounds.served.push(
            [1, 2, 3, 4, 5, 6].map(second =>
                answers.filter(({ status, at }) => status === 200 && Math.floor((at - killedAt) / 1_000) === second - 1)
                    .length
            ),
        );
        const read = await Promise.all(
            processes.map(async each => ({ host: each.host, stamps: await each.readStamps() })),
        );
        for (const { host, stamps } of read) {
            const map = steps[stewards.includes(host) ? "steward" : "ingress"];
            for (const [step, atMs, cpuMs] of stamps) {
                map.set(step, [...map.get(step) ?? [], { atMs, cpuMs }]);
            }
        }
    }
    for (const [role, map] of Object.entries(steps)) {
        const rows = [...map].map(([step, seen]) => ({
            step,
            seen: seen.length,
            atMs: median(seen.map(each => each.atMs)),
            cpuMs: median(seen.map(each => each.cpuMs)),
        })).sort((a, b) => a.atMs - b.atMs);
        console.log(`\n${role}: median of the processes that took the step`);
        console.log("   after ms  processor ms  processes  step");
        for (const { step, seen, atMs, cpuMs } of rows) {
            console.log(
                `${atMs.toFixed(0).padStart(11)}${cpuMs.toFixed(0).padStart(14)}${String(seen).padStart(11)}  ${step}`,
            );
        }
    }
    console.log(
        `\nfirst answer of the fleet, ms after the restart: ${rounds.first.join(" ")}; median ${median(rounds.first)}`,
    );
    console.log(`first answer of its last ingress: ${rounds.last.join(" ")}; median ${median(rounds.last)}`);
    console.log(`answers 200 per second, by round:\n${rounds.served.map(row => row.join(" ")).join("\n")}`);
    isCalling = false;
    await Promise.race([Promise.all(callers), sleep(1_000)]);
}
finally {
    clearInterval(limiter);
    await Promise.all(processes.map(each => each.kill()));
    platform.close();
    rmSync(folder, { recursive: true, force: true });
}
process.exit(0);
