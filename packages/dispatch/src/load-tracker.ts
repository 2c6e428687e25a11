import type { Prediction } from "./latency-model.ts";

/** Load of one endpoint. */
export interface EndpointLoad {
    /** Requests sent whose answer has not ended. */
    running: number;
    /** Prompt tokens sent whose first event has not come. */
    unreadTokens: number;
}

/** Load of one endpoint as this process knows it. */
export interface EstimatedLoad extends EndpointLoad {
    /** By how much first bytes are late there at present, as the own requests have seen it, in milliseconds. */
    firstByteDelayMs: number;
}

/** Age at which what the steward passed on no longer counts, in milliseconds; four syncs. */
const othersLifetimeMs = 1_000;

/** One request on its way to or at an endpoint. */
export class InFlightRequest {
    private started = false;
    private ended = false;

    constructor(
        private readonly entry: BoardEntry,
        private readonly unreadTokens: number,
        private readonly changed: () => void,
        /** Instant by which the first byte would come from an endpoint without other work. */
        readonly idleFirstByteAt: number,
    ) {
        entry.bookings.add(this);
        entry.running++;
        entry.unreadTokens += unreadTokens;
        changed();
    }

    /** Notes the first byte of the answer: the prompt has been read. */
    recordFirstByte(now: number): void {
        if (!this.started) {
            this.entry.noteLate(now - this.idleFirstByteAt, now);
            this.read();
        }
    }

    /** Notes the end of the answer or of the attempt. */
    recordEnd(): void {
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
    readonly bookings = new Set<InFlightRequest>();
    private seenLateMs = 0;
    private seenAt = -Infinity;

    noteLate(lateMs: number, now: number): void {
        this.seenLateMs = Math.max(0, lateMs);
        this.seenAt = now;
    }

    /** What the last answer showed, less what the endpoint has worked off since, or what is still awaited. */
    lateMs(now: number): number {
        let late = Math.max(0, this.seenLateMs - (now - this.seenAt));
        for (const { idleFirstByteAt } of this.bookings) {
            late = Math.max(late, now - idleFirstByteAt);
        }
        return late;
    }
}

/** What this process has in flight at each endpoint, and what the others reported. */
export class LoadTracker {
    private readonly own = new Map<string, BoardEntry>();
    private changed: () => void = () => undefined;
    /** Load of each process that is heard directly, and whether it speaks for itself alone. */
    private readonly heard = new Map<string, { load: Map<string, EndpointLoad>; member: boolean; }>();
    /** Sum over `heard`. */
    private readonly heardSum = new Map<string, EndpointLoad>();
    /** Sum over the members in `heard`. */
    private readonly memberSum = new Map<string, EndpointLoad>();
    private others: Readonly<Record<string, EndpointLoad>> = {};
    private othersAt = -Infinity;

    /** `heedsOwnWaits` says whether late first bytes of the own requests count besides what is reported. */
    constructor(private readonly heedsOwnWaits = true) {}

    /** Names `run` as what is called when the known load has changed. */
    onChange(run: () => void): void {
        this.changed = run;
    }

    /** Books a request at an endpoint from the instant `now` until its end. */
    trackRequest(endpoint: string, { unreadTokens, idleFirstByteMs }: Prediction, now: number): InFlightRequest {
        const entry = this.own.get(endpoint) ?? new BoardEntry();
        this.own.set(endpoint, entry);
        return new InFlightRequest(entry, unreadTokens, () => this.changed(), now + idleFirstByteMs);
    }

    /** Takes the load of all other processes, which counts while none of them is heard directly. */
    setRelayedLoad(others: Readonly<Record<string, EndpointLoad>>, now: number): void {
        this.others = others;
        this.othersAt = now;
    }

    /**
     * Takes what another process says of the load that it knows: what changed, or all of it. `member` says that it
     * speaks for itself alone.
     */
    applyPeerLoad(peer: string, load: Iterable<readonly [string, EndpointLoad]>, whole: boolean, member = true): void {
        if (whole) {
            this.removePeer(peer);
        }
        const held = this.heard.get(peer) ?? { load: new Map<string, EndpointLoad>(), member };
        this.heard.set(peer, held);
        for (const [endpoint, next] of load) {
            this.replace(endpoint, held.load.get(endpoint), next, held.member);
            if (next.running === 0 && next.unreadTokens === 0) {
                held.load.delete(endpoint);
            }
            else {
                held.load.set(endpoint, next);
            }
        }
        this.changed();
    }

    /** Drops what another process said, because it is not heard any more. */
    removePeer(peer: string): void {
        const held = this.heard.get(peer);
        if (held === undefined) {
            return;
        }
        for (const [endpoint, load] of held.load) {
            this.replace(endpoint, load, undefined, held.member);
        }
        this.heard.delete(peer);
        this.changed();
    }

    /** The processes that are heard directly. */
    get peers(): string[] {
        return [...this.heard.keys()];
    }

    load(endpoint: string, now: number): EstimatedLoad {
        const own = this.own.get(endpoint);
        const useOthers = this.heard.size === 0 && now - this.othersAt < othersLifetimeMs;
        const other = useOthers ? this.others[endpoint] : this.heardSum.get(endpoint);
        return {
            running: (own?.running ?? 0) + (other?.running ?? 0),
            unreadTokens: (own?.unreadTokens ?? 0) + (other?.unreadTokens ?? 0),
            firstByteDelayMs: this.heedsOwnWaits ? own?.lateMs(now) ?? 0 : 0,
        };
    }

    localRunning(endpoint: string): number {
        return this.own.get(endpoint)?.running ?? 0;
    }

    /** Forgets an endpoint whose lifetime has ended; requests that are still there end on their own. */
    removeEndpoint(endpoint: string): void {
        this.own.delete(endpoint);
    }

    /** The own load. */
    localLoad(): Map<string, EndpointLoad> {
        return this.ownLoadAnd(new Map());
    }

    /** The load of this process and of the members that it hears. */
    groupLoad(): Map<string, EndpointLoad> {
        return this.ownLoadAnd(this.memberSum);
    }

    /** All load that is known, less what `peer` told. */
    fleetLoadExcluding(peer: string): Map<string, EndpointLoad> {
        const sum = this.ownLoadAnd(this.heardSum);
        for (const [endpoint, load] of this.heard.get(peer)?.load ?? []) {
            addLoad(sum, endpoint, load, -1);
        }
        return sum;
    }

    private ownLoadAnd(others: ReadonlyMap<string, EndpointLoad>): Map<string, EndpointLoad> {
        const sum = new Map(others);
        for (const [endpoint, entry] of this.own) {
            if (entry.running > 0) {
                addLoad(sum, endpoint, entry, 1);
            }
        }
        return sum;
    }

    /** Takes that a peer's load of an endpoint has changed. */
    private replace(
        endpoint: string,
        before: EndpointLoad | undefined,
        after: EndpointLoad | undefined,
        member: boolean,
    ): void {
        for (const sum of member ? [this.heardSum, this.memberSum] : [this.heardSum]) {
            if (before !== undefined) {
                addLoad(sum, endpoint, before, -1);
            }
            if (after !== undefined) {
                addLoad(sum, endpoint, after, 1);
            }
        }
    }
}

/** Adds a load to a sum; an endpoint without any load left is dropped. */
function addLoad(sum: Map<string, EndpointLoad>, endpoint: string, load: EndpointLoad, sign: 1 | -1): void {
    const held = sum.get(endpoint);
    const running = (held?.running ?? 0) + sign * load.running;
    const unreadTokens = (held?.unreadTokens ?? 0) + sign * load.unreadTokens;
    if (running === 0 && unreadTokens === 0) {
        sum.delete(endpoint);
    }
    else {
        sum.set(endpoint, { running, unreadTokens });
    }
}
