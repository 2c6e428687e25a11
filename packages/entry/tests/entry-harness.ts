import type { ClaimCoordinator } from "@lentilramp/claims";
import { type Configuration, configurationSchema } from "@lentilramp/configuration";
import {
    AtMostOnceCaller,
    ChatHandler,
    ConfigurationSubscriber,
    EndpointObserver,
    EngineSelector,
    FairAdmission,
    IdempotentCaller,
    InFlightCalls,
    RequestGate,
    ServiceDispatcher,
    ServiceHandler,
    SilenceMonitor,
    StreamTable,
    UpstreamClient,
} from "@lentilramp/entry";
import { defaultHttpServerOptions, HttpServer, ProcessKey, RpcClient } from "@lentilramp/protocol";
import { RetryBudget } from "@lentilramp/retries";
import { MemoryEventLog, MemoryMetrics, SeededRandom, SystemClock } from "@lentilramp/runtime";
import type { HttpStandIn } from "@lentilramp/stand-ins";
import { request } from "node:http";

export const bodyLimitBytes = 65_536;
const permitMs = 2_500;

/** Returns a configuration with the given endpoints, one model and one service. */
export function testConfiguration(
    engines: readonly { host: string; port: number; }[],
    services: readonly { host: string; port: number; }[],
): Configuration {
    const endpoint = (kind: "engine" | "service", address: { host: string; port: number; }, i: number) => ({
        id: `${kind}-${i + 1}`,
        kind,
        ...address,
        failureDomain: "a",
        machineClass: "m",
        ...(kind === "engine" ? { models: ["desk-model"] } : { services: ["hire-app"] }),
    });
    return configurationSchema.parse({
        version: 1,
        region: "r",
        costWeight: 0.5,
        failureDomains: [{ id: "a", region: "r" }],
        endpoints: [
            ...engines.map((address, i) => endpoint("engine", address, i)),
            ...services.map((address, i) => endpoint("service", address, i)),
        ],
        models: [{ name: "desk-model" }],
        services: [{
            name: "hire-app",
            operations: [
                { name: "reserve", idempotent: false, latencyPromiseMs: 900 },
                { name: "availability", idempotent: true, latencyPromiseMs: 400 },
            ],
        }],
        workspaces: [{ id: "hire-desk", share: 1, weights: { high: 4, normal: 2, low: 1 } }],
        routes: [{
            name: "availability",
            target: { kind: "service", service: "hire-app", operation: "availability" },
            latencyTarget: { percentile: 95, totalMs: 400 },
            retry: { maxAttempts: 3, baseBackoffMs: 0, maxBackoffMs: 0 },
            hedge: { enabled: false, afterPercentile: 95 },
        }],
    });
}

/** Entry without a control group; the test sets the configuration and the send permit. */
export class TestEntry {
    readonly clock = new SystemClock();
    readonly log = new MemoryEventLog();
    readonly metrics = new MemoryMetrics();
    readonly streams = new StreamTable();
    readonly calls = new InFlightCalls();
    readonly upstream = new UpstreamClient(this.clock);
    readonly client = new RpcClient(new ProcessKey("test-key-0123456789"), this.clock);
    readonly subscriber = new ConfigurationSubscriber(
        [{ host: "127.0.0.1", port: 1 }],
        this.client,
        this.clock,
        this.log,
    );
    readonly gate = new RequestGate(this.subscriber, this.clock);
    readonly http = new HttpServer({ host: "127.0.0.1", port: 0, ...defaultHttpServerOptions }, this.log);
    private readonly silence = new SilenceMonitor(this.upstream, this.clock, this.log, this.metrics);
    private readonly random = new SeededRandom(1);
    private readonly observer = new EndpointObserver("entry-1", "a", this.upstream, this.clock, this.random, this.log);

    constructor(readonly configuration: Configuration, coordinator: ClaimCoordinator) {
        const { clock, log, metrics, upstream, gate, streams } = this;
        const budget = new RetryBudget();
        const admission = new FairAdmission(() => 1, clock, metrics);
        const selector = new EngineSelector(this.observer, this.random);
        const parts = { selector, upstream, silence: this.silence, clock, log, metrics, budget, random: this.random };
        const chat = new ChatHandler(gate, admission, streams, parts, bodyLimitBytes);
        const dispatcher = new ServiceDispatcher(this.observer, upstream, this.calls, clock, this.random);
        const services = new ServiceHandler({
            gate,
            admission,
            idempotent: new IdempotentCaller(dispatcher, budget, clock, this.random, log, metrics),
            atMostOnce: new AtMostOnceCaller(coordinator, dispatcher, clock, log, metrics),
            coordinator,
            subscriber: this.subscriber,
            clock,
            log,
            bodyLimitBytes,
        });
        this.http.route("POST", "/v1/chat/completions", (req, res) => chat.handle(req, res));
        this.http.route(
            "POST",
            "/v1/services/:service/:operation",
            (req, res, params) => services.handle(req, res, params),
        );
    }

    async start(): Promise<void> {
        this.subscriber.view.accept({
            version: this.configuration.version,
            full: this.configuration,
            permitMs,
            controlTime: this.clock.now(),
        });
        this.observer.setConfiguration(this.configuration);
        this.renewPermit();
        await this.http.start();
    }

    /** Grants a permit that outlasts the test. */
    renewPermit(): void {
        const farAhead = this.clock.now() + 600_000;
        this.subscriber.permit.renew(
            { sentAt: farAhead, permitMs, version: this.configuration.version },
            this.configuration.version,
        );
    }

    async close(): Promise<void> {
        await this.http.close();
        await this.silence.close();
        await this.client.close();
        this.upstream.close();
    }
}

export interface TestAnswer {
    status: number;
    body: string;
    headers: NodeJS.Dict<string | string[]>;
    /** Whether the answer was complete. */
    complete: boolean;
}

/** Sends a request to the entry and reads the whole answer. */
export function send(
    entry: TestEntry,
    path: string,
    body: string,
    headers: Readonly<Record<string, string>> = { "x-workspace": "hire-desk" },
    onPart: (part: string) => void = () => undefined,
): Promise<TestAnswer> {
    return new Promise((resolve, reject) => {
        const { host, port } = entry.http.address;
        const req = request({ host, port, path, method: "POST", headers, agent: false }, res => {
            let text = "";
            res.setEncoding("utf8");
            res.on("data", (part: string) => {
                text += part;
                onPart(part);
            });
            res.on("error", () => undefined);
            res.on(
                "close",
                () =>
                    resolve({ status: res.statusCode ?? 0, body: text, headers: res.headers, complete: res.complete }),
            );
        });
        req.on("error", reject);
        req.end(body);
    });
}

/** Starts stand-ins and returns their addresses. */
export async function startAll(standIns: readonly HttpStandIn[]): Promise<{ host: string; port: number; }[]> {
    return await Promise.all(standIns.map(standIn => standIn.start()));
}
