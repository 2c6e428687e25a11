import type { LoadTracker } from "@lentilramp/dispatch";
import {
    type CapMeter,
    type ExchangeScope,
    type FreshCrashes,
    type IngressDescription,
    peersToFollow,
} from "@lentilramp/fleet";
import type { ProcessKey } from "@lentilramp/protocol";
import { type Clock, type EventLog, PeriodicComponent, safeParseLate } from "@lentilramp/runtime";
import { type ClientRequest, get, type IncomingMessage } from "node:http";
import { type ExchangeLine, exchangeLineSchema, exchangePath } from "./exchange-messages.ts";

/** Interval between checks of the feeds, in milliseconds; a lost feed is reopened at the next check. */
const checkIntervalMs = 250;
/** Silence after which a feed counts as lost, in milliseconds; four heartbeats. */
const feedTimeoutMs = 600;
/**
 * Time for which a peer whose feed timed out is not selected as a hub, in milliseconds; the roster removes a failed
 * peer earlier.
 */
const suspicionMs = 5_000;
/** Longest incomplete line that is buffered, in characters. */
const maxLineLength = 65_536;

/** Components of an ingress that receive the load and cap usage of the other ingresses. */
export interface ExchangeConsumers {
    loads: LoadTracker;
    caps: CapMeter;
    /** Called when a peer has reported a change of its own load. */
    onMemberChange: (name: string) => void;
    /** Takes what peers tell of crashes. */
    crashes?: FreshCrashes | undefined;
}

/** Subscribes to the feeds of the ingresses that the topology selects. */
export class ExchangeSubscriber extends PeriodicComponent {
    readonly name = "exchange-follower";
    private readonly feeds = new Map<string, FeedConnection>();
    /** Suspected peers with the instant at which the suspicion ends; replaced by a new map at each change. */
    private suspects: ReadonlyMap<string, number> = new Map();
    private lastRoster: readonly IngressDescription[] = [];
    private lastSuspects: ReadonlyMap<string, number> | undefined;
    private stopped = false;
    private targets: ReturnType<typeof peersToFollow> = [];

    constructor(
        private readonly ownName: string,
        private readonly consumers: ExchangeConsumers,
        private readonly roster: () => readonly IngressDescription[],
        private readonly key: ProcessKey,
        clock: Clock,
        private readonly log: EventLog,
    ) {
        super(clock, checkIntervalMs);
    }

    /**
     * Returns the number of ingresses whose load and cap usage are received in a scope, including this ingress and
     * excluding those in the feed of `excludedPeer`.
     */
    countCovered(scope: ExchangeScope, excludedPeer?: string): number {
        let covered = 1;
        for (const [name, feed] of this.feeds) {
            if (name !== excludedPeer && (scope === "fleet" || scope === "group" && feed.scope === "own")) {
                covered += feed.covered;
            }
        }
        return covered;
    }

    /** Peers whose feeds recently timed out or could not be opened. */
    get suspectedPeers(): string[] {
        return [...this.suspects.keys()];
    }

    /** Whether the feeds cover any other ingress. */
    get coversOthers(): boolean {
        return this.countCovered("fleet") > 1;
    }

    override async close(): Promise<void> {
        this.stopped = true;
        await super.close();
        for (const feed of this.feeds.values()) {
            feed.close();
        }
    }

    protected override async runOnce(): Promise<void> {
        const now = this.clock.now();
        if ([...this.suspects.values()].some(until => now >= until)) {
            this.suspects = new Map([...this.suspects].filter(([, until]) => now < until));
        }
        const targets = new Map(this.targetPeers().map(target => [target.peer.name, target]));
        for (const [name, feed] of this.feeds) {
            const target = targets.get(name);
            const silent = now - feed.lastDataAt > feedTimeoutMs;
            const { host, port } = target?.peer.inner ?? {};
            if (feed.closed || silent || feed.host !== host || feed.port !== port || feed.scope !== target?.scope) {
                // A feed that was open may have lost only its connection; a peer whose feed does not open is suspected.
                this.closeFeed(name, feed, target !== undefined && (silent || feed.lifetime === undefined), now);
            }
        }
        this.openMissing();
    }

    protected override onFailure(err: unknown): void {
        this.log.error("exchange.broken", { error: String(err) });
    }

    /** Returns the feeds of the topology, which is recomputed when the roster or the suspects have changed. */
    private targetPeers(): ReturnType<typeof peersToFollow> {
        const roster = this.roster();
        if (roster !== this.lastRoster || this.suspects !== this.lastSuspects) {
            this.lastRoster = roster;
            this.lastSuspects = this.suspects;
            this.targets = peersToFollow(this.ownName, roster, new Set(this.suspects.keys()));
        }
        return this.targets;
    }

    private openMissing(): void {
        for (const { peer, scope } of this.targetPeers()) {
            if (!this.feeds.has(peer.name)) {
                this.open(peer, scope);
            }
        }
    }

    private open({ name, inner }: IngressDescription, scope: ExchangeScope): void {
        const feed: FeedConnection = new FeedConnection(
            { ...inner, subscriberName: this.ownName, scope },
            this.key,
            this.clock,
            text => this.applyLine(name, feed, text),
            () => {
                // A feed that ended soon after it was opened is reopened only at the next check, not in a tight loop.
                const now = this.clock.now();
                if (!this.stopped && feed.lifetime !== undefined && now - feed.openedAt >= checkIntervalMs) {
                    this.closeFeed(name, feed, false, now);
                    this.openMissing();
                }
            },
        );
        this.feeds.set(name, feed);
    }

    private closeFeed(name: string, feed: FeedConnection, suspected: boolean, now: number): void {
        feed.close();
        this.feeds.delete(name);
        this.consumers.loads.removePeer(name);
        // An unreachable peer is retried at each check but logged once.
        const unreported = feed.lifetime !== undefined || suspected && !this.suspects.has(name);
        if (suspected) {
            this.suspects = new Map([...this.suspects, [name, now + suspicionMs]]);
        }
        if (unreported && (suspected || feed.closed)) {
            this.log.info("exchange.lost", {
                ingress: name,
                scope: feed.scope,
                suspected,
                reason: feed.closed ? feed.closeReason : "silent",
                silentMs: Math.round(now - feed.lastDataAt),
            });
        }
    }

    private applyLine(name: string, feed: FeedConnection, text: string): void {
        const line = parseLine(text);
        if (line === undefined || feed.lifetime === undefined && line.lifetime === undefined) {
            this.log.warn("exchange.unreadable", { ingress: name });
            feed.close("unreadable line");
            return;
        }
        const { loads, caps, crashes, onMemberChange } = this.consumers;
        const isFull = line.lifetime !== undefined;
        feed.lifetime = line.lifetime ?? feed.lifetime;
        feed.covered = line.covered;
        const isMember = feed.scope === "own";
        if (isFull || line.load !== undefined) {
            const load = Object.entries(line.load ?? {}).map(([id, [running, unreadTokens]]) =>
                [id, { running, unreadTokens }] as const
            );
            loads.applyPeerLoad(name, load, isFull, isMember);
        }
        if (isFull || line.used !== undefined) {
            caps.recordPeerUse(name, feed.lifetime ?? "", line.used ?? {}, feed.scope, this.clock.now());
        }
        line.lost?.forEach(news => crashes?.recordNews(news, this.clock.now()));
        if (isMember && line.load !== undefined) {
            onMemberChange(name);
        }
    }
}

function parseLine(text: string): ExchangeLine | undefined {
    try {
        return safeParseLate(exchangeLineSchema, JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}

interface FeedTarget {
    host: string;
    port: number;
    /** Name of the subscribing ingress. */
    subscriberName: string;
    scope: ExchangeScope;
}

/** The connection to the feed of one peer. */
class FeedConnection {
    closed = false;
    closeReason: string | undefined;
    readonly openedAt: number;
    lastDataAt: number;
    lifetime: string | undefined;
    /** Number of ingresses whose load and cap usage this feed contains. */
    covered = 0;
    readonly host: string;
    readonly port: number;
    readonly scope: ExchangeScope;
    private readonly req: ClientRequest;
    private partialLine = "";

    constructor(
        { host, port, subscriberName, scope }: FeedTarget,
        key: ProcessKey,
        private readonly clock: Clock,
        private readonly onLine: (line: string) => void,
        /** Called when the connection failed or the peer ended it, but not after `close`. */
        private readonly onEnd: () => void,
    ) {
        this.host = host;
        this.port = port;
        this.scope = scope;
        this.openedAt = clock.now();
        this.lastDataAt = this.openedAt;
        this.req = get({
            host,
            port,
            path: `${exchangePath}?${new URLSearchParams({ name: subscriberName, scope }).toString()}`,
            agent: false,
            headers: { authorization: key.authorization() },
        });
        this.req.on("error", (err: NodeJS.ErrnoException) => this.onConnectionEnd(err.code ?? err.message));
        this.req.on("response", res => this.readLines(res));
    }

    close(reason?: string): void {
        if (!this.closed) {
            this.closed = true;
            this.closeReason = reason;
            this.covered = 0;
            this.req.destroy();
        }
    }

    private onConnectionEnd(reason: string): void {
        if (!this.closed) {
            this.close(reason);
            this.onEnd();
        }
    }

    private readLines(res: IncomingMessage): void {
        if (res.statusCode !== 200) {
            this.close(`status ${res.statusCode}`);
            return;
        }
        res.on("error", (err: NodeJS.ErrnoException) => this.onConnectionEnd(err.code ?? err.message));
        res.on("close", () => this.onConnectionEnd("ended"));
        res.setEncoding("utf8").on("data", (text: string) => {
            this.lastDataAt = this.clock.now();
            const lines = text.split("\n");
            lines[0] = this.partialLine + (lines[0] ?? "");
            this.partialLine = lines.pop() ?? "";
            if (this.partialLine.length > maxLineLength) {
                this.close("line too long");
                return;
            }
            for (const line of lines) {
                if (!this.closed) {
                    this.onLine(line);
                }
            }
        });
    }
}
