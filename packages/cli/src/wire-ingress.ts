import { type EndpointSource, type SyncRequest, whereMethod, whereRequestSchema } from "@lentilramp/exchange";
import {
    CallerServer,
    describeIngress,
    EndpointListFallback,
    EventLoopLoad,
    ExchangeFeed,
    ExchangeSubscriber,
    FleetSync,
    FleetView,
    OriginLookup,
    Relay,
    RequestPreview,
    VersionRenewal,
    VersionSplit,
} from "@lentilramp/ingress";
import type { IngressComponentFactory, IngressOptions } from "@lentilramp/ingress";
import { JsonCatalogCodec, PlatformHeaderCodec } from "@lentilramp/platform";
import {
    defaultClientLimits,
    defaultHttpServerOptions,
    HttpServer,
    type PeerAddress,
    RpcServer,
} from "@lentilramp/protocol";
import { randomUUID } from "node:crypto";
import type { FleetProcess } from "./wire-fleet.ts";

/** Age of the passed-on list at which an ingress reads it itself, in milliseconds; half of the bound for leaving ones. */
const listAgePart = 0.5;
/** Validities of an address answer for which callers may use it. */
const keptAnswers = 3;

/** Part of the connections of the process that are for other processes. */
const innerConnectionPart = 0.2;

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
        options.maxListLagMs,
        parts,
        options.name,
        {
            onEndpointGone: id => {
                relay.pool.remove(id);
                relay.paces.removeEndpoint(id);
            },
            countCovered: () => follower.countCovered("fleet"),
            requestSync: intervalMs => link.requestSync(intervalMs),
            nextSyncAt: () => link.nextSyncAt,
            askForOrigin: (key, services) => originLookup.find(key, services),
        },
    );
    const lingerMs = lookupMs * keptAnswers;
    const versions = options.rollouts && new VersionSplit(clock, random, metrics, options.name);
    const relay = new Relay(
        view,
        new PlatformHeaderCodec(),
        options,
        { clock, random, log, metrics },
        parts,
        versions,
    );
    const load = new EventLoopLoad(clock, log);
    const accepting = (): boolean => view.ready && lifecycle.state === "ready" && !relay.isDraining();
    const describeOrigins = (): Pick<SyncRequest, "origins" | "originLives"> => {
        const { reports, lives } = view.origins.report(clock.now());
        return { origins: reports, originLives: lives };
    };
    const describe = (elapsedMs: number): Omit<SyncRequest, "waitMs"> => ({
        ingress: describeIngress(options, accepting(), !relay.reach.isCutOff, load.isBusyNow()),
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
        ...describeOrigins(),
        singleVersionTag: view.singleVersionTag,
        demand: relay.takeDemand(),
        paces: relay.paces.takeReports(),
        room: relay.roomGate.takeReport(),
        rolloutResults: versions?.reports(),
        rolloutRevision: versions?.knownRevision,
    });
    const link: FleetSync = new FleetSync(
        client,
        seeds,
        elapsedMs => {
            view.freshness.recordSyncStart(link.startDelayMs);
            return describe(elapsedMs);
        },
        (answer, req, sentAt) => {
            versions?.apply(answer, sentAt);
            if (answer.leading) {
                versions?.acknowledge(req.rolloutResults);
            }
            view.applySyncAnswer(answer, sentAt, req.permits, req.crashes, req.origins);
            if (answer.leading) {
                relay.paces.applyAnswer(answer.paces);
            }
            relay.roomGate.applyAnswer(answer, sentAt);
            metrics.count("limit_permits", Object.values(answer.permits ?? {}).reduce((sum, count) => sum + count, 0));
        },
        () => view.memberCount,
        clock,
        random,
        log,
    );
    const renewal = versions && new VersionRenewal(
        versions,
        client,
        () => link.knownStewards[0],
        () => ({
            ingress: options.name,
            lifetime: runName,
            load: Object.fromEntries(view.loads.localLoad()),
        }),
        () => link.requestSync(),
        clock,
        log,
    );
    const originLookup = new OriginLookup(client, () => link.knownStewards, clock, log);
    base.gauges.push(() => {
        metrics.gauge("in_progress", relay.requestsInFlight);
        metrics.gauge("waiting", relay.waiting);
        metrics.gauge("catalog_version", view.catalog?.version ?? -1);
        metrics.gauge("endpoints_ready", view.endpoints.all.filter(endpoint => endpoint.ready).length);
        metrics.gauge("blocked_parts", view.crashes?.blockedParts ?? 0);
        metrics.gauge("endpoints_slow", relay.paces.slowEndpoints);
        metrics.gauge("endpoints_limited", view.limits.limitedEndpoints);
        metrics.gauge("list_age", view.endpoints.ageMs(clock.now()) / 1_000);
        metrics.gauge("sync_age", (clock.now() - link.answeredAt) / 1_000);
        metrics.gauge("sync_delay", link.startDelayMs / 1_000);
        metrics.gauge("members", view.memberCount);
        relay.roomGate.lowestShares().forEach((share, service) => metrics.gauge("room_share", share, { service }));
        metrics.gauge("rollout_share", versions?.largestShare ?? 0);
        metrics.gauge("capacity", describeIngress(options, accepting(), true).capacity ?? 0);
        metrics.gauge("busy", load.wasBusy ? 1 : 0);
    });
    const inner = new HttpServer(
        {
            ...options.inner,
            ...defaultHttpServerOptions,
            connectionPart: innerConnectionPart,
            unreadAnswerMs: defaultClientLimits.unreadAnswerMs,
        },
        log,
        base.guard,
    );
    const feed = new ExchangeFeed(
        view.loads,
        view.caps,
        runName,
        (scope, name) => follower.countCovered(scope, name),
        clock,
        view.crashes?.fresh,
    );
    feed.attach(inner, base.key);
    const preview = new RequestPreview(relay, options.name);
    const rpc = new RpcServer(base.key, log);
    rpc.method(whereMethod, whereRequestSchema, async req => preview.describe(req));
    rpc.attach(inner);
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
    if (renewal !== undefined) {
        lifecycle.register(renewal);
    }
    lifecycle.register(follower);
    const maxListAgeMs = options.drainBoundMs * listAgePart;
    lifecycle.register(
        new EndpointListFallback(view, source, maxListAgeMs, clock, log, () => link.hasFoundNoLeader),
    );
    lifecycle.register(new CallerServer(relay, options, accepting, lingerMs, clock, log, undefined, base.guard));
}
