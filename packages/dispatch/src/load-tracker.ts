import type { Prediction } from "./latency-model.ts";

/** Load of one endpoint. */
export interface EndpointLoad {
    /** Requests sent to the endpoint whose answers have not ended. */
    running: number;
    /** Uncached prompt tokens of the requests whose first event has not arrived. */
    unreadTokens: number;
}

/** Load of one endpoint, estimated from local requests and from the reports of peers. */
export interface EstimatedLoad extends EndpointLoad {
    /** Current delay of first bytes beyond those of an idle endpoint, as seen by local requests, in milliseconds. */
    firstByteDelayMs: number;
}

/** Age from which load relayed by the steward is ignored, in milliseconds; four sync intervals. */
const relayedLoadTtlMs = 1_000;

/** Endpoints that are remembered because their load has fallen; many of them may be of other services than is asked for. */
const maxRelieved = 512;

/** A request that was sent to an endpoint and whose answer has not ended. */
export class InFlightRequest {
    private isPromptRead = false;
    private hasEnded = false;

    constructor(
        private readonly load: LocalEndpointLoad,
        private readonly unreadTokens: number,
        private readonly notifyChange: (isRelief: boolean) => void,
        /** Instant at which the first byte would arrive from an idle endpoint. */
        readonly idleFirstByteAt: number,
    ) {
        load.awaitingFirstByte.add(this);
        load.running++;
        load.unreadTokens += unreadTokens;
        notifyChange(false);
    }

    /** Records the first byte of the answer, which shows that the prompt has been read. */
    recordFirstByte(now: number): void {
        if (!this.isPromptRead) {
            this.load.recordDelay(now - this.idleFirstByteAt, now);
            this.markPromptRead();
        }
    }

    /** Records the end of the answer or of the attempt. */
    recordEnd(): void {
        if (!this.hasEnded) {
            this.hasEnded = true;
            if (!this.isPromptRead) {
                this.markPromptRead();
            }
            this.load.running--;
            this.notifyChange(true);
        }
    }

    private markPromptRead(): void {
        this.isPromptRead = true;
        this.load.awaitingFirstByte.delete(this);
        this.load.unreadTokens -= this.unreadTokens;
        this.notifyChange(true);
    }
}

/** Load that this process has in flight at one endpoint. */
class LocalEndpointLoad implements EndpointLoad {
    running = 0;
    unreadTokens = 0;
    /** Requests whose first byte has not arrived, oldest first. */
    readonly awaitingFirstByte = new Set<InFlightRequest>();
    private lastDelayMs = 0;
    private lastDelayAt = -Infinity;

    recordDelay(delayMs: number, now: number): void {
        this.lastDelayMs = Math.max(0, delayMs);
        this.lastDelayAt = now;
    }

    /**
     * Returns the larger of two delays: that of the last first byte, less the time since, in which the endpoint has
     * worked off its queue; and the longest delay so far of a request that still awaits its first byte.
     */
    firstByteDelayMs(now: number): number {
        let delayMs = Math.max(0, this.lastDelayMs - (now - this.lastDelayAt));
        for (const { idleFirstByteAt } of this.awaitingFirstByte) {
            delayMs = Math.max(delayMs, now - idleFirstByteAt);
        }
        return delayMs;
    }
}

/** Tracks the requests that this process has in flight at each endpoint, and the load that peers report. */
export class LoadTracker {
    private readonly localLoads = new Map<string, LocalEndpointLoad>();
    private notifyChange: () => void = () => undefined;
    /** Load from each direct peer feed; `isMember` is true for a feed that carries only the load of that peer. */
    private readonly peerLoads = new Map<string, { load: Map<string, EndpointLoad>; isMember: boolean; }>();
    /** Sum over all `peerLoads`. */
    private readonly peerSum = new Map<string, EndpointLoad>();
    /** Sum over the members in `peerLoads`. */
    private readonly memberSum = new Map<string, EndpointLoad>();
    private relayedLoad: Readonly<Record<string, EndpointLoad>> = {};
    private relayedAt = -Infinity;
    /** Endpoints whose load has fallen, the latest last. */
    private readonly relievedIds = new Set<string>();

    /** `usesLocalDelays` is false to ignore the first-byte delays of local requests and use only the counted load. */
    constructor(private readonly usesLocalDelays = true) {}

    /** Sets the listener that is called when the local load or a peer's load changes; it replaces the previous one. */
    onChange(listener: () => void): void {
        this.notifyChange = listener;
    }

    /** Counts a request as load of an endpoint from the instant `now` until its end is recorded. */
    trackRequest(endpoint: string, { unreadTokens, idleFirstByteMs }: Prediction, now: number): InFlightRequest {
        const load = this.localLoads.get(endpoint) ?? new LocalEndpointLoad();
        this.localLoads.set(endpoint, load);
        const onChange = (isRelief: boolean): void => {
            if (isRelief) {
                this.recordRelief(endpoint);
            }
            this.notifyChange();
        };
        return new InFlightRequest(load, unreadTokens, onChange, now + idleFirstByteMs);
    }

    /** Endpoints whose load has fallen last, by requests of this process and of peers; at most 512, of any service. */
    get relieved(): ReadonlySet<string> {
        return this.relievedIds;
    }

    /** Sets the load of all other processes as relayed by the steward, which is used while there is no peer feed. */
    setRelayedLoad(loads: Readonly<Record<string, EndpointLoad>>, now: number): void {
        this.relayedLoad = loads;
        this.relayedAt = now;
    }

    /**
     * Applies a load message of a peer. It is a snapshot, which replaces the peer's earlier load, or an increment.
     * `isMember` is true if the feed carries only the peer's local load and false if it also carries that of others.
     */
    applyPeerLoad(
        peer: string,
        updates: Iterable<readonly [string, EndpointLoad]>,
        isSnapshot: boolean,
        isMember = true,
    ): void {
        if (isSnapshot) {
            this.removePeer(peer);
        }
        const peerLoad = this.peerLoads.get(peer) ?? { load: new Map<string, EndpointLoad>(), isMember };
        this.peerLoads.set(peer, peerLoad);
        for (const [endpoint, load] of updates) {
            const previous = peerLoad.load.get(endpoint);
            if (previous !== undefined && isBelow(load, previous)) {
                this.recordRelief(endpoint);
            }
            this.updateSums(endpoint, previous, load, peerLoad.isMember);
            if (load.running === 0 && load.unreadTokens === 0) {
                peerLoad.load.delete(endpoint);
            }
            else {
                peerLoad.load.set(endpoint, load);
            }
        }
        this.notifyChange();
    }

    /** Removes the load of a peer whose feed is no longer connected. */
    removePeer(peer: string): void {
        const peerLoad = this.peerLoads.get(peer);
        if (peerLoad === undefined) {
            return;
        }
        for (const [endpoint, load] of peerLoad.load) {
            this.updateSums(endpoint, load, undefined, peerLoad.isMember);
        }
        this.peerLoads.delete(peer);
        this.notifyChange();
    }

    /** Names of the peers whose load is known from a direct feed. */
    get peers(): string[] {
        return [...this.peerLoads.keys()];
    }

    /** Returns the load of an endpoint, from local requests and those of all other processes. */
    load(endpoint: string, now: number): EstimatedLoad {
        const local = this.localLoads.get(endpoint);
        const usesRelayedLoad = this.peerLoads.size === 0 && now - this.relayedAt < relayedLoadTtlMs;
        const remote = usesRelayedLoad ? this.relayedLoad[endpoint] : this.peerSum.get(endpoint);
        return {
            running: (local?.running ?? 0) + (remote?.running ?? 0),
            unreadTokens: (local?.unreadTokens ?? 0) + (remote?.unreadTokens ?? 0),
            firstByteDelayMs: this.usesLocalDelays ? local?.firstByteDelayMs(now) ?? 0 : 0,
        };
    }

    localRunning(endpoint: string): number {
        return this.localLoads.get(endpoint)?.running ?? 0;
    }

    /**
     * Removes the local load of an endpoint that no longer exists. Requests still in flight keep their record
     * and end normally.
     */
    removeEndpoint(endpoint: string): void {
        this.localLoads.delete(endpoint);
        this.relievedIds.delete(endpoint);
    }

    /** Returns the load of this process by endpoint. */
    localLoad(): Map<string, EndpointLoad> {
        return this.localLoadPlus(new Map());
    }

    /** Returns the load of this process and of the peers whose feeds carry only their own load, by endpoint. */
    groupLoad(): Map<string, EndpointLoad> {
        return this.localLoadPlus(this.memberSum);
    }

    /** Returns the load of this process and of all peers except `peer`, by endpoint. */
    fleetLoadExcluding(peer: string): Map<string, EndpointLoad> {
        const sum = this.localLoadPlus(this.peerSum);
        for (const [endpoint, load] of this.peerLoads.get(peer)?.load ?? []) {
            addLoad(sum, endpoint, load, -1);
        }
        return sum;
    }

    private localLoadPlus(remote: ReadonlyMap<string, EndpointLoad>): Map<string, EndpointLoad> {
        const sum = new Map(remote);
        for (const [endpoint, load] of this.localLoads) {
            if (load.running > 0) {
                addLoad(sum, endpoint, load, 1);
            }
        }
        return sum;
    }

    private recordRelief(endpoint: string): void {
        this.relievedIds.delete(endpoint);
        this.relievedIds.add(endpoint);
        if (this.relievedIds.size > maxRelieved) {
            const [oldest] = this.relievedIds;
            this.relievedIds.delete(oldest ?? "");
        }
    }

    /** Replaces a peer's previous load of an endpoint by its next one in the sums. */
    private updateSums(
        endpoint: string,
        previous: EndpointLoad | undefined,
        next: EndpointLoad | undefined,
        isMember: boolean,
    ): void {
        for (const sum of isMember ? [this.peerSum, this.memberSum] : [this.peerSum]) {
            if (previous !== undefined) {
                addLoad(sum, endpoint, previous, -1);
            }
            if (next !== undefined) {
                addLoad(sum, endpoint, next, 1);
            }
        }
    }
}

/** Whether a load has fallen: fewer requests run, or fewer prompt tokens are unread. */
function isBelow(next: EndpointLoad, previous: EndpointLoad): boolean {
    return next.running < previous.running || next.unreadTokens < previous.unreadTokens;
}

/** Adds a load to a sum or subtracts it; an endpoint without remaining load is deleted. */
function addLoad(sum: Map<string, EndpointLoad>, endpoint: string, load: EndpointLoad, sign: 1 | -1): void {
    const total = sum.get(endpoint);
    const running = (total?.running ?? 0) + sign * load.running;
    const unreadTokens = (total?.unreadTokens ?? 0) + sign * load.unreadTokens;
    if (running === 0 && unreadTokens === 0) {
        sum.delete(endpoint);
    }
    else {
        sum.set(endpoint, { running, unreadTokens });
    }
}
