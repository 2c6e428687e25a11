import { type Catalog, type CatalogCodec, RouteTable, WorkspaceKeys } from "@lentilramp/catalog";
import type { EndpointHealth, LoadTracker, PrefixCacheIndex } from "@lentilramp/dispatch";
import {
    CapMeter,
    type CapTolerance,
    EndpointDirectory,
    type IngressDescription,
    UsageLedger,
} from "@lentilramp/fleet";
import type { Clock, EventLog } from "@lentilramp/runtime";
import type { SyncAnswer } from "./fleet-messages.ts";
import type { IngressComponentFactory } from "./ingress-policy.ts";

/** Everything that this ingress believes about the fleet. */
export class FleetView {
    catalog: Catalog | undefined;
    routes: RouteTable | undefined;
    workspaceKeys: WorkspaceKeys | undefined;
    readonly endpoints = new EndpointDirectory();
    readonly loads: LoadTracker;
    readonly health: EndpointHealth;
    readonly prefixMemory: PrefixCacheIndex;
    readonly caps: CapMeter;
    readonly usage: UsageLedger;
    /** How fast the engines of each service read prompts, as the fleet has measured it, in tokens for a millisecond. */
    engineRates: Readonly<Record<string, number>> = {};
    listNumber = 0;
    /** The ingresses in contact with the leading steward, this one included. */
    roster: readonly IngressDescription[] = [];
    rosterTag = 0;
    private synced = false;
    /** Ingresses that may be at work, this one included; 0 before any steward has said so. */
    reportedMemberCount = 0;
    private trueOffset: number | undefined;
    private silentMembers = 0;
    private answeredAt = -Infinity;

    constructor(
        private readonly codec: CatalogCodec,
        private readonly clock: Clock,
        private readonly log: EventLog,
        usageWindowMs: number,
        tolerance: CapTolerance,
        private readonly onEndpointGone: (id: string) => void,
        parts: IngressComponentFactory,
        /** Ingresses of which the use of caps is known here, this one included. */
        private readonly covered: () => number = () => 1,
    ) {
        this.loads = parts.createLoadTracker();
        this.health = parts.createEndpointHealth();
        this.prefixMemory = parts.createPrefixMemory();
        this.usage = new UsageLedger(usageWindowMs);
        this.caps = new CapMeter(
            tolerance,
            () => ({
                coveredMembers: this.covered(),
                members: this.reportedMemberCount,
                silentMembers: this.silentMembers,
                leaderAnsweredAt: this.answeredAt,
            }),
            clock.now(),
        );
    }

    /** Time of day by the fleet's clocks; by the own clock before the first sync. */
    fleetTime(): number {
        return this.clock.now() + (this.trueOffset ?? Date.now() - this.clock.now());
    }

    /** Ingresses that may be at work, this one included; 1 while the number is not known. */
    get memberCount(): number {
        return Math.max(1, this.reportedMemberCount);
    }

    /** Whether requests can be served: routes, endpoints and a part of the caps are known. */
    get ready(): boolean {
        return this.catalog !== undefined && this.endpoints.all.length > 0
            && (this.caps.fleetSizeKnown || this.catalog.workspaces.every(({ capPerSecond }) => capPerSecond <= 0));
    }

    /** Takes an answer to a sync that was sent at `sentAt`. */
    applySyncAnswer(answer: SyncAnswer, sentAt: number): void {
        if (answer.catalog !== undefined) {
            this.applyCatalog(answer.catalog.version, answer.catalog.text);
        }
        // The count that was last recorded; a leader's own, when there is one, is newer.
        if (answer.members > 0 && (answer.leading || !this.synced)) {
            this.reportedMemberCount = answer.members;
        }
        this.engineRates = answer.engineRates ?? this.engineRates;
        if (!answer.leading) {
            return;
        }
        this.synced = true;
        this.silentMembers = answer.silent ?? 0;
        this.answeredAt = sentAt;
        const now = this.clock.now();
        if (answer.trueMs !== undefined) {
            this.trueOffset = answer.trueMs - (sentAt + now) / 2;
        }
        if (answer.others !== undefined) {
            this.loads.setRelayedLoad(answer.others, now);
        }
        if (answer.roster !== undefined) {
            this.rosterTag = answer.roster.tag;
            this.roster = answer.roster.ingresses;
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
    }

    /** Takes a list of endpoints that was read at `readAt`; `number` is 0 for one that this process read itself. */
    applyEndpointList(endpoints: Parameters<EndpointDirectory["update"]>[0], readAt: number, number: number): void {
        const before = this.endpoints.all;
        this.endpoints.update(endpoints, readAt);
        this.listNumber = number;
        const held = new Map(this.endpoints.all.map(endpoint => [endpoint.id, endpoint.startedAt]));
        for (const { id, startedAt } of before) {
            if (!held.has(id) || held.get(id) !== startedAt) {
                this.loads.removeEndpoint(id);
                this.prefixMemory.removeEndpoint(id);
                this.health.removeEndpoint(id);
                this.onEndpointGone(id);
            }
        }
    }

    private applyCatalog(version: number, text: string): void {
        if (this.catalog !== undefined && version <= this.catalog.version) {
            return;
        }
        const decoded = this.codec.decode(text);
        if (decoded.isErr()) {
            this.log.error("catalog.unreadable", { version, reason: decoded.error });
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
        });
    }
}
