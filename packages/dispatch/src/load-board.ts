import type { Prediction } from "./latency-model.ts";

/** Load of one endpoint. */
export interface EndpointLoad {
    /** Requests sent whose answer has not ended. */
    running: number;
    /** Prompt tokens sent whose first event has not come. */
    unreadTokens: number;
}

/** Load of one endpoint as this process knows it. */
export interface KnownLoad extends EndpointLoad {
    /** By how much first bytes are late there at present, as the own requests have seen it, in milliseconds. */
    lateMs: number;
}

/** Age at which what the steward passed on no longer counts, in milliseconds; four syncs. */
const othersLifetimeMs = 1_000;

/** One request on its way to or at an endpoint. */
export class Booking {
    private started = false;
    private ended = false;

    constructor(
        private readonly entry: BoardEntry,
        private readonly unreadTokens: number,
        private readonly changed: () => void,
        /** Instant by which the first byte would come from an endpoint without other work. */
        readonly idleAt: number,
    ) {
        entry.bookings.add(this);
        entry.running++;
        entry.unreadTokens += unreadTokens;
        changed();
    }

    /** Notes the first byte of the answer: the prompt has been read. */
    start(now: number): void {
        if (!this.started) {
            this.entry.noteLate(now - this.idleAt, now);
            this.read();
        }
    }

    /** Notes the end of the answer or of the attempt. */
    end(): void {
        if (!this.ended) {
            this.ended = true;
            if (!this.started) {
                this.read();
            }
            this.entry.running--;
            this.changed();
        }
    }

    private read(): void {
        this.started = true;
        this.entry.bookings.delete(this);
        this.entry.unreadTokens -= this.unreadTokens;
        this.changed();
    }
}

/** What this process has at one endpoint. */
class BoardEntry implements EndpointLoad {
    running = 0;
    unreadTokens = 0;
    /** Requests whose first byte has not come, the oldest first. */
    readonly bookings = new Set<Booking>();
    private seenLateMs = 0;
    private seenAt = -Infinity;

    noteLate(lateMs: number, now: number): void {
        this.seenLateMs = Math.max(0, lateMs);
        this.seenAt = now;
    }

    /** What the last answer showed, less what the endpoint has worked off since, or what is still awaited. */
    lateMs(now: number): number {
        let late = Math.max(0, this.seenLateMs - (now - this.seenAt));
        for (const { idleAt } of this.bookings) {
            late = Math.max(late, now - idleAt);
        }
        return late;
    }
}

/** What this process has in flight at each endpoint, and what the others reported. */
export class LoadBoard {
    private readonly own = new Map<string, BoardEntry>();
    private changed: () => void = () => undefined;
    /** Load of each process that is heard directly. */
    private readonly heard = new Map<string, Map<string, EndpointLoad>>();
    /** Sum over `heard`, by endpoint. */
    private readonly heardSum = new Map<string, EndpointLoad>();
    private others: Readonly<Record<string, EndpointLoad>> = {};
    private othersAt = -Infinity;

    /** Names `run` as what is called when the own load has changed. */
    onChange(run: () => void): void {
        this.changed = run;
    }

    /** Books a request at an endpoint from the instant `now` until its end. */
    book(endpoint: string, { unreadTokens, idleMs }: Prediction, now: number): Booking {
        const entry = this.own.get(endpoint) ?? new BoardEntry();
        this.own.set(endpoint, entry);
        return new Booking(entry, unreadTokens, () => this.changed(), now + idleMs);
    }

    /** Takes the load of all other processes that are not heard directly. */
    setOthers(others: Readonly<Record<string, EndpointLoad>>, now: number): void {
        this.others = others;
        this.othersAt = now;
    }

    /** Takes what another process says of its load: what changed, or all of it. */
    hear(peer: string, load: Iterable<readonly [string, EndpointLoad]>, whole: boolean): void {
        if (whole) {
            this.lose(peer);
        }
        const held = this.heard.get(peer) ?? new Map<string, EndpointLoad>();
        this.heard.set(peer, held);
        for (const [endpoint, next] of load) {
            this.add(endpoint, held.get(endpoint), -1);
            this.add(endpoint, next, 1);
            held.set(endpoint, next);
        }
    }

    /** Drops what another process said, because it is not heard any more. */
    lose(peer: string): void {
        for (const [endpoint, load] of this.heard.get(peer) ?? []) {
            this.add(endpoint, load, -1);
        }
        this.heard.delete(peer);
    }

    /** The processes that are heard directly. */
    get heardFrom(): string[] {
        return [...this.heard.keys()];
    }

    load(endpoint: string, now: number): KnownLoad {
        const own = this.own.get(endpoint);
        const heard = this.heardSum.get(endpoint);
        const other = now - this.othersAt < othersLifetimeMs ? this.others[endpoint] : undefined;
        return {
            running: (own?.running ?? 0) + (heard?.running ?? 0) + (other?.running ?? 0),
            unreadTokens: (own?.unreadTokens ?? 0) + (heard?.unreadTokens ?? 0) + (other?.unreadTokens ?? 0),
            lateMs: own?.lateMs(now) ?? 0,
        };
    }

    ownRunning(endpoint: string): number {
        return this.own.get(endpoint)?.running ?? 0;
    }

    /** Forgets an endpoint whose lifetime has ended; requests that are still there end on their own. */
    forget(endpoint: string): void {
        this.own.delete(endpoint);
    }

    private add(endpoint: string, load: EndpointLoad | undefined, sign: 1 | -1): void {
        if (load !== undefined) {
            const sum = this.heardSum.get(endpoint) ?? { running: 0, unreadTokens: 0 };
            sum.running += sign * load.running;
            sum.unreadTokens += sign * load.unreadTokens;
            this.heardSum.set(endpoint, sum);
        }
    }

    /** The own load, for the others. */
    snapshot(): Record<string, EndpointLoad> {
        return Object.fromEntries(
            [...this.own].filter(([, entry]) => entry.running > 0)
                .map(([endpoint, { running, unreadTokens }]) => [endpoint, { running, unreadTokens }]),
        );
    }
}
