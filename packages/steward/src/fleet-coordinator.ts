import type { EndpointLoad } from "@lentilramp/dispatch";
import {
    CapPool,
    CapShares,
    type CapTolerance,
    type Endpoint,
    EndpointDirectory,
    type EndpointList,
    type IngressDescription,
    Roster,
    type ServiceDemand,
    TrueTime,
    type UsageCounts,
    UsageWindows,
} from "@lentilramp/fleet";
import type { SyncAnswer, SyncRequest } from "@lentilramp/ingress";
import type { Clock } from "@lentilramp/runtime";
import murmurhash from "murmurhash";

/** Silence after which an ingress is left out of address lookups, in milliseconds; three syncs and a lost one. */
const silenceMs = 1_200;
/** Silence after which the floor share of an ingress is given to others, in milliseconds; it may have been cut off. */
const forgetMs = 30_000;

interface IngressState {
    load: SyncRequest["load"];
    demand: SyncRequest["demand"];
    elapsedMs: number;
    at: number;
}

/** What the leading steward gathers from the ingresses and tells each of them. */
export class FleetCoordinator {
    readonly roster = new Roster(silenceMs, forgetMs);
    readonly trueTime = new TrueTime();
    readonly usage: UsageWindows;
    readonly capPool: CapPool;
    private readonly shares = new CapShares();
    private readonly ingresses = new Map<string, IngressState>();
    private readonly directory = new EndpointDirectory();
    private list: EndpointList | undefined;
    private listText = "";

    constructor(private readonly clock: Clock, usageWindowMs: number, tolerance: CapTolerance) {
        this.capPool = new CapPool(tolerance, clock.now());
        this.usage = new UsageWindows(usageWindowMs);
    }

    get endpoints(): readonly Endpoint[] {
        return this.directory.all;
    }

    /** Age of the list of endpoints in milliseconds; Infinity before the first read. */
    get listAgeMs(): number {
        return this.directory.age(this.clock.now());
    }

    /** Takes a list that was read at `readAt`; `number` orders the lists of all leaders. */
    takeList(endpoints: readonly Endpoint[], readAt: number, number: number): boolean {
        const text = JSON.stringify(endpoints);
        const changed = text !== this.listText;
        this.directory.update(endpoints, readAt);
        if (changed || this.list === undefined) {
            this.listText = text;
            this.list = { readNumber: number, endpoints: [...endpoints] };
        }
        return changed;
    }

    /** Takes what an ingress says and answers with what it needs; `workspaces` are those that have a cap. */
    sync(req: SyncRequest, workspaces: readonly string[]): Omit<SyncAnswer, "leading" | "stewards" | "catalog"> {
        const now = this.clock.now();
        const { name } = req.ingress;
        this.roster.seen(req.ingress, now);
        this.trueTime.observe(name, req.wallMs, now);
        this.shares.observe(name, req.asked, req.elapsedMs);
        this.usage.observe(req.lifetime, req.usage as Record<string, UsageCounts>);
        this.ingresses.set(name, { load: req.load, demand: req.demand, elapsedMs: req.elapsedMs, at: now });
        const live = this.roster.live(now).map(description => description.name);
        const members = this.roster.members(now);
        const sendList = this.list !== undefined && req.listNumber !== this.list.readNumber;
        return {
            list: sendList ? this.list : undefined,
            listNumber: this.list?.readNumber,
            listAgeMs: this.list === undefined ? undefined : this.listAgeMs,
            shares: Object.fromEntries(
                workspaces.map(workspace => [workspace, this.shares.share(name, workspace, live, members)]),
            ),
            floorShare: CapShares.floor(members),
            others: this.othersOf(new Set([name, ...req.heardFrom]), live),
            roster: this.rosterFor(req.rosterTag),
            members,
            trueMs: this.trueTime.at(now),
        };
    }

    /** Demand on each engine service over all ingresses in contact. */
    demand(): Map<string, ServiceDemand> {
        const total = new Map<string, ServiceDemand>();
        const live = new Set(this.roster.live(this.clock.now()).map(description => description.name));
        for (const [name, state] of this.ingresses) {
            if (!live.has(name)) {
                this.ingresses.delete(name);
                this.shares.forget(name);
                continue;
            }
            for (const [service, { unreadTokens, placeMs }] of Object.entries(state.demand)) {
                const sum = total.get(service) ?? { prefillPerSecond: 0, places: 0 };
                sum.prefillPerSecond += unreadTokens * 1_000 / Math.max(1, state.elapsedMs);
                sum.places += placeMs / Math.max(1, state.elapsedMs);
                total.set(service, sum);
            }
        }
        return total;
    }

    /** Takes the roster of the leader, so that this steward can answer lookups and lead later. */
    takeRoster(descriptions: readonly IngressDescription[]): void {
        const now = this.clock.now();
        for (const description of descriptions) {
            this.roster.seen(description, now);
        }
    }

    private othersOf(known: ReadonlySet<string>, live: readonly string[]): Record<string, EndpointLoad> {
        const others: Record<string, EndpointLoad> = {};
        for (const name of live) {
            const state = known.has(name) ? undefined : this.ingresses.get(name);
            for (const [endpoint, load] of Object.entries(state?.load ?? {})) {
                const sum = others[endpoint] ??= { running: 0, unreadTokens: 0 };
                sum.running += load.running;
                sum.unreadTokens += load.unreadTokens;
            }
        }
        return others;
    }

    private rosterFor(tag: number): SyncAnswer["roster"] {
        const ingresses = this.roster.live(this.clock.now());
        const present = murmurhash.v3(JSON.stringify(ingresses));
        return present === tag ? undefined : { tag: present, ingresses };
    }
}
