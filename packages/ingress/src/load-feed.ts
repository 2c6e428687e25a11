import type { EndpointLoad, LoadBoard } from "@lentilramp/dispatch";
import type { HttpServer, ProcessKey } from "@lentilramp/protocol";
import { type Clock, Component, type Timer } from "@lentilramp/runtime";
import type { ServerResponse } from "node:http";
import { z } from "zod";

/** Path of the feed on the inner server of an ingress. */
export const loadFeedPath = "/load";
/** Least time between two lines, in milliseconds; with links of 4 ms the others' view is 25 ms old on average. */
const minGapMs = 20;
/** Added to the gap for each follower, in milliseconds, so that the cost of the feed stays flat as the fleet grows. */
const gapPerFollowerMs = 2;
/** Without changes a line is sent this often, in milliseconds; followers take a longer silence for a lost feed. */
const heartbeatMs = 250;
/** Bytes that a follower may leave unread before it is dropped; a whole line of 50 endpoints has 2 kB. */
const maxUnreadBytes = 32_768;

/** One line of the feed: the load that changed, or all of it in the first line. */
export const loadLineSchema = z.object({
    whole: z.boolean(),
    /** Running requests and unread tokens by endpoint. */
    load: z.record(z.string(), z.tuple([z.number(), z.number()])),
});
type LoadLine = z.infer<typeof loadLineSchema>;

/** Tells the other ingresses of each change of the own load, at once but not more often than they need it. */
export class LoadFeed extends Component {
    readonly name = "load-feed";
    private readonly followers = new Set<ServerResponse>();
    private told = new Map<string, EndpointLoad>();
    private timer: Timer | undefined;
    private lastAt = -Infinity;
    /** Instant of the next line; Infinity when none is due. */
    private due = Infinity;
    private closed = false;

    constructor(private readonly board: LoadBoard, private readonly clock: Clock) {
        super();
        board.onChange(() => this.schedule(this.lastAt + minGapMs + gapPerFollowerMs * this.followers.size));
    }

    /** Serves the feed to those that know the process key. */
    attach(http: HttpServer, key: ProcessKey): void {
        http.route("GET", loadFeedPath, async (req, res) => {
            req.resume();
            if (!key.matches(req.headers.authorization)) {
                res.writeHead(401).end();
                return;
            }
            res.writeHead(200, { "content-type": "application/x-ndjson" });
            res.on("error", () => this.followers.delete(res));
            res.on("close", () => this.followers.delete(res));
            if (this.followers.size === 0) {
                this.told = new Map(Object.entries(this.board.snapshot()));
            }
            // Later lines name only what changed since the last line, so this one must not be newer.
            res.write(encode(true, this.told));
            this.followers.add(res);
            this.schedule(this.clock.now() + minGapMs);
        });
    }

    override async drain(): Promise<void> {
        this.stop();
    }

    override async close(): Promise<void> {
        this.stop();
    }

    private stop(): void {
        this.closed = true;
        this.timer?.cancel();
        for (const follower of this.followers) {
            follower.end();
        }
        this.followers.clear();
    }

    private schedule(at: number): void {
        if (this.closed || this.followers.size === 0 || this.due <= at) {
            return;
        }
        this.timer?.cancel();
        this.due = at;
        this.timer = this.clock.schedule(at, () => this.tell());
    }

    private tell(): void {
        this.due = Infinity;
        this.lastAt = this.clock.now();
        const present = new Map(Object.entries(this.board.snapshot()));
        const changed = new Map<string, EndpointLoad>();
        for (const [id, load] of present) {
            const told = this.told.get(id);
            if (told?.running !== load.running || told.unreadTokens !== load.unreadTokens) {
                changed.set(id, load);
            }
        }
        for (const id of this.told.keys()) {
            if (!present.has(id)) {
                changed.set(id, { running: 0, unreadTokens: 0 });
            }
        }
        this.told = present;
        const line = encode(false, changed);
        for (const follower of this.followers) {
            if (follower.writableLength > maxUnreadBytes) {
                follower.destroy();
            }
            else {
                follower.write(line);
            }
        }
        this.schedule(this.lastAt + heartbeatMs);
    }
}

function encode(whole: boolean, loads: ReadonlyMap<string, EndpointLoad>): string {
    const load: LoadLine["load"] = {};
    for (const [id, { running, unreadTokens }] of loads) {
        load[id] = [running, unreadTokens];
    }
    return `${JSON.stringify({ whole, load } satisfies LoadLine)}\n`;
}
