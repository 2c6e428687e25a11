import { IngressComponentFactory } from "@lentilramp/ingress";
import { CloudClient, type PlatformSettings } from "@lentilramp/platform";
import { ClientGuard, defaultClientLimits, type PeerAddress, ProcessKey, RpcClient } from "@lentilramp/protocol";
import {
    type Clock,
    type EventLog,
    LifecycleManager,
    LineSink,
    ProcessEventLog,
    PrometheusMetrics,
    type RandomSource,
    SystemClock,
    SystemRandom,
    ThrottledEventLog,
} from "@lentilramp/runtime";
import { performance } from "node:perf_hooks";
import { fleetMetrics } from "./fleet-metrics.ts";
import type { FleetPolicy } from "./fleet-policy.ts";
import { MetricsServer } from "./metrics-server.ts";
import { wireIngress } from "./wire-ingress.ts";
import { wireSteward } from "./wire-steward.ts";

/** Validity of an address answer, in milliseconds; a stopping ingress is used for three times as long. */
const lookupMs = 2_000;
/** Lines of one event in a second. */
const linesPerSecond = 40;
/** The same for events that name a request whose caller got no whole answer; many may be cut at one instant. */
const cutLinesPerSecond = 1_000;
/** Longest wait for the reader of the log when the process ends, in milliseconds. */
const lastLinesMs = 100;
/** Port of the metrics on every instance; `deploy/system.toml` names the same. */
const metricsPort = 9_464;
const startMs = 60_000;
const closeMs = 1_000;

/** Parts that every process of a fleet has, whatever its role. */
export interface FleetProcess {
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    lifecycle: LifecycleManager;
    client: RpcClient;
    key: ProcessKey;
    metrics: PrometheusMetrics;
    /** Bounds of the clients of all servers of the process. */
    guard: ClientGuard;
    /** Sets gauges before they are read. */
    gauges: (() => void)[];
    /** Ends the process with an error, so that the platform starts it again. */
    fail: (reason: string) => void;
    /** Resolves with the reason of the first call of `fail`. */
    failed: Promise<string>;
    /** Writes the last lines of the log; resolves when they have been written, or their reader is too slow. */
    flushLog: () => Promise<void>;
}

/** Builds the parts of a fleet process; `reload` reads the settings again when they may have changed. */
export function wireFleet(
    settings: PlatformSettings,
    keyFile: string,
    reload: () => PlatformSettings,
    policy: FleetPolicy,
): FleetProcess {
    const clock = new SystemClock();
    const sink = new LineSink();
    const plain = new ProcessEventLog(() => Date.now(), { process: settings.name }, "info", line => sink.write(line));
    const log = new ThrottledEventLog(plain, clock, linesPerSecond, { "caller.cut": cutLinesPerSecond });
    const key = ProcessKey.read(keyFile);
    let fail: FleetProcess["fail"] = () => undefined;
    const failed = new Promise<string>(resolve => fail = resolve);
    const metrics = new PrometheusMetrics(fleetMetrics);
    const { memoryBytes, descriptors } = settings;
    const base: FleetProcess = {
        clock,
        random: new SystemRandom(),
        log,
        lifecycle: new LifecycleManager(clock, log, { startMs, drainMs: settings.graceMs, closeMs }),
        client: new RpcClient(key, clock),
        key,
        metrics,
        guard: new ClientGuard({ clock, log, metrics }, { ...defaultClientLimits, memoryBytes, descriptors }),
        gauges: [],
        fail,
        failed,
        flushLog: async () => {
            log.reportDroppedLines();
            await Promise.race([sink.flushed(), clock.sleepUntil(clock.now() + lastLinesMs)]);
        },
    };
    addProcessGauges(base, sink);
    base.lifecycle.register(
        new MetricsServer(
            { host: settings.host, port: metricsPort },
            base.metrics,
            () => base.gauges.forEach(set => set()),
            log,
            base.guard,
        ),
    );
    if (settings.cloud === undefined) {
        throw new Error("the settings name no platform API");
    }
    const cloud = new CloudClient(settings.cloud, clock, log);
    const seeds = (): PeerAddress[] => reload().seedHosts.map(host => ({ host, port: settings.innerPort }));
    const inner = { host: settings.host, port: settings.innerPort };
    const { callers, readiness, operators, lookups, dataFolder } = settings;
    if (callers !== undefined && readiness !== undefined) {
        wireIngress(
            { ...settings, callers, readiness, inner },
            seeds,
            cloud,
            lookupMs,
            new IngressComponentFactory(policy.ingress),
            base,
        );
    }
    else if (operators !== undefined && lookups !== undefined && dataFolder !== undefined) {
        wireSteward(
            {
                ...settings,
                inner,
                seedHosts: () => reload().seedHosts,
                dataFolder,
                plannerPolicy: policy.planner,
            },
            { operators, lookups, lookupMs },
            cloud,
            cloud.dutyCalls,
            base,
        );
    }
    else {
        throw new Error("the settings give this process neither the addresses of an ingress nor those of a steward");
    }
    return base;
}

function addProcessGauges({ gauges, metrics, guard }: FleetProcess, sink: LineSink): void {
    // A histogram of delays would wake the process a hundred times a second; this is read only when it is asked for.
    let last = performance.eventLoopUtilization();
    gauges.push(() => {
        const present = performance.eventLoopUtilization();
        metrics.gauge("event_loop_utilization", performance.eventLoopUtilization(present, last).utilization);
        last = present;
        metrics.gauge("resident_bytes", process.memoryUsage.rss());
        metrics.gauge("log_lines_dropped", sink.droppedLines);
        metrics.gauge("client_bytes", guard.use.bytes);
        metrics.gauge("client_connections", guard.use.connections);
        metrics.gauge("client_waiting", guard.use.waiting);
    });
}
