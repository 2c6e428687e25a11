import { type Catalog, CatalogCodec } from "@lentilramp/catalog";
import type { SyncAnswer } from "@lentilramp/exchange";
import type { Endpoint } from "@lentilramp/fleet";
import {
    FleetView,
    type FleetViewHooks,
    IngressComponentFactory,
    type IngressOptions,
    ingressPolicyDefaults,
    Relay,
    VersionSplit,
} from "@lentilramp/ingress";
import { PlatformHeaderCodec } from "@lentilramp/platform";
import { ManualClock, MemoryEventLog, MemoryMetrics, type RandomSource } from "@lentilramp/runtime";
import { Ok } from "ts-results-es";

const options: IngressOptions = {
    name: "ingress",
    region: "r",
    failureDomain: "a",
    callers: { host: "127.0.0.1", port: 1 },
    readiness: { host: "127.0.0.1", port: 2 },
    inner: { host: "127.0.0.1", port: 3 },
    graceMs: 2_000,
    retryRatio: 0.5,
    retryWindowMs: 10_000,
    retryReserve: 20,
    capTolerance: { overshoot: 0, windowMs: 8_000, units: 0 },
    usageWindowMs: 5_000,
    drainBoundMs: 3_000,
    catalogBoundMs: 2_000,
    maxListLagMs: 800,
};

class FixedCatalog extends CatalogCodec {
    constructor(private readonly catalog: Catalog) {
        super();
    }

    override decode(): Ok<Catalog> {
        return new Ok(this.catalog);
    }
}

/** Requests that a test endpoint serves at once. */
export const slots = 4;

/** Returns an endpoint that may be sent to. */
export function testEndpoint(overrides: Pick<Endpoint, "id" | "service"> & Partial<Endpoint>): Endpoint {
    return {
        host: "10.0.0.1",
        port: 80,
        failureDomain: "a",
        slots,
        ready: true,
        reclaimable: false,
        ...overrides,
    };
}

/** Returns an answer to a sync that confirms the first catalog to the only ingress. */
export function syncAnswer(overrides: Partial<SyncAnswer> = {}): SyncAnswer {
    return {
        leading: true,
        stewards: [],
        members: 1,
        catalog: { version: 1, text: "" },
        // Without the fleet's time, turns to send to endpoints with a limit would depend on the clock of the machine. No turn
        // begins near this time.
        trueMs: 1_234_567_891_234,
        ...overrides,
    };
}

/** Instant at which an ingress without a network starts. */
export const startedAt = 10_000;

/** Returns the parts of an ingress without a network that has not synced yet; `random` is what it draws from. */
export function unconnectedIngress(catalog: Catalog, random: RandomSource, hooks: Partial<FleetViewHooks> = {}) {
    const { name, usageWindowMs, capTolerance, catalogBoundMs, maxListLagMs } = options;
    const clock = new ManualClock(startedAt);
    const base = { clock, random, log: new MemoryEventLog(), metrics: new MemoryMetrics() };
    const components = new IngressComponentFactory(ingressPolicyDefaults);
    const view = new FleetView(
        new FixedCatalog(catalog),
        clock,
        base.log,
        usageWindowMs,
        capTolerance,
        catalogBoundMs,
        maxListLagMs,
        components,
        name,
        {
            onEndpointGone: () => undefined,
            countCovered: () => 1,
            requestSync: () => undefined,
            nextSyncAt: () => clock.now() + 250,
            askForOrigin: async () => undefined,
            ...hooks,
        },
    );
    const versions = new VersionSplit(clock, random, base.metrics);
    const relay = new Relay(view, new PlatformHeaderCodec(), options, base, components, versions);
    return { name, clock, view, versions, relay };
}
