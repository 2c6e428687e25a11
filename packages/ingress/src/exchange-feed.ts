import type { EndpointLoad, LoadTracker } from "@lentilramp/dispatch";
import { type CapMeter, type ExchangeScope, FeedPace, type FreshCrashes } from "@lentilramp/fleet";
import { type HttpServer, markAsCall, type ProcessKey, sendJson } from "@lentilramp/protocol";
import { type Clock, Component, type Timer } from "@lentilramp/runtime";
import type { ServerResponse } from "node:http";
import {
    changedLoad,
    changedUsage,
    type ExchangeLine,
    exchangePath,
    exchangeScopeSchema,
} from "./exchange-messages.ts";

/** Minimum time between two lines to a subscriber, in milliseconds. */
const minGapMs = 20;
/** Added to the gap for each subscriber, in milliseconds, so that a hub's cost stays constant as its group grows. */
const gapPerSubscriberMs = 1;
/** Gap for a subscriber whose ingress has had no recent requests, in milliseconds. */
const idleGapMs = 200;
/** Time after its last reported change of load for which a subscriber counts as busy, in milliseconds. */
const busyPeriodMs = 1_500;
/** Interval of heartbeat lines without changes, in milliseconds; subscribers time out after a longer silence. */
const heartbeatMs = 150;
/** Unsent bytes at which a slow subscriber is disconnected; a full line with 50 endpoints has 2 kB. */
const maxBufferedBytes = 32_768;

interface Subscriber {
    name: string;
    scope: ExchangeScope;
    res: ServerResponse;
    sentLoad: ReadonlyMap<string, EndpointLoad>;
    sentUsage: ReadonlyMap<string, number>;
    lastSentAt: number;
    /** Number of the last change of load that has been processed for the subscriber. */
    sentChange: number;
    /** Number of the last lost request that the subscriber has been told of. */
    toldLost: number;
}

/**
 * Publishes changes of load and cap usage, both of this ingress and received from others, to subscribed ingresses. A
 * change is sent at once unless the last line to the subscriber is too recent.
 */
export class ExchangeFeed extends Component {
    readonly name = "exchange-feed";
    private readonly subscribers = new Set<Subscriber>();
    private readonly busyUntil = new Map<string, number>();
    private timer: Timer | undefined;
    /** Instant at which the next line is due; Infinity when no send is scheduled. */
    private nextSendAt = Infinity;
    private readonly pace = new FeedPace(minGapMs, gapPerSubscriberMs, heartbeatMs);
    private closed = false;
    /** Number of the last change of load; a change of cap usage alone does not advance it. */
    private lastChange = 0;

    constructor(
        private readonly loads: LoadTracker,
        private readonly caps: CapMeter,
        private readonly lifetime: string,
        /** Returns the number of ingresses whose load and cap usage a subscriber receives. */
        private readonly countCovered: (scope: ExchangeScope, subscriber: string) => number,
        private readonly clock: Clock,
        /** Crashes of which the subscribers that follow this ingress itself are told. */
        private readonly crashes?: FreshCrashes,
    ) {
        super();
        const onChange = (): void => {
            this.lastChange++;
            this.scheduleNext();
        };
        loads.onChange(onChange);
        crashes?.onNews(onChange);
    }

    /** Serves the feed to subscribers that authenticate with the process key. */
    attach(http: HttpServer, key: ProcessKey): void {
        http.route("GET", exchangePath, async (req, res) => {
            req.resume();
            if (!key.matches(req.headers.authorization)) {
                res.writeHead(401).end();
                return;
            }
            markAsCall(req);
            if (this.closed) {
                sendJson(res, 503, { error: "this process is shutting down" });
                return;
            }
            const query = new URL(req.url ?? "/", "http://localhost").searchParams;
            const scope = exchangeScopeSchema.safeParse(query.get("scope"));
            const name = query.get("name") ?? "";
            if (!scope.success || name === "") {
                sendJson(res, 400, { error: "the query must contain a name and a valid scope" });
                return;
            }
            res.writeHead(200, { "content-type": "application/x-ndjson" });
            this.subscribe({
                name,
                scope: scope.data,
                res,
                sentLoad: new Map(),
                sentUsage: new Map(),
                lastSentAt: -Infinity,
                sentChange: -1,
                toldLost: 0,
            });
        });
    }

    /**
     * Marks a subscriber as busy after it has reported a change of its load: it dispatches requests and needs current
     * load.
     */
    markBusy(name: string): void {
        this.busyUntil.set(name, this.clock.now() + busyPeriodMs);
    }

    override async drain(): Promise<void> {
        this.stop();
    }

    override async close(): Promise<void> {
        this.stop();
    }

    private subscribe(subscriber: Subscriber): void {
        const remove = (): void => {
            this.subscribers.delete(subscriber);
        };
        subscriber.res.on("error", remove);
        subscriber.res.on("close", remove);
        this.subscribers.add(subscriber);
        this.sendLine(subscriber, this.clock.now(), this.lifetime);
        this.scheduleNext();
    }

    private stop(): void {
        this.closed = true;
        this.timer?.cancel();
        for (const { res } of this.subscribers) {
            res.end();
        }
        this.subscribers.clear();
    }

    private scheduleNext(): void {
        if (this.closed || this.subscribers.size === 0) {
            return;
        }
        const busyGapMs = this.busyGap();
        if (this.nextSendAt <= this.clock.now() + busyGapMs) {
            return;
        }
        let next = Infinity;
        for (const subscriber of this.subscribers) {
            next = Math.min(next, this.nextSendOf(subscriber, busyGapMs));
        }
        if (next < this.nextSendAt) {
            this.timer?.cancel();
            this.nextSendAt = next;
            this.timer = this.clock.schedule(next, () => this.sendDueLines());
        }
    }

    /** Sends a line to each subscriber for which one is due. */
    private sendDueLines(): void {
        this.nextSendAt = Infinity;
        const now = this.clock.now();
        let lines = 0;
        const busyGapMs = this.busyGap();
        for (const subscriber of this.subscribers) {
            if (now >= this.nextSendOf(subscriber, busyGapMs)) {
                this.sendLine(subscriber, now);
                lines++;
            }
        }
        this.pace.recordLines(lines, this.clock.now() - now);
        this.scheduleNext();
    }

    private busyGap(): number {
        return this.pace.gapMs(this.subscribers.size);
    }

    private nextSendOf({ name, scope, lastSentAt, sentChange }: Subscriber, busyGapMs: number): number {
        if (sentChange === this.lastChange) {
            return lastSentAt + heartbeatMs;
        }
        const idle = scope === "fleet" && this.clock.now() >= (this.busyUntil.get(name) ?? 0);
        return lastSentAt + (idle ? Math.max(idleGapMs, busyGapMs) : busyGapMs);
    }

    private sendLine(subscriber: Subscriber, now: number, lifetime?: string): void {
        if (subscriber.res.writableLength > maxBufferedBytes) {
            subscriber.res.destroy();
            return;
        }
        const load = this.currentLoad(subscriber);
        const used = this.currentUsage(subscriber);
        const line: ExchangeLine = {
            lifetime,
            covered: this.countCovered(subscriber.scope, subscriber.name),
            load: changedLoad(subscriber.sentLoad, load),
            used: changedUsage(subscriber.sentUsage, used),
            lost: this.newsOfCrashes(subscriber, now),
        };
        subscriber.sentChange = this.lastChange;
        const isUnchanged = line.load === undefined && line.used === undefined && line.lost === undefined;
        if (isUnchanged && now < subscriber.lastSentAt + heartbeatMs) {
            // The change is outside the scope of this subscriber.
            return;
        }
        subscriber.sentLoad = load;
        subscriber.sentUsage = used;
        subscriber.lastSentAt = now;
        subscriber.res.write(`${JSON.stringify(line)}\n`);
    }

    private newsOfCrashes(subscriber: Subscriber, now: number): ExchangeLine["lost"] {
        if (this.crashes === undefined || subscriber.scope !== "own") {
            return undefined;
        }
        const news = this.crashes.newsAfter(subscriber.toldLost, now);
        subscriber.toldLost = this.crashes.lastNumber;
        return news.length === 0 ? undefined : news;
    }

    private currentLoad({ name, scope }: Subscriber): Map<string, EndpointLoad> {
        switch (scope) {
            case "own":
                return this.loads.localLoad();
            case "group":
                return this.loads.groupLoad();
            case "fleet":
                return this.loads.fleetLoadExcluding(name);
        }
    }

    private currentUsage({ name, scope }: Subscriber): Map<string, number> {
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
