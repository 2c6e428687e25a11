import {
    ClientGuard,
    type ClientLimits,
    defaultHttpServerOptions,
    HttpServer,
    ProcessKey,
    RpcClient,
    RpcServer,
    sendJson,
} from "@lentilramp/protocol";
import {
    type Clock,
    type EventLog,
    LifecycleManager,
    MemoryMetrics,
    type Metrics,
    ProcessEventLog,
    type RandomSource,
    StateDump,
    StatsdMetrics,
    SystemClock,
    SystemRandom,
} from "@lentilramp/runtime";
import type { ProcessSettings } from "@lentilramp/settings";
import { wireControl } from "./wire-control.ts";
import { wireEntry } from "./wire-entry.ts";

const startMs = 120_000;
const closeMs = 5_000;
const bytesPerMb = 1_000_000;

/** Parts that every process has, whatever its role. */
export interface ProcessBase {
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    metrics: Metrics;
    dump: StateDump;
    lifecycle: LifecycleManager;
    key: ProcessKey;
    http: HttpServer;
    client: RpcClient;
    server: RpcServer;
}

function clientLimits({ clients: { memoryMb, descriptors, ...rest } }: ProcessSettings): ClientLimits {
    return { ...rest, memoryBytes: memoryMb === undefined ? undefined : memoryMb * bytesPerMb, descriptors };
}

function createBase(settings: ProcessSettings): ProcessBase {
    const clock = new SystemClock();
    const log = new ProcessEventLog(() => clock.now(), { process: settings.name }, settings.logLevel);
    const key = ProcessKey.read(settings.keyFile);
    const tags = { role: settings.role, process: settings.name, failureDomain: settings.failureDomain };
    const metrics = settings.statsd === undefined ? new MemoryMetrics() : new StatsdMetrics(settings.statsd, tags);
    const guard = new ClientGuard({ clock, log, metrics }, clientLimits(settings));
    return {
        clock,
        random: new SystemRandom(),
        log,
        metrics,
        dump: new StateDump(),
        lifecycle: new LifecycleManager(clock, log, { startMs, drainMs: settings.drainMs, closeMs }),
        key,
        http: new HttpServer(
            { ...settings.listen, ...defaultHttpServerOptions, unreadAnswerMs: settings.clients.unreadAnswerMs },
            log,
            guard,
        ),
        client: new RpcClient(key, clock),
        server: new RpcServer(key, log),
    };
}

function addCommonRoutes(settings: ProcessSettings, { http, key, dump, lifecycle, clock }: ProcessBase): void {
    const startedAt = clock.now();
    dump.add("process", () => ({
        name: settings.name,
        role: settings.role,
        failureDomain: settings.failureDomain,
        state: lifecycle.state,
        startedAt,
        residentBytes: process.memoryUsage.rss(),
        cpuMicroseconds: process.cpuUsage(),
    }));
    dump.add("http", () => http.traffic);
    http.route("GET", "/dump", async (req, res) => {
        if (!key.matches(req.headers.authorization)) {
            sendJson(res, 401, {
                error: { type: "unauthorized", message: "the process key is required", run: "not-run" },
            });
            return;
        }
        sendJson(res, 200, dump.collect());
    });
    http.route("GET", "/healthz", async (req, res) => {
        void req;
        const ready = lifecycle.state === "ready";
        sendJson(res, ready ? 200 : 503, { state: lifecycle.state });
    });
}

/** Builds all parts of a process from its settings; the life-cycle manager then starts and stops them. */
export function wireProcess(settings: ProcessSettings): ProcessBase {
    const base = createBase(settings);
    addCommonRoutes(settings, base);
    if (settings.role === "entry") {
        wireEntry(settings, base);
    }
    else {
        wireControl(settings, base);
    }
    return base;
}
