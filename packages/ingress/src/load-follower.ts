import type { LoadBoard } from "@lentilramp/dispatch";
import type { IngressDescription } from "@lentilramp/fleet";
import type { ProcessKey } from "@lentilramp/protocol";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";
import { type ClientRequest, get, type IncomingMessage } from "node:http";
import { loadFeedPath, loadLineSchema } from "./load-feed.ts";

/** The feeds are looked at this often, in milliseconds; a lost one is opened again at the next look. */
const lookMs = 250;
/** Silence after which a feed is taken for lost, in milliseconds; three heartbeats. */
const silenceMs = 800;
/** Largest part of a line that is kept, in characters. */
const maxLineLength = 65_536;

/** Follows the load feeds of the other ingresses, so that the board knows their load while it is fresh. */
export class LoadFollower extends PeriodicComponent {
    readonly name = "load-follower";
    private readonly feeds = new Map<string, FollowedFeed>();

    constructor(
        private readonly own: string,
        private readonly board: LoadBoard,
        private readonly roster: () => readonly IngressDescription[],
        private readonly key: ProcessKey,
        clock: Clock,
        private readonly log: EventLog,
    ) {
        super(clock, lookMs);
    }

    override async close(): Promise<void> {
        await super.close();
        for (const feed of this.feeds.values()) {
            feed.close();
        }
    }

    protected override async runOnce(): Promise<void> {
        const now = this.clock.now();
        const peers = new Map(
            this.roster().filter(peer => peer.name !== this.own).map(peer => [peer.name, peer]),
        );
        for (const [name, feed] of this.feeds) {
            const { host, port } = peers.get(name)?.inner ?? {};
            if (feed.closed || now - feed.heardAt > silenceMs || feed.host !== host || feed.port !== port) {
                feed.close();
                this.feeds.delete(name);
                this.board.lose(name);
                this.log.info("load-feed.lost", { ingress: name, silentMs: Math.round(now - feed.heardAt) });
            }
        }
        for (const [name, { inner }] of peers) {
            if (!this.feeds.has(name)) {
                this.feeds.set(
                    name,
                    new FollowedFeed(inner.host, inner.port, this.key, this.clock, line => this.take(name, line)),
                );
            }
        }
    }

    protected override onFailure(err: unknown): void {
        this.log.error("load-feed.broken", { error: String(err) });
    }

    private take(name: string, text: string): void {
        let line: unknown;
        try {
            line = JSON.parse(text);
        }
        catch {
            line = undefined;
        }
        const parsed = loadLineSchema.safeParse(line);
        if (!parsed.success) {
            this.log.warn("load-feed.unreadable", { ingress: name });
            this.feeds.get(name)?.close();
            return;
        }
        const load = Object.entries(parsed.data.load).map(([id, [running, unreadTokens]]) =>
            [id, { running, unreadTokens }] as const
        );
        this.board.hear(name, load, parsed.data.whole);
    }
}

/** One open feed. */
class FollowedFeed {
    closed = false;
    heardAt: number;
    private readonly req: ClientRequest;
    private rest = "";

    constructor(
        readonly host: string,
        readonly port: number,
        key: ProcessKey,
        private readonly clock: Clock,
        private readonly onLine: (line: string) => void,
    ) {
        this.heardAt = clock.now();
        this.req = get({
            host,
            port,
            path: loadFeedPath,
            agent: false,
            headers: { authorization: key.authorization() },
        });
        this.req.on("error", () => this.close());
        this.req.on("response", res => this.read(res));
    }

    close(): void {
        this.closed = true;
        this.req.destroy();
    }

    private read(res: IncomingMessage): void {
        if (res.statusCode !== 200) {
            this.close();
            return;
        }
        res.on("error", () => this.close());
        res.on("close", () => this.close());
        res.setEncoding("utf8").on("data", (text: string) => {
            this.heardAt = this.clock.now();
            const lines = (this.rest + text).split("\n");
            this.rest = lines.pop() ?? "";
            if (this.rest.length > maxLineLength) {
                this.close();
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
