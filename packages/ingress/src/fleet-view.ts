import { type Catalog, type CatalogCodec, RouteTable, WorkspaceKeys } from "@lentilramp/catalog";
import { EndpointHealth, LoadBoard, PrefixMemory } from "@lentilramp/dispatch";
import {
    CapMeter,
    type CapTolerance,
    EndpointDirectory,
    type IngressDescription,
    UsageLedger,
} from "@lentilramp/fleet";
import type { Clock, EventLog } from "@lentilramp/runtime";
import type { SyncAnswer } from "./fleet-messages.ts";

/** Time for which a share of a cap stays valid after the sync that gave it, in milliseconds; four syncs. */
const shareLifetimeMs = 1_000;

/** Everything that this ingress believes about the fleet. */
export class FleetView {
    catalog: Catalog | undefined;
    routes: RouteTable | undefined;
    keys: WorkspaceKeys | undefined;
    readonly endpoints = new EndpointDirectory();
    readonly board = new LoadBoard();
    readonly health = new EndpointHealth();
    readonly memory = new PrefixMemory();
    readonly caps: CapMeter;
    readonly usage: UsageLedger;
    listNumber = 0;
    /** The ingresses in contact with the leading steward, this one included. */
    roster: readonly IngressDescription[] = [];
    rosterTag = 0;
    private synced = false;
    /** Ingresses that may be at work, this one included. */
    members = 1;
    private trueOffset: number | undefined;

    constructor(
        private readonly codec: CatalogCodec,
        private readonly clock: Clock,
        private readonly log: EventLog,
        usageWindowMs: number,
        tolerance: CapTolerance,
        private readonly onEndpointGone: (id: string) => void,
    ) {
        this.usage = new UsageLedger(usageWindowMs);
        this.caps = new CapMeter(tolerance);
    }

    /** Time of day by the fleet's clocks; by the own clock before the first sync. */
    trueTime(): number {
        return this.clock.now() + (this.trueOffset ?? Date.now() - this.clock.now());
    }

    /** Whether requests can be served: routes, endpoints and a part of the caps are known. */
    get ready(): boolean {
        return this.catalog !== undefined && this.endpoints.all.length > 0
            && (this.synced || this.caps.knowsAny
                || this.catalog.workspaces.every(({ capPerSecond }) => capPerSecond <= 0));
    }

    /** Takes an answer to a sync that was sent at `sentAt`. */
    apply(answer: SyncAnswer, sentAt: number): void {
        if (answer.catalog !== undefined) {
            this.applyCatalog(answer.catalog.version, answer.catalog.text);
        }
        if (!answer.leading) {
            // The count that was last recorded; a leader's own, when there is one, is newer.
            if (!this.synced && answer.members > 0) {
                this.members = answer.members;
            }
            if (answer.floorShare > 0) {
                this.caps.offerFloor(answer.cappedWorkspaces ?? [], answer.floorShare);
            }
            return;
        }
        this.synced = true;
        const now = this.clock.now();
        this.members = Math.max(1, answer.members);
        if (answer.trueMs !== undefined) {
            this.trueOffset = answer.trueMs - (sentAt + now) / 2;
        }
        this.board.setOthers(answer.others, now);
        if (answer.roster !== undefined) {
            this.rosterTag = answer.roster.tag;
            this.roster = answer.roster.ingresses;
        }
        for (const [workspace, share] of Object.entries(answer.shares)) {
            this.caps.setShare(workspace, { share, floor: answer.floorShare, expiresAt: sentAt + shareLifetimeMs });
        }
        if (answer.listAgeMs !== undefined) {
            const readAt = sentAt - answer.listAgeMs;
            if (answer.list !== undefined) {
                this.applyList(answer.list.endpoints, readAt, answer.list.readNumber);
            }
            else if (answer.listNumber === this.listNumber) {
                this.endpoints.confirm(readAt);
            }
        }
    }

    /** Takes a list of endpoints that was read at `readAt`; `number` is 0 for one that this process read itself. */
    applyList(endpoints: Parameters<EndpointDirectory["update"]>[0], readAt: number, number: number): void {
        const before = this.endpoints.all;
        this.endpoints.update(endpoints, readAt);
        this.listNumber = number;
        const held = new Set(this.endpoints.all.map(endpoint => endpoint.id));
        for (const { id } of before) {
            if (!held.has(id)) {
                this.board.forget(id);
                this.memory.forget(id);
                this.health.forget(id);
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
        this.keys = new WorkspaceKeys(decoded.value);
        this.log.info("catalog.in-force", {
            version,
            routes: decoded.value.routes.length,
            workspaces: decoded.value.workspaces.length,
        });
    }
}
