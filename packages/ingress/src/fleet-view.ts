import { type Catalog, type CatalogCodec, RouteTable, WorkspaceKeys } from "@lentilramp/catalog";
import type { EndpointHealth, LoadTracker, PrefixCacheIndex } from "@lentilramp/dispatch";
import type { OriginAnswer, SyncAnswer, SyncRequest } from "@lentilramp/exchange";
import {
    CapMeter,
    type CapTolerance,
    CatalogFreshness,
    type Endpoint,
    EndpointDirectory,
    type IngressDescription,
    isRequestKey,
    LimitPermits,
    OriginReporter,
    originSyncIntervalMs,
    ownRecord,
    PromptCrashes,
    type RequestSuspects,
    type StreamOrigin,
    suspectKeys,
    takeUpGraceMs,
    UsageLedger,
    VersionAnnouncements,
    versionOf,
} from "@lentilramp/fleet";
import type { Clock, EventLog } from "@lentilramp/runtime";
import type { IngressComponentFactory } from "./ingress-policy.ts";
import { hasResumableRoute } from "./resumable-routes.ts";

/** Time by which the knowledge of a steward that does not lead may be older, in milliseconds: an election timeout. */
const followerLagMs = 900;
/** Part of the time within which a catalog must be in force that may pass without a confirmation. */
const usedBoundPart = 0.8;

/** What a view needs from the other parts of its ingress. */
export interface FleetViewHooks {
    onEndpointGone: (id: string) => void;
    /** Returns the number of ingresses whose cap usage is received here, including this one. */
    countCovered: () => number;
    /** Asks for an early sync with the leading steward, after `intervalMs` milliseconds if that is given. */
    requestSync: (intervalMs?: number) => void;
    /** Returns the instant at which the next sync is due; Infinity while one is in progress. */
    nextSyncAt: () => number;
    /** Asks the stewards where the stream `key` began and which versions `services` have; see `OriginLookup`. */
    askForOrigin: (key: string, services: readonly string[]) => Promise<OriginAnswer | undefined>;
}

/** State of the fleet as this ingress last received or measured it. */
export class FleetView {
    catalog: Catalog | undefined;
    routes: RouteTable | undefined;
    workspaceKeys: WorkspaceKeys | undefined;
    readonly endpoints = new EndpointDirectory();
    /** Limits of endpoints, and the permits to send to those that have one. */
    readonly limits: LimitPermits;
    /** Requests and prompt parts that crash endpoints; undefined if the policy switches that off. */
    readonly crashes: PromptCrashes | undefined;
    readonly loads: LoadTracker;
    readonly health: EndpointHealth;
    readonly prefixMemory: PrefixCacheIndex;
    readonly caps: CapMeter;
    readonly usage: UsageLedger;
    /** Whether the catalog is known to be new enough to serve with. */
    readonly freshness: CatalogFreshness;
    /** Prefill speed of the engines of each service as measured by the fleet, in prompt tokens per millisecond. */
    engineRates: Readonly<Record<string, number>> = ownRecord();
    /** Number of the endpoint list in use; 0 when this process read the list itself or has none. */
    listNumber = 0;
    /** Ingresses in contact with the leading steward, including this one. */
    roster: readonly IngressDescription[] = [];
    rosterTag = 0;
    /** Tag of the verdicts on requests and prompt parts; 0 before the first ones. */
    blockedTag = 0;
    /** Origins of the streams that callers have begun here. */
    readonly origins = new OriginReporter();
    /** Tag of the services with a single version; 0 before the first ones. */
    singleVersionTag = 0;
    /**
     * Whether the last leader collects the origins of streams; one of an earlier software version does not. Undefined
     * before the first answer of a leader.
     */
    leaderCollectsOrigins: boolean | undefined;
    /** Called after an answer to a sync and an endpoint list have been applied. */
    onUpdate: () => void = () => undefined;
    private readonly judgesRequests: boolean;
    private syncedWithLeader = false;
    /** Number of ingresses that may be running, including this one; 0 until a steward has reported it. */
    reportedMemberCount = 0;
    private fleetTimeOffsetMs: number | undefined;
    private silentMemberCount = 0;
    private leaderAnsweredAt = -Infinity;
    private readonly announcements: VersionAnnouncements;
    /** The list in use if this process has read it itself, and the instant at which more of it may be used. */
    private ownList: { endpoints: readonly Endpoint[]; readAt: number; moreUsableAt: number; } | undefined;
    /** Newest version of a catalog that this process cannot decode; no version is lower than 0. */
    private unreadableVersion = -1;

    constructor(
        private readonly codec: CatalogCodec,
        private readonly clock: Clock,
        private readonly log: EventLog,
        usageWindowMs: number,
        tolerance: CapTolerance,
        /** Time within which a confirmed catalog must be in force, in milliseconds. */
        catalogBoundMs: number,
        /** Longest time by which a list of the platform is behind, in milliseconds. */
        maxListLagMs: number,
        components: IngressComponentFactory,
        private readonly ownName: string,
        private readonly hooks: FleetViewHooks,
    ) {
        this.crashes = components.policy.crashingParts ? new PromptCrashes() : undefined;
        this.judgesRequests = components.policy.crashingRequests;
        this.loads = components.createLoadTracker();
        this.health = components.createEndpointHealth();
        this.prefixMemory = components.createPrefixMemory();
        this.usage = new UsageLedger(usageWindowMs);
        this.announcements = new VersionAnnouncements(maxListLagMs);
        this.freshness = new CatalogFreshness(catalogBoundMs * usedBoundPart, () => this.hooks.nextSyncAt());
        this.caps = new CapMeter(
            tolerance,
            () => ({
                coveredMembers: this.hooks.countCovered(),
                members: this.reportedMemberCount,
                silentMembers: this.silentMemberCount,
                leaderAnsweredAt: this.leaderAnsweredAt,
            }),
            clock.now(),
        );
        this.limits = new LimitPermits(
            () => ({
                members: Math.max(this.memberCount, this.roster.length),
                position: Math.max(0, this.roster.findIndex(({ name }) => name === this.ownName)),
                fleetTimeMs: this.fleetTime(),
            }),
            hooks.requestSync,
        );
    }

    /**
     * Returns the wall-clock time by the median of the fleet's clocks, in milliseconds since the epoch; before the
     * first sync, by the clock of this process.
     */
    fleetTime(): number {
        return this.clock.now() + (this.fleetTimeOffsetMs ?? Date.now() - this.clock.now());
    }

    /** Returns the suspects of a request for which this ingress may refuse it. */
    judgedSuspects(suspects: RequestSuspects): string[] {
        return this.judgesRequests ? suspectKeys(suspects) : [...suspects.parts];
    }

    /**
     * Records where a stream has begun of which an attempt may go on until `deadline`; the leader hears of it with an early
     * sync if it has to.
     */
    recordOrigin(key: string, origin: StreamOrigin, deadline: number): void {
        const isNews = this.origins.record(key, origin, deadline + takeUpGraceMs, this.clock.now());
        if (isNews && this.leaderCollectsOrigins) {
            this.hooks.requestSync(originSyncIntervalMs(this.memberCount));
        }
    }

    findOrigin(key: string): StreamOrigin | undefined {
        return this.origins.find(key, this.clock.now());
    }

    /** Asks the stewards where a stream began; see `OriginLookup`. */
    askForOrigin(key: string, services: readonly string[]): Promise<OriginAnswer | undefined> {
        return this.hooks.askForOrigin(key, services);
    }

    /** Asks for an early sync with the leading steward. */
    requestSync(): void {
        this.hooks.requestSync();
    }

    /** Number of ingresses that may be running, including this one; 1 while it is unknown. */
    get memberCount(): number {
        return Math.max(1, this.reportedMemberCount);
    }

    /** Whether requests can be served: a catalog that is new enough, endpoints and this ingress's share of the caps are available. */
    get ready(): boolean {
        return this.catalog !== undefined && !this.lacksNewerCatalog && this.freshness.mayServe(this.clock.now())
            && this.endpoints.all.length > 0
            && (this.caps.fleetSizeKnown || this.catalog.workspaces.every(({ capPerSecond }) => capPerSecond <= 0));
    }

    /** Whether there is a newer catalog than the one in force, which this process cannot decode. */
    get lacksNewerCatalog(): boolean {
        return this.unreadableVersion > (this.catalog?.version ?? -1);
    }

    /**
     * Applies the answer to a sync that was sent at `sentAt`, asked for the permits `wanted`, and reported the crashes
     * `reported` and the origins `origins`.
     */
    applySyncAnswer(
        answer: SyncAnswer,
        sentAt: number,
        wanted: SyncRequest["permits"] = {},
        reported: SyncRequest["crashes"] = [],
        origins: SyncRequest["origins"] = {},
    ): void {
        if (answer.catalog !== undefined) {
            this.applyCatalog(answer.catalog.version, answer.catalog.text, answer.leading);
        }
        // A leader of an earlier version does not say that it is current.
        if (!this.lacksNewerCatalog && (answer.current ?? answer.leading)) {
            this.freshness.recordConfirmation(answer.leading ? sentAt : sentAt - followerLagMs);
        }
        // A steward that does not lead returns the last replicated count, which is older than a leader's.
        if (answer.members > 0 && (answer.leading || !this.syncedWithLeader)) {
            this.reportedMemberCount = answer.members;
        }
        this.engineRates = answer.engineRates === undefined ? this.engineRates : ownRecord(answer.engineRates);
        this.applyVerdicts(answer);
        if (answer.leading) {
            this.applyLeaderAnswer(answer, sentAt, wanted, reported, origins);
        }
        this.onUpdate();
    }

    private applyLeaderAnswer(
        answer: SyncAnswer,
        sentAt: number,
        wanted: SyncRequest["permits"],
        reported: SyncRequest["crashes"],
        origins: SyncRequest["origins"],
    ): void {
        this.applyCrashEvidence(answer, reported);
        this.applyVersions(answer, origins);
        this.syncedWithLeader = true;
        this.silentMemberCount = answer.silent ?? 0;
        this.leaderAnsweredAt = sentAt;
        const now = this.clock.now();
        if (answer.trueMs !== undefined) {
            this.fleetTimeOffsetMs = answer.trueMs - (sentAt + now) / 2;
        }
        if (answer.others !== undefined) {
            this.loads.setRelayedLoad(answer.others, now);
        }
        if (answer.roster !== undefined) {
            this.rosterTag = answer.roster.tag;
            this.roster = answer.roster.ingresses;
        }
        if (answer.permits !== undefined) {
            const { limits = {}, permits } = answer;
            for (const { endpoint, perSecond } of this.limits.applyAnswer({ limits, permits }, wanted, sentAt)) {
                this.log.info("endpoint.limit", { endpoint, perSecond: perSecond ?? "none", source: "leader" });
            }
        }
        if (answer.listAgeMs !== undefined) {
            const readAt = sentAt - answer.listAgeMs;
            if (answer.list !== undefined) {
                this.applyEndpointList(answer.list.endpoints, readAt, answer.list.readNumber);
            }
            else if (answer.listNumber === this.listNumber) {
                this.endpoints.confirm(readAt);
            }
        }
        for (const endpoint of this.endpoints.mergeLeaving(answer.leaving ?? [])) {
            this.log.info("endpoint.leaving", { endpoint, source: "leader" });
        }
    }

    /** Applies an endpoint list that was read at `readAt`; `number` is 0 for a list that this process read itself. */
    applyEndpointList(endpoints: readonly Endpoint[], readAt: number, number: number): void {
        if (number !== 0) {
            this.announcements.applyLeaderList(endpoints, this.clock.now());
        }
        if (this.endpoints.isNewerThan(readAt)) {
            if (number !== 0) {
                this.reapplyOwnList();
            }
            return;
        }
        const previous = this.endpoints.all;
        this.endpoints.update(number === 0 ? this.usableOf(endpoints, readAt) : endpoints, readAt);
        if (number !== 0) {
            this.ownList = undefined;
        }
        this.listNumber = number;
        this.limits.retain(this.endpoints.all);
        const startTimes = new Map(this.endpoints.all.map(endpoint => [endpoint.id, endpoint.startedAt]));
        for (const { id, startedAt } of previous) {
            if (!startTimes.has(id) || startTimes.get(id) !== startedAt) {
                this.loads.removeEndpoint(id);
                this.prefixMemory.removeEndpoint(id);
                this.health.removeEndpoint(id);
                this.hooks.onEndpointGone(id);
            }
        }
        this.onUpdate();
    }

    /** Uses the versions in the list that this process has read itself which have been withheld for long enough. */
    releaseVersions(): void {
        if (this.clock.now() >= (this.ownList?.moreUsableAt ?? Infinity)) {
            this.reapplyOwnList();
        }
    }

    /** Applies the list that this process has read itself again, of which more may be usable by now. */
    private reapplyOwnList(): void {
        if (this.ownList !== undefined) {
            this.applyEndpointList(this.ownList.endpoints, this.ownList.readAt, 0);
        }
    }

    /** Returns the endpoints of a list that this process has read itself which may be used by now. */
    private usableOf(endpoints: readonly Endpoint[], readAt: number): readonly Endpoint[] {
        const withheld = this.announcements.applyOwnList(endpoints, this.clock.now())
            .filter(({ service }) => hasResumableRoute(service, this.catalog));
        const moreUsableAt = Math.min(Infinity, ...withheld.map(({ usableFrom }) => usableFrom));
        if (moreUsableAt !== (this.ownList?.moreUsableAt ?? Infinity)) {
            withheld.forEach(({ service, version }) =>
                this.log.info("endpoints.version-withheld", { service, version })
            );
        }
        this.ownList = { endpoints, readAt, moreUsableAt };
        const isWithheld = (endpoint: Endpoint): boolean =>
            withheld.some(({ service, version }) => service === endpoint.service && version === versionOf(endpoint));
        return withheld.length === 0 ? endpoints : endpoints.filter(endpoint => !isWithheld(endpoint));
    }

    private applyVerdicts({ blockedParts, blockedTag }: SyncAnswer): void {
        if (blockedParts === undefined) {
            return;
        }
        this.blockedTag = blockedTag ?? 0;
        const changes = this.crashes?.applyBlocked(blockedParts);
        for (const key of changes?.added ?? []) {
            if (isRequestKey(key)) {
                this.log.warn("crashing-request.refused-from-now", { request: key });
            }
            else {
                this.log.warn("prompt-part.refused-from-now", { part: key });
            }
        }
        for (const key of changes?.ended ?? []) {
            if (isRequestKey(key)) {
                this.log.info("crashing-request.served-again", { request: key });
            }
            else {
                this.log.info("prompt-part.served-again", { part: key });
            }
        }
    }

    /** Applies what the leader knows of crashes; asks for an early sync if it lacks something that it wants to hear. */
    private applyCrashEvidence({ evidence, suspectedParts = {} }: SyncAnswer, reported: SyncRequest["crashes"]): void {
        const lacksReports = this.crashes?.acknowledge(evidence, reported, this.clock.now()) ?? false;
        const wantsAnswers = this.crashes?.applySuspects(suspectedParts) ?? false;
        if (lacksReports || wantsAnswers) {
            this.hooks.requestSync();
        }
    }

    private applyVersions(
        { evidence, singleVersionTag, singleVersion, singleVersions, keepsOriginLives }: SyncAnswer,
        reported: SyncRequest["origins"],
    ): void {
        this.leaderCollectsOrigins = singleVersionTag !== undefined;
        if (singleVersion !== undefined) {
            this.singleVersionTag = singleVersionTag ?? 0;
            const versions = ownRecord(singleVersions ?? {});
            this.origins.setSingleVersions(new Map(singleVersion.map(service => [service, versions[service]])));
        }
        if (this.leaderCollectsOrigins) {
            this.origins.acknowledge(evidence, reported, keepsOriginLives ?? false, this.clock.now());
        }
    }

    private applyCatalog(version: number, text: string, fromLeader: boolean): void {
        if (this.catalog !== undefined && version <= this.catalog.version) {
            return;
        }
        const decoded = this.codec.decode(text);
        if (decoded.isErr()) {
            if (version > this.unreadableVersion) {
                this.unreadableVersion = version;
                this.log.error("catalog.unreadable", { version, reason: decoded.error });
            }
            return;
        }
        this.catalog = decoded.value;
        this.routes = new RouteTable(decoded.value);
        this.workspaceKeys = new WorkspaceKeys(decoded.value);
        this.caps.setWorkspaces(decoded.value.workspaces);
        this.log.info("catalog.in-force", {
            version,
            routes: decoded.value.routes.length,
            workspaces: decoded.value.workspaces.length,
            source: fromLeader ? "leader" : "follower",
        });
    }
}
