import type { EndpointLoad } from "@lentilramp/dispatch";
import type { SyncAnswer, SyncRequest } from "@lentilramp/exchange";
import {
    capReleaseDelayMs,
    CrashJudge,
    type Endpoint,
    EndpointDirectory,
    type EndpointLifetime,
    type EndpointList,
    type IngressDescription,
    LimitAllocator,
    MedianClock,
    noDemand,
    type OriginLives,
    type OriginReports,
    ownRecord,
    Roster,
    type ServiceDemand,
    singleVersions,
    StreamOrigins,
    suspectedSyncTimeoutMs,
    syncIntervalMs,
    syncTimeoutMs,
    takeUpGraceMs,
    type UsageCounts,
    UsageWindows,
    type VersionHistory,
    versionsKnownMs,
} from "@lentilramp/fleet";
import { FleetRolloutReports } from "@lentilramp/rollouts";
import type { ServiceCapacity } from "@lentilramp/room";
import type { Clock, EventLog } from "@lentilramp/runtime";
import murmurhash from "murmurhash";
import { randomUUID } from "node:crypto";
import { FleetFactors } from "./fleet-factors.ts";
import { FleetRoom } from "./fleet-room.ts";

/** Time for which the overview of all ingresses is reused, in milliseconds. */
const overviewLifetimeMs = 100;
/**
 * Time without contact after which an ingress no longer counts for the caps, in milliseconds. Until then it may be
 * running on the other side of a network partition.
 */
const forgetMs = 30_000;

/** Data that is the same in all answers; computed once for many syncs. */
interface Overview {
    computedAt: number;
    live: readonly IngressDescription[];
    /** Hash of `live`. */
    rosterTag: number;
    members: number;
    silent: number;
    /**
     * Returns the load by endpoint, summed over all ingresses in contact when it is first asked for: while the ingresses
     * hear of it from each other, hardly anything asks.
     */
    load: () => ReadonlyMap<string, EndpointLoad>;
    /** Factors of the endpoints whose pace differs from the usual. */
    paces: Record<string, number> | undefined;
}

interface IngressState {
    load: SyncRequest["load"];
    demand: SyncRequest["demand"];
    elapsedMs: number;
}

/** Collects the reports of the ingresses and answers their syncs. Used by the leader. */
export class FleetCoordinator {
    readonly roster = new Roster(syncTimeoutMs, suspectedSyncTimeoutMs, forgetMs);
    readonly medianClock = new MedianClock();
    readonly usageWindows: UsageWindows;
    readonly crashJudge = new CrashJudge();
    /** Identifies what `crashJudge` has heard; ingresses repeat their reports to other evidence. */
    private readonly evidence = randomUUID();
    /** Instant at which an ingress last refused a request for a blocked prompt part or request. */
    readonly refusedPartAt = new Map<string, number>();
    /** Origins of the streams that ingresses have reported, or that were copied from the leader. */
    readonly origins = new StreamOrigins();
    /** What ingresses report of running roll-outs. */
    readonly rolloutReports = new FleetRolloutReports();
    /** Versions of the services, as this steward last read the list; undefined before it has led. */
    versions: VersionHistory | undefined;
    /** Called after each read of the list of endpoints. */
    onListRead: () => void = () => undefined;
    private readonly ingresses = new Map<string, IngressState>();
    private readonly limits = new LimitAllocator();
    private readonly paces = new FleetFactors();
    private readonly directory = new EndpointDirectory();
    private readonly room: FleetRoom;
    private list: EndpointList | undefined;
    private serializedEndpoints = "";
    private cachedOverview: Overview | undefined;
    /** Endpoints that the list shows as ready although they leave; undefined once that may have changed. */
    private leavingBeforeList: EndpointDirectory["leavingBeforeList"] | undefined;
    /** Keys of the lifetimes that were merged as leaving since the last list; merging one of them again changes nothing. */
    private readonly mergedLeaving = new Set<string>();
    /** Starts of the lifetimes in the list by endpoint; undefined until they are needed. */
    private startTimes: ReadonlyMap<string, number | undefined> | undefined;

    constructor(private readonly clock: Clock, usageWindowMs: number, log?: EventLog) {
        this.usageWindows = new UsageWindows(usageWindowMs);
        this.room = new FleetRoom(log);
    }

    get endpoints(): readonly Endpoint[] {
        return this.directory.all;
    }

    /** Returns the endpoints of a service that are ready and have not announced that they leave. */
    readyEndpoints(service: string): readonly Endpoint[] {
        return this.directory.readyEndpoints(service);
    }

    /** Age of the list of endpoints in milliseconds; Infinity before the first read. */
    get listAgeMs(): number {
        return this.directory.ageMs(this.clock.now());
    }

    /**
     * Replaces the list of endpoints with one read at `readAt` and returns whether they differ. `readNumber` orders the
     * lists of all leaders.
     */
    updateEndpointList(endpoints: readonly Endpoint[], readAt: number, readNumber: number): boolean {
        const text = JSON.stringify(endpoints);
        const changed = text !== this.serializedEndpoints;
        this.directory.update(endpoints, readAt);
        this.leavingBeforeList = undefined;
        this.mergedLeaving.clear();
        this.startTimes = undefined;
        this.limits.retain(endpoints);
        this.paces.retain(endpoints);
        if (changed || this.list === undefined) {
            this.serializedEndpoints = text;
            this.list = { readNumber, endpoints: [...endpoints] };
        }
        this.onListRead();
        return changed;
    }

    /**
     * Records the report of an ingress and returns the answer to its sync. `blocked` are the prompt parts and requests
     * whose verdicts stand.
     */
    sync(
        req: SyncRequest,
        blocked: ReadonlySet<string> = new Set(),
    ): Omit<SyncAnswer, "leading" | "stewards" | "catalog" | "blockedParts" | "blockedTag"> {
        const now = this.clock.now();
        const { name } = req.ingress;
        this.roster.recordContact(req.ingress, now);
        for (const suspect of req.suspects) {
            this.roster.suspect(suspect, now);
        }
        this.medianClock.observe(name, req.wallMs, now);
        this.usageWindows.replaceCounts(
            req.lifetime,
            req.usage as Record<string, UsageCounts>,
            this.medianClock.timeOfDayMs(now),
        );
        this.ingresses.set(name, { load: req.load, demand: req.demand, elapsedMs: req.elapsedMs });
        this.paces.record(req.paces, now);
        this.room.record(req);
        req.crashes.forEach(report => this.crashJudge.recordReport(report, now));
        Object.entries(req.begunParts).forEach(([part, ageMs]) => this.crashJudge.recordBegun(part, now - ageMs));
        req.refusedParts.forEach(part => this.refusedPartAt.set(part, now));
        const overview = this.currentOverview(now);
        this.mergeLeaving(req.leaving);
        this.mergeOrigins(req.origins, req.originLives);
        this.rolloutReports.record(name, req.lifetime, req.rolloutResults ?? {}, req.load, now);
        this.limits.statements.mergeReports(this.currentLifetimes(req.limits), now);
        const sendList = this.list !== undefined && req.listNumber !== this.list.readNumber;
        return {
            ...this.describeSingleVersions(req.singleVersionTag),
            list: sendList ? this.list : undefined,
            listNumber: this.list?.readNumber,
            listAgeMs: this.list === undefined ? undefined : this.listAgeMs,
            others: req.followsOthers ? undefined : subtractLoad(overview.load(), req.load),
            roster: overview.rosterTag === req.rosterTag
                ? undefined
                : { tag: overview.rosterTag, ingresses: [...overview.live] },
            room: this.room.levels(now, () => ({
                live: () => new Set(overview.live.map(description => description.name)),
                intervalMs: syncIntervalMs(overview.members),
                capacityOf: service => this.capacityOf(service),
            })),
            members: overview.members,
            silent: overview.silent,
            trueMs: this.medianClock.timeOfDayMs(now),
            leaving: [...this.leavingBeforeList ??= this.directory.leavingBeforeList],
            paces: overview.paces,
            evidence: this.evidence,
            suspectedParts: this.crashJudge.suspects(now, blocked),
            limits: this.limits.statements.reports(now),
            permits: Object.fromEntries(
                Object.entries(req.permits).map(([id, demand]) => [id, this.limits.grant(id, demand, overview, now)]),
            ),
        };
    }

    private mergeLeaving(lifetimes: SyncRequest["leaving"]): void {
        // While an endpoint leaves, all ingresses repeat that. A look at all endpoints for each of their syncs would cost a
        // large fleet's leader more than the rest of it.
        const unmerged = lifetimes.filter(lifetime => !this.mergedLeaving.has(lifetimeKey(lifetime)));
        if (unmerged.length === 0) {
            return;
        }
        unmerged.forEach(lifetime => this.mergedLeaving.add(lifetimeKey(lifetime)));
        if (this.directory.mergeLeaving(unmerged).length > 0) {
            this.leavingBeforeList = undefined;
        }
    }

    /** Leaves out statements that the list shows to be of an earlier or a later lifetime of their endpoint. */
    private currentLifetimes(reports: SyncRequest["limits"]): SyncRequest["limits"] {
        if (Object.keys(reports).length === 0) {
            return {};
        }
        const startTimes = this.startTimes ??= new Map(this.directory.all.map(({ id, startedAt }) => [id, startedAt]));
        return Object.fromEntries(
            Object.entries(reports).filter(([id, { startedAt }]) =>
                !startTimes.has(id) || startTimes.get(id) === startedAt
            ),
        );
    }

    /** Id of what this steward has heard from the ingresses; they repeat their reports to another one. */
    get collection(): string {
        return this.evidence;
    }

    /** Returns the only version that can have begun a stream of each service, for the services that have one. */
    singleVersions(): Record<string, string> {
        return this.versions === undefined || this.listAgeMs > versionsKnownMs
            ? {}
            : singleVersions(this.versions, this.medianClock.timeOfDayMs(this.clock.now()) ?? Date.now());
    }

    /** Records origins of streams. One without a life lives as long as any stream of its service. */
    mergeOrigins(reports: OriginReports, lives: OriginLives = {}): void {
        const services = ownRecord(this.versions?.services ?? {});
        const defaultLifeMs = (service: string): number => (services[service]?.lifeMs ?? 0) + takeUpGraceMs;
        this.origins.merge(reports, lives, defaultLifeMs, this.clock.now());
    }

    /** Returns the services with a single version if the tag of the sender is of other ones. */
    private describeSingleVersions(
        tag: number,
    ): Pick<SyncAnswer, "singleVersionTag" | "singleVersion" | "singleVersions" | "keepsOriginLives"> {
        const versions = Object.entries(this.singleVersions()).sort(([one], [other]) => one < other ? -1 : 1);
        const singleVersionTag = murmurhash.v3(JSON.stringify(versions)) || 1;
        return {
            singleVersionTag,
            keepsOriginLives: true,
            ...(singleVersionTag === tag ? {} : {
                singleVersion: versions.map(([service]) => service),
                singleVersions: Object.fromEntries(versions),
            }),
        };
    }

    /** Returns the ingresses in contact for another steward; undefined if its roster with the given tag is current. */
    rosterIfChanged(tag: number): SyncAnswer["roster"] {
        const { rosterTag, live } = this.currentOverview(this.clock.now());
        return rosterTag === tag ? undefined : { tag: rosterTag, ingresses: [...live] };
    }

    /** Returns the requests in flight at an endpoint, summed over all ingresses in contact. */
    runningAt(endpoint: string): number {
        return this.currentOverview(this.clock.now()).load().get(endpoint)?.running ?? 0;
    }

    /** Returns the demand on each engine service, summed over all ingresses in contact. */
    totalDemand(): Map<string, ServiceDemand> {
        const total = new Map<string, ServiceDemand>();
        const live = new Set(this.roster.live(this.clock.now()).map(description => description.name));
        for (const [name, state] of this.ingresses) {
            if (!live.has(name)) {
                this.ingresses.delete(name);
                continue;
            }
            for (const [service, { unreadTokens, promptTokens, placeMs }] of Object.entries(state.demand)) {
                const sum = total.get(service) ?? noDemand();
                const elapsedMs = Math.max(1, state.elapsedMs);
                sum.prefillPerSecond += unreadTokens * 1_000 / elapsedMs;
                sum.promptPerSecond += promptTokens * 1_000 / elapsedMs;
                sum.occupiedSlots += placeMs / elapsedMs;
                total.set(service, sum);
            }
        }
        return total;
    }

    /** Returns the median prompt speed of a service's engines as measured by the ingresses; undefined if none did. */
    medianPrefillTokensPerMs(service: string): number | undefined {
        const rates = [...this.ingresses.values()].flatMap(({ demand }) => demand[service]?.prefillTokensPerMs ?? [])
            .sort((a, b) => a - b);
        return rates[Math.floor(rates.length / 2)];
    }

    /** Returns the factor by which work takes longer at an endpoint than predicted, as the whole fleet sees it. */
    private endpointFactor(id: string): number {
        const factors = this.cachedOverview?.paces ?? {};
        return Object.hasOwn(factors, id) ? factors[id] ?? 1 : 1;
    }

    private capacityOf(service: string): ServiceCapacity {
        const ready = this.directory.readyEndpoints(service);
        const rate = this.medianPrefillTokensPerMs(service);
        const nominalSlots = ready.reduce((sum, endpoint) => sum + endpoint.slots, 0);
        // The factor of an engine is that of its first bytes, which says how fast it reads prompts.
        const slots = rate !== undefined
            ? nominalSlots
            : ready.reduce((sum, { id, slots }) => sum + slots / Math.max(1, this.endpointFactor(id)), 0);
        const engines = ready.reduce((sum, { id }) => sum + 1 / this.endpointFactor(id), 0);
        return {
            slots,
            slowdown: slots === 0 ? 1 : nominalSlots / slots,
            tokensPerMs: rate === undefined ? undefined : rate * engines,
        };
    }

    /** Merges the roster of the leader, so that this steward can answer lookups and lead later. */
    mergeLeaderRoster(descriptions: readonly IngressDescription[]): void {
        const now = this.clock.now();
        for (const description of descriptions) {
            this.roster.recordContact(description, now);
        }
        this.roster.suspectAllExcept(new Set(descriptions.map(({ name }) => name)), now);
    }

    private sumLoads(live: readonly IngressDescription[]): Map<string, EndpointLoad> {
        const load = new Map<string, EndpointLoad>();
        for (const { name } of live) {
            for (const [endpoint, { running, unreadTokens }] of Object.entries(this.ingresses.get(name)?.load ?? {})) {
                const sum = load.get(endpoint);
                load.set(endpoint, {
                    running: (sum?.running ?? 0) + running,
                    unreadTokens: (sum?.unreadTokens ?? 0) + unreadTokens,
                });
            }
        }
        return load;
    }

    private currentOverview(now: number): Overview {
        if (this.cachedOverview !== undefined && now - this.cachedOverview.computedAt < overviewLifetimeMs) {
            return this.cachedOverview;
        }
        const live = this.roster.live(now);
        const isUnchanged = this.cachedOverview?.live.length === live.length
            && live.every((description, i) => description === this.cachedOverview?.live[i]);
        let load: ReadonlyMap<string, EndpointLoad> | undefined;
        const members = this.roster.countMembers(now);
        this.cachedOverview = {
            computedAt: now,
            live,
            rosterTag: isUnchanged && this.cachedOverview !== undefined
                ? this.cachedOverview.rosterTag
                : murmurhash.v3(JSON.stringify(live)),
            members,
            silent: this.roster.countSilent(now, capReleaseDelayMs(members)),
            load: () => load ??= this.sumLoads(live),
            paces: this.paces.current(now),
        };
        return this.cachedOverview;
    }
}

function lifetimeKey({ id, startedAt }: EndpointLifetime): string {
    return `${startedAt} ${id}`;
}

/** Returns the load without the part of one ingress. */
function subtractLoad(
    load: ReadonlyMap<string, EndpointLoad>,
    ingressLoad: Readonly<Record<string, EndpointLoad>>,
): Record<string, EndpointLoad> {
    const others: Record<string, EndpointLoad> = {};
    for (const [endpoint, { running, unreadTokens }] of load) {
        others[endpoint] = {
            running: Math.max(0, running - (ingressLoad[endpoint]?.running ?? 0)),
            unreadTokens: Math.max(0, unreadTokens - (ingressLoad[endpoint]?.unreadTokens ?? 0)),
        };
    }
    return others;
}
