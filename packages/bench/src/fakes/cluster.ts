import type { CacheEventBatch, Endpoint, EngineRequest, RoutingPolicy } from "@lentilramp/routing";
import { EndpointTable, LinkTable } from "@lentilramp/routing";
import type { RandomSource } from "@lentilramp/runtime";
import type { EngineOptions } from "./engine.ts";
import { engineDefaults, FakeEngine } from "./engine.ts";
import type { EventQueue } from "./event-queue.ts";

export interface ClusterOptions {
    engines: number;
    entries: number;
    failureDomains: readonly string[];
    /** One-way delay inside a failure domain and between two. */
    nearDelayMs: number;
    farDelayMs: number;
    reportIntervalMs: number;
    /** Lag of load reports and cache events. */
    lagMs: number;
    cacheBatchIntervalMs: number;
    /** Probability that a batch of cache events does not reach an entry. */
    cacheLoss: number;
    engine: EngineOptions;
}

export const clusterDefaults: ClusterOptions = {
    engines: 12,
    entries: 40,
    failureDomains: ["a", "b", "c"],
    nearDelayMs: 0.5,
    farDelayMs: 4,
    reportIntervalMs: 250,
    lagMs: 500,
    cacheBatchIntervalMs: 500,
    cacheLoss: 0.3,
    engine: engineDefaults,
};

export interface EntryFake {
    failureDomain: string;
    table: EndpointTable;
    policy: RoutingPolicy<EngineRequest>;
}

/** Engines and entries with the messages between them: dispatches, tokens, load reports and cache events. */
export class Cluster {
    readonly engines = new Map<string, FakeEngine>();
    readonly endpoints: Endpoint[] = [];
    readonly entries: EntryFake[];
    private attempts = 0;

    constructor(
        private readonly clock: EventQueue,
        private readonly random: RandomSource,
        makePolicy: () => RoutingPolicy<EngineRequest>,
        private readonly options: ClusterOptions = clusterDefaults,
    ) {
        const domains = options.failureDomains;
        for (let i = 0; i < options.engines; i++) {
            const id = `engine-${i}`;
            this.engines.set(id, new FakeEngine(clock, options.engine));
            this.endpoints.push({
                id,
                failureDomain: domains[i % domains.length] as string,
                models: [{ model: "desk", version: "1", adapters: [] }],
            });
        }
        this.entries = Array.from(Array(options.entries).keys(), i => {
            const failureDomain = domains[i % domains.length] as string;
            const links = Object.fromEntries(domains.map(domain => [domain, {
                delayMs: this.delay(failureDomain, domain),
                cost: domain === failureDomain ? 0 : 1,
            }]));
            const table = new EndpointTable(new LinkTable(links), random);
            table.setEndpoints(this.endpoints);
            return { failureDomain, table, policy: makePolicy() };
        });
    }

    /** Starts the periodic load reports and cache events. */
    startPublishing(): void {
        const { reportIntervalMs, cacheBatchIntervalMs } = this.options;
        for (const [id, engine] of this.engines) {
            this.every(reportIntervalMs, () => {
                const report = engine.report();
                this.later(
                    this.options.lagMs,
                    () => this.entries.forEach(entry => entry.table.acceptReport(id, report)),
                );
            });
            this.every(cacheBatchIntervalMs, () => this.publishCacheBatch(id, engine.cache.takeBatch()));
        }
    }

    /** Sends a request from an entry to the endpoint that its policy chooses; false when the policy refuses. */
    send(
        entry: EntryFake,
        req: EngineRequest,
        outputTokens: number,
        onToken: (offset: number) => void,
        onEnd: () => void,
    ): boolean {
        const choice = entry.policy.choose(req, entry.table, this.clock.now());
        if (choice.isErr()) {
            return false;
        }
        const { endpoint, cachedTokens } = choice.value;
        const attempt = `${this.attempts++}`;
        entry.table.recordDispatch(attempt, endpoint.id, req, req.promptTokens - cachedTokens, this.clock.now());
        const delay = this.delay(entry.failureDomain, endpoint.failureDomain);
        const relayed = (offset: number) => {
            if (offset === 0) {
                entry.table.inFlight.recordFirstToken(attempt);
            }
            onToken(offset);
        };
        const ended = () => {
            entry.table.inFlight.recordEnd(attempt);
            onEnd();
        };
        this.later(delay, () =>
            this.engines.get(endpoint.id)?.submit({
                ...req,
                outputTokens,
                onToken: offset => this.later(delay, () => relayed(offset)),
                onEnd: () => this.later(delay, ended),
            }));
        return true;
    }

    private publishCacheBatch(id: string, batch: CacheEventBatch): void {
        this.later(this.options.lagMs, () => {
            for (const entry of this.entries) {
                if (this.random.next() >= this.options.cacheLoss) {
                    entry.table.acceptCacheBatch(id, batch, this.clock.now());
                }
                if (entry.table.takeSnapshotRequests(this.clock.now(), [id]).length > 0) {
                    this.requestSnapshot(entry, id);
                }
            }
        });
    }

    private requestSnapshot(entry: EntryFake, id: string): void {
        this.later(this.options.farDelayMs, () => {
            const snapshot = this.engines.get(id)?.cache.snapshot();
            if (snapshot !== undefined) {
                this.later(
                    this.options.farDelayMs,
                    () => entry.table.acceptCacheSnapshot(id, snapshot, this.clock.now()),
                );
            }
        });
    }

    private delay(from: string, to: string): number {
        return from === to ? this.options.nearDelayMs : this.options.farDelayMs;
    }

    private every(intervalMs: number, run: () => void): void {
        const tick = () => {
            run();
            this.later(intervalMs, tick);
        };
        // A random phase, because engines do not publish in step.
        this.later(this.random.next() * intervalMs, tick);
    }

    private later(ms: number, run: () => void): void {
        this.clock.schedule(this.clock.now() + ms, run);
    }
}
