import type { EndpointLoad, LoadTracker } from "@lentilramp/dispatch";
import type { CapMeter, ExchangeScope } from "@lentilramp/fleet";
import { type HttpServer, type ProcessKey, sendJson } from "@lentilramp/protocol";
import { type Clock, Component, type Timer } from "@lentilramp/runtime";
import type { ServerResponse } from "node:http";
import {
    changedLoad,
    changedUsage,
    type ExchangeLine,
    exchangePath,
    exchangeScopeSchema,
} from "./exchange-messages.ts";

/** Least time between two lines to a follower, in milliseconds. */
const minGapMs = 20;
/** Added to the gap for each follower, in milliseconds, so that the cost of a hub stays flat as its group grows. */
const gapPerFollowerMs = 1;
/** Gap for a follower that has had no requests of its own lately, in milliseconds. */
const idleGapMs = 200;
/** Time since its last change for which a follower counts as busy, in milliseconds. */
const busyMs = 1_500;
/** Without changes a line is sent this often, in milliseconds; followers take a longer silence for a lost feed. */
const heartbeatMs = 150;
/** Bytes that a follower may leave unread before it is dropped; a whole line of 50 endpoints has 2 kB. */
const maxUnreadBytes = 32_768;

interface Follower {
    name: string;
    scope: ExchangeScope;
    res: ServerResponse;
    load: ReadonlyMap<string, EndpointLoad>;
    used: ReadonlyMap<string, number>;
    lastAt: number;
    /** Number of the last change that it was told of. */
    change: number;
}

/** Tells other ingresses of each change of load and use that this one knows, at once but not too often. */
export class ExchangeFeed extends Component {
    readonly name = "exchange-feed";
    private readonly followers = new Set<Follower>();
    private readonly busyUntil = new Map<string, number>();
    private timer: Timer | undefined;
    /** Instant of the next look; Infinity when none is due. */
    private due = Infinity;
    private closed = false;
    /** Number of the last change of what is told. */
    private change = 0;

    constructor(
        private readonly board: LoadTracker,
        private readonly caps: CapMeter,
        private readonly lifetime: string,
        /** Ingresses whose load and use a follower is told of. */
        private readonly covered: (scope: ExchangeScope, follower: string) => number,
        private readonly clock: Clock,
    ) {
        super();
        board.onChange(() => {
            this.change++;
            this.scheduleNext();
        });
    }

    /** Serves the feed to those that know the process key. */
    attach(http: HttpServer, key: ProcessKey): void {
        http.route("GET", exchangePath, async (req, res) => {
            req.resume();
            if (!key.matches(req.headers.authorization)) {
                res.writeHead(401).end();
                return;
            }
            if (this.closed) {
                sendJson(res, 503, { error: "this process stops" });
                return;
            }
            const query = new URL(req.url ?? "/", "http://localhost").searchParams;
            const scope = exchangeScopeSchema.safeParse(query.get("scope"));
            const name = query.get("name") ?? "";
            if (!scope.success || name === "") {
                sendJson(res, 400, { error: "a follower states its name and a scope" });
                return;
            }
            res.writeHead(200, { "content-type": "application/x-ndjson" });
            this.follow({
                name,
                scope: scope.data,
                res,
                load: new Map(),
                used: new Map(),
                lastAt: -Infinity,
                change: -1,
            });
        });
    }

    /** Notes that a follower has told a change of its own load: it decides on what it is told. */
    markBusy(name: string): void {
        this.busyUntil.set(name, this.clock.now() + busyMs);
    }

    override async drain(): Promise<void> {
        this.stop();
    }

    override async close(): Promise<void> {
        this.stop();
    }

    private follow(follower: Follower): void {
        const drop = (): void => {
            this.followers.delete(follower);
        };
        follower.res.on("error", drop);
        follower.res.on("close", drop);
        this.followers.add(follower);
        this.tell(follower, this.clock.now(), this.lifetime);
        this.scheduleNext();
    }

    private stop(): void {
        this.closed = true;
        this.timer?.cancel();
        for (const { res } of this.followers) {
            res.end();
        }
        this.followers.clear();
    }

    private scheduleNext(): void {
        if (this.closed || this.followers.size === 0) {
            return;
        }
        const busyGapMs = this.busyGap();
        if (this.due <= this.clock.now() + busyGapMs) {
            return;
        }
        let next = Infinity;
        for (const follower of this.followers) {
            next = Math.min(next, this.dueOf(follower, busyGapMs));
        }
        if (next < this.due) {
            this.timer?.cancel();
            this.due = next;
            this.timer = this.clock.schedule(next, () => this.look());
        }
    }

    /** Tells those whose time has come. */
    private look(): void {
        this.due = Infinity;
        const now = this.clock.now();
        const busyGapMs = this.busyGap();
        for (const follower of this.followers) {
            if (now >= this.dueOf(follower, busyGapMs)) {
                this.tell(follower, now);
            }
        }
        this.scheduleNext();
    }

    private busyGap(): number {
        return minGapMs + gapPerFollowerMs * this.followers.size;
    }

    private dueOf({ name, scope, lastAt, change }: Follower, busyGapMs: number): number {
        if (change === this.change) {
            return lastAt + heartbeatMs;
        }
        const idle = scope === "fleet" && this.clock.now() >= (this.busyUntil.get(name) ?? 0);
        return lastAt + (idle ? Math.max(idleGapMs, busyGapMs) : busyGapMs);
    }

    private tell(follower: Follower, now: number, lifetime?: string): void {
        if (follower.res.writableLength > maxUnreadBytes) {
            follower.res.destroy();
            return;
        }
        const load = this.loadFor(follower);
        const used = this.useFor(follower);
        const line: ExchangeLine = {
            lifetime,
            covered: this.covered(follower.scope, follower.name),
            load: changedLoad(follower.load, load),
            used: changedUsage(follower.used, used),
        };
        follower.change = this.change;
        if (line.load === undefined && line.used === undefined && now < follower.lastAt + heartbeatMs) {
            // The change does not concern what this follower is told.
            return;
        }
        follower.load = load;
        follower.used = used;
        follower.lastAt = now;
        follower.res.write(`${JSON.stringify(line)}\n`);
    }

    private loadFor({ name, scope }: Follower): Map<string, EndpointLoad> {
        switch (scope) {
            case "own":
                return this.board.localLoad();
            case "group":
                return this.board.groupLoad();
            case "fleet":
                return this.board.fleetLoadExcluding(name);
        }
    }

    private useFor({ name, scope }: Follower): Map<string, number> {
        const { totals } = this.caps;
        switch (scope) {
            case "own":
                return new Map(totals.localTotals());
            case "group":
                return totals.groupTotals();
            case "fleet":
                return totals.fleetTotalsExcluding(name);
        }
    }
}
