import {
    CallerServer,
    describeIngress,
    EndpointListFallback,
    ExchangeFeed,
    ExchangeSubscriber,
    FleetSync,
    FleetView,
    OriginLookup,
    Relay,
} from "@lentilramp/ingress";
import type { EndpointSource, IngressComponentFactory, IngressOptions, SyncRequest } from "@lentilramp/ingress";
import { JsonCatalogCodec, PlatformHeaderCodec } from "@lentilramp/platform";
import { defaultHttpServerOptions, HttpServer, type PeerAddress } from "@lentilramp/protocol";
import { randomUUID } from "node:crypto";
import type { FleetProcess } from "./wire-fleet.ts";

/** Age of the passed-on list at which an ingress reads it itself, in milliseconds; half of the bound for leaving ones. */
const listAgePart = 0.5;
/** Validities of an address answer for which callers may use it. */
const keptAnswers = 3;

/** Wires an ingress. */
export function wireIngress(
    options: IngressOptions,
    seeds: () => readonly PeerAddress[],
    source: EndpointSource,
    lookupMs: number,
    parts: IngressComponentFactory,
    base: FleetProcess,
): void {
    const { clock, log, random, client, lifecycle, metrics } = base;
    const runName = `${options.name}/${randomUUID()}`;
    const view: FleetView = new FleetView(
        new JsonCatalogCodec(),
        clock,
        log,
        options.usageWindowMs,
        options.capTolerance,
        options.catalogBoundMs,
        parts,
        options.name,
        {
            onEndpointGone: id => relay.pool.remove(id),
            countCovered: () => follower.countCovered("fleet"),
            requestSync: intervalMs => link.requestSync(intervalMs),
            nextSyncAt: () => link.nextSyncAt,
            askForOrigin: (key, services) => originLookup.find(key, services),
        },
    );
    const lingerMs = lookupMs * keptAnswers;
    const relay = new Relay(
        view,
        new PlatformHeaderCodec(),
        options,
        { clock, random, log, metrics },
        parts,
    );
    const accepting = (): boolean => view.ready && lifecycle.state === "ready" && !relay.isDraining();
    const describe = (elapsedMs: number): Omit<SyncRequest, "waitMs"> => ({
        ingress: describeIngress(options, accepting(), !relay.reach.isCutOff),
        lifetime: runName,
        wallMs: Date.now(),
        elapsedMs,
        catalogVersion: view.catalog?.version ?? -1,
        listNumber: view.listNumber,
        load: Object.fromEntries(view.loads.localLoad()),
        followsOthers: follower.coversOthers,
        suspects: follower.suspectedPeers,
        rosterTag: view.rosterTag,
        usage: view.usage.snapshot(),
        leaving: view.endpoints.leavingBeforeList,
        limits: view.limits.heardReports(clock.now()),
        permits: view.limits.takeDemand(view.endpoints.all, service => relay.waitingFor(service), clock.now()),
        crashes: view.crashes?.crashReports(clock.now()) ?? [],
        begunParts: view.crashes?.begunReports(clock.now()) ?? {},
        refusedParts: view.crashes?.takeRefused() ?? [],
        blockedTag: view.blockedTag,
        origins: view.origins.reports(clock.now()),
        singleVersionTag: view.singleVersionTag,
        demand: relay.takeDemand(),
    });
    const link: FleetSync = new FleetSync(
        client,
        seeds,
        elapsedMs => {
            view.freshness.recordSyncStart(link.startDelayMs);
            return describe(elapsedMs);
        },
        (answer, req, sentAt) => {
            view.applySyncAnswer(answer, sentAt, req.permits, req.crashes, req.origins);
            metrics.count("limit_permits", Object.values(answer.permits ?? {}).reduce((sum, count) => sum + count, 0));
        },
        () => view.memberCount,
        clock,
        random,
        log,
    );
    const originLookup = new OriginLookup(client, () => link.knownStewards, clock, log);
    base.gauges.push(() => {
        metrics.gauge("in_progress", relay.requestsInFlight);
        metrics.gauge("waiting", relay.waiting);
        metrics.gauge("catalog_version", view.catalog?.version ?? -1);
        metrics.gauge("endpoints_ready", view.endpoints.all.filter(endpoint => endpoint.ready).length);
        metrics.gauge("blocked_parts", view.crashes?.blockedParts ?? 0);
        metrics.gauge("endpoints_limited", view.limits.limitedEndpoints);
        metrics.gauge("list_age", view.endpoints.ageMs(clock.now()) / 1_000);
        metrics.gauge("sync_age", (clock.now() - link.answeredAt) / 1_000);
        metrics.gauge("sync_delay", link.startDelayMs / 1_000);
        metrics.gauge("members", view.memberCount);
    });
    const inner = new HttpServer({ ...options.inner, ...defaultHttpServerOptions }, log);
    const feed = new ExchangeFeed(
        view.loads,
        view.caps,
        runName,
        (scope, name) => follower.countCovered(scope, name),
        clock,
        view.crashes?.fresh,
    );
    feed.attach(inner, base.key);
    const follower: ExchangeSubscriber = new ExchangeSubscriber(
        options.name,
        {
            loads: view.loads,
            caps: view.caps,
            onMemberChange: name => feed.markBusy(name),
            crashes: view.crashes?.fresh,
        },
        () => view.roster,
        base.key,
        clock,
        log,
    );
    lifecycle.register(client);
    lifecycle.register(inner);
    lifecycle.register(feed);
    lifecycle.register(link);
    lifecycle.register(follower);
    lifecycle.register(new EndpointListFallback(view, source, options.drainBoundMs * listAgePart, clock, log));
    lifecycle.register(new CallerServer(relay, options, accepting, lingerMs, clock, log));
}
