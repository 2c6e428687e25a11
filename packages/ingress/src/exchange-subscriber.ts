import type { LoadTracker } from "@lentilramp/dispatch";
import { type CapMeter, type ExchangeScope, type IngressDescription, peersToFollow } from "@lentilramp/fleet";
import type { ProcessKey } from "@lentilramp/protocol";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";
import { type ClientRequest, get, type IncomingMessage } from "node:http";
import { type ExchangeLine, exchangeLineSchema, exchangePath } from "./exchange-messages.ts";

/** The feeds are looked at this often, in milliseconds; a lost one is opened again at the next look. */
const lookMs = 250;
/** Silence after which a feed is taken for lost, in milliseconds; four heartbeats. */
const silenceMs = 600;
/** Time for which a peer that fell silent is not made a hub, in milliseconds; the roster drops a lost one before. */
const suspectMs = 5_000;
/** Largest part of a line that is kept, in characters. */
const maxLineLength = 65_536;

/** Parts of an ingress that learn from the others. */
export interface ExchangeConsumers {
    loads: LoadTracker;
    caps: CapMeter;
    /** Called when a peer that speaks for itself has told a change. */
    onMemberChange: (name: string) => void;
}

/** Follows the feeds of the ingresses that the topology names. */
export class ExchangeSubscriber extends PeriodicComponent {
    readonly name = "exchange-follower";
    private readonly feeds = new Map<string, FollowedFeed>();
    /** Peers that fell silent, until when; replaced at each change. */
    private suspects: ReadonlyMap<string, number> = new Map();
    private seenRoster: readonly IngressDescription[] = [];
    private seenSuspects: ReadonlyMap<string, number> | undefined;
    private stopped = false;
    private followed: ReturnType<typeof peersToFollow> = [];

    constructor(
        private readonly own: string,
        private readonly listeners: ExchangeConsumers,
        private readonly roster: () => readonly IngressDescription[],
        private readonly key: ProcessKey,
        clock: Clock,
        private readonly log: EventLog,
    ) {
        super(clock, lookMs);
    }

    /** Ingresses of which the load and use are known here within a scope, this one included and `asker` left out. */
    countCovered(scope: ExchangeScope, asker?: string): number {
        let covered = 1;
        for (const [name, feed] of this.feeds) {
            if (name !== asker && (scope === "fleet" || scope === "group" && feed.scope === "own")) {
                covered += feed.covered;
            }
        }
        return covered;
    }

    /** Peers that fell silent or could not be reached lately. */
    get suspectedPeers(): string[] {
        return [...this.suspects.keys()];
    }

    /** Whether any other ingress is heard. */
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
        const wanted = new Map(this.peers().map(followed => [followed.peer.name, followed]));
        for (const [name, feed] of this.feeds) {
            const next = wanted.get(name);
            const silent = now - feed.heardAt > silenceMs;
            const { host, port } = next?.peer.inner ?? {};
            if (feed.closed || silent || feed.host !== host || feed.port !== port || feed.scope !== next?.scope) {
                // A feed that was heard may have lost its connection only; one that does not open is a lost peer.
                this.drop(name, feed, next !== undefined && (silent || feed.lifetime === undefined), now);
            }
        }
        this.openMissing();
    }

    protected override onFailure(err: unknown): void {
        this.log.error("exchange.broken", { error: String(err) });
    }

    /** The topology, worked out anew when the roster or the suspects have changed. */
    private peers(): ReturnType<typeof peersToFollow> {
        const roster = this.roster();
        if (roster !== this.seenRoster || this.suspects !== this.seenSuspects) {
            this.seenRoster = roster;
            this.seenSuspects = this.suspects;
            this.followed = peersToFollow(this.own, roster, new Set(this.suspects.keys()));
        }
        return this.followed;
    }

    private openMissing(): void {
        for (const { peer, scope } of this.peers()) {
            if (!this.feeds.has(peer.name)) {
                this.open(peer, scope);
            }
        }
    }

    private open({ name, inner }: IngressDescription, scope: ExchangeScope): void {
        const feed: FollowedFeed = new FollowedFeed(
            { ...inner, own: this.own, scope },
            this.key,
            this.clock,
            text => this.take(name, feed, text),
            () => {
                // One that ends again and again is left to the next look.
                const now = this.clock.now();
                if (!this.stopped && feed.lifetime !== undefined && now - feed.openedAt >= lookMs) {
                    this.drop(name, feed, false, now);
                    this.openMissing();
                }
            },
        );
        this.feeds.set(name, feed);
    }

    private drop(name: string, feed: FollowedFeed, lost: boolean, now: number): void {
        feed.close();
        this.feeds.delete(name);
        this.listeners.loads.removePeer(name);
        // A peer that stays away is tried at each look, and reported once.
        const unreported = feed.lifetime !== undefined || lost && !this.suspects.has(name);
        if (lost) {
            this.suspects = new Map([...this.suspects, [name, now + suspectMs]]);
        }
        if (unreported && (lost || feed.closed)) {
            this.log.info("exchange.lost", {
                ingress: name,
                scope: feed.scope,
                suspected: lost,
                reason: feed.closed ? feed.closeReason : "silent",
                silentMs: Math.round(now - feed.heardAt),
            });
        }
    }

    private take(name: string, feed: FollowedFeed, text: string): void {
        const line = parseLine(text);
        if (line === undefined || feed.lifetime === undefined && line.lifetime === undefined) {
            this.log.warn("exchange.unreadable", { ingress: name });
            feed.close("unreadable line");
            return;
        }
        const { loads: board, caps, onMemberChange } = this.listeners;
        const whole = line.lifetime !== undefined;
        feed.lifetime = line.lifetime ?? feed.lifetime;
        feed.covered = line.covered;
        const member = feed.scope === "own";
        if (whole || line.load !== undefined) {
            const load = Object.entries(line.load ?? {}).map(([id, [running, unreadTokens]]) =>
                [id, { running, unreadTokens }] as const
            );
            board.applyPeerLoad(name, load, whole, member);
        }
        if (whole || line.used !== undefined) {
            caps.recordPeerUse(name, feed.lifetime ?? "", line.used ?? {}, feed.scope, this.clock.now());
        }
        if (member && line.load !== undefined) {
            onMemberChange(name);
        }
    }
}

function parseLine(text: string): ExchangeLine | undefined {
    try {
        return exchangeLineSchema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}

interface FeedTarget {
    host: string;
    port: number;
    /** Name of the follower. */
    own: string;
    scope: ExchangeScope;
}

/** One open feed. */
class FollowedFeed {
    closed = false;
    closeReason: string | undefined;
    readonly openedAt: number;
    heardAt: number;
    lifetime: string | undefined;
    /** Ingresses whose load and use this feed contains. */
    covered = 0;
    readonly host: string;
    readonly port: number;
    readonly scope: ExchangeScope;
    private readonly req: ClientRequest;
    private rest = "";

    constructor(
        { host, port, own, scope }: FeedTarget,
        key: ProcessKey,
        private readonly clock: Clock,
        private readonly onLine: (line: string) => void,
        /** Called when the feed has ended by itself. */
        private readonly onEnd: () => void,
    ) {
        this.host = host;
        this.port = port;
        this.scope = scope;
        this.openedAt = clock.now();
        this.heardAt = this.openedAt;
        this.req = get({
            host,
            port,
            path: `${exchangePath}?${new URLSearchParams({ name: own, scope }).toString()}`,
            agent: false,
            headers: { authorization: key.authorization() },
        });
        this.req.on("error", (err: NodeJS.ErrnoException) => this.end(err.code ?? err.message));
        this.req.on("response", res => this.read(res));
    }

    close(reason?: string): void {
        if (!this.closed) {
            this.closed = true;
            this.closeReason = reason;
            this.covered = 0;
            this.req.destroy();
        }
    }

    private end(reason: string): void {
        if (!this.closed) {
            this.close(reason);
            this.onEnd();
        }
    }

    private read(res: IncomingMessage): void {
        if (res.statusCode !== 200) {
            this.close(`status ${res.statusCode}`);
            return;
        }
        res.on("error", (err: NodeJS.ErrnoException) => this.end(err.code ?? err.message));
        res.on("close", () => this.end("ended"));
        res.setEncoding("utf8").on("data", (text: string) => {
            this.heardAt = this.clock.now();
            const lines = (this.rest + text).split("\n");
            this.rest = lines.pop() ?? "";
            if (this.rest.length > maxLineLength) {
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
