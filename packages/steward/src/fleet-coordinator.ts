import type { EndpointLoad } from "@lentilramp/dispatch";
import {
    capReleaseDelayMs,
    type Endpoint,
    EndpointDirectory,
    type EndpointList,
    type IngressDescription,
    MedianClock,
    noDemand,
    Roster,
    type ServiceDemand,
    suspectedSyncTimeoutMs,
    syncTimeoutMs,
    type UsageCounts,
    UsageWindows,
} from "@lentilramp/fleet";
import type { SyncAnswer, SyncRequest } from "@lentilramp/ingress";
import type { Clock } from "@lentilramp/runtime";
import murmurhash from "murmurhash";

/** Age up to which what was worked out over all ingresses is used again, in milliseconds. */
const overviewMs = 100;
/** Silence after which the floor share of an ingress is given to others, in milliseconds; it may have been cut off. */
const forgetMs = 30_000;

/** What is the same in every answer; worked out once for many syncs. */
interface Overview {
    at: number;
    live: readonly IngressDescription[];
    /** Of `live`. */
    rosterTag: number;
    members: number;
    silent: number;
    /** Load over all ingresses in contact. */
    load: ReadonlyMap<string, EndpointLoad>;
}

interface IngressState {
    load: SyncRequest["load"];
    demand: SyncRequest["demand"];
    elapsedMs: number;
}

/** What the leading steward gathers from the ingresses and tells each of them. */
export class FleetCoordinator {
    readonly roster = new Roster(syncTimeoutMs, suspectedSyncTimeoutMs, forgetMs);
    readonly medianClock = new MedianClock();
    readonly usageWindows: UsageWindows;
    private readonly ingresses = new Map<string, IngressState>();
    private readonly directory = new EndpointDirectory();
    private list: EndpointList | undefined;
    private listText = "";
    private held: Overview | undefined;

    constructor(private readonly clock: Clock, usageWindowMs: number) {
        this.usageWindows = new UsageWindows(usageWindowMs);
    }

    get endpoints(): readonly Endpoint[] {
        return this.directory.all;
    }

    /** Age of the list of endpoints in milliseconds; Infinity before the first read. */
    get listAgeMs(): number {
        return this.directory.ageMs(this.clock.now());
    }

    /** Takes a list that was read at `readAt`; `number` orders the lists of all leaders. */
    updateEndpointList(endpoints: readonly Endpoint[], readAt: number, number: number): boolean {
        const text = JSON.stringify(endpoints);
        const changed = text !== this.listText;
        this.directory.update(endpoints, readAt);
        if (changed || this.list === undefined) {
            this.listText = text;
            this.list = { readNumber: number, endpoints: [...endpoints] };
        }
        return changed;
    }

    /** Takes what an ingress says and answers with what it needs. */
    sync(req: SyncRequest): Omit<SyncAnswer, "leading" | "stewards" | "catalog"> {
        const now = this.clock.now();
        const { name } = req.ingress;
        this.roster.recordContact(req.ingress, now);
        for (const suspect of req.suspects) {
            this.roster.suspect(suspect, now);
        }
        this.medianClock.observe(name, req.wallMs, now);
        this.usageWindows.replaceCounts(req.lifetime, req.usage as Record<string, UsageCounts>);
        this.ingresses.set(name, { load: req.load, demand: req.demand, elapsedMs: req.elapsedMs });
        const overview = this.overview(now);
        const sendList = this.list !== undefined && req.listNumber !== this.list.readNumber;
        return {
            list: sendList ? this.list : undefined,
            listNumber: this.list?.readNumber,
            listAgeMs: this.list === undefined ? undefined : this.listAgeMs,
            others: req.followsOthers ? undefined : without(overview.load, req.load),
            roster: overview.rosterTag === req.rosterTag
                ? undefined
                : { tag: overview.rosterTag, ingresses: [...overview.live] },
            members: overview.members,
            silent: overview.silent,
            trueMs: this.medianClock.timeOfDayMs(now),
        };
    }

    /** The ingresses in contact, for the other stewards; undefined when the asker holds the same. */
    rosterIfChanged(tag: number): SyncAnswer["roster"] {
        const { rosterTag, live } = this.overview(this.clock.now());
        return rosterTag === tag ? undefined : { tag: rosterTag, ingresses: [...live] };
    }

    /** Demand on each engine service over all ingresses in contact. */
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

    /** How fast the engines of a service read prompts: the middle of what the ingresses have measured, if any has. */
    medianPrefillTokensPerMs(service: string): number | undefined {
        const rates = [...this.ingresses.values()].flatMap(({ demand }) => demand[service]?.prefillTokensPerMs ?? [])
            .sort((a, b) => a - b);
        return rates[Math.floor(rates.length / 2)];
    }

    /** Takes the roster of the leader, so that this steward can answer lookups and lead later. */
    mergeLeaderRoster(descriptions: readonly IngressDescription[]): void {
        const now = this.clock.now();
        for (const description of descriptions) {
            this.roster.recordContact(description, now);
        }
        this.roster.suspectAllExcept(new Set(descriptions.map(({ name }) => name)), now);
    }

    private overview(now: number): Overview {
        if (this.held !== undefined && now - this.held.at < overviewMs) {
            return this.held;
        }
        const live = this.roster.live(now);
        const same = this.held?.live.length === live.length
            && live.every((description, i) => description === this.held?.live[i]);
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
        const members = this.roster.countMembers(now);
        this.held = {
            at: now,
            live,
            rosterTag: same && this.held !== undefined ? this.held.rosterTag : murmurhash.v3(JSON.stringify(live)),
            members,
            silent: this.roster.countSilent(now, capReleaseDelayMs(members)),
            load,
        };
        return this.held;
    }
}

/** Load of all but the one that has `own`. */
function without(
    load: ReadonlyMap<string, EndpointLoad>,
    own: Readonly<Record<string, EndpointLoad>>,
): Record<string, EndpointLoad> {
    const others: Record<string, EndpointLoad> = {};
    for (const [endpoint, { running, unreadTokens }] of load) {
        others[endpoint] = {
            running: Math.max(0, running - (own[endpoint]?.running ?? 0)),
            unreadTokens: Math.max(0, unreadTokens - (own[endpoint]?.unreadTokens ?? 0)),
        };
    }
    return others;
}
