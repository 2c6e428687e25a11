/** Load of one endpoint. */
export interface EndpointLoad {
    /** Requests sent whose answer has not ended. */
    running: number;
    /** Prompt tokens sent whose first event has not come. */
    unreadTokens: number;
}

/** Age at which what others reported no longer counts, in milliseconds; four syncs. */
const peerLifetimeMs = 1_000;

/** What this process has in flight at each endpoint, and what the others reported. */
export class LoadBoard {
    private readonly own = new Map<string, EndpointLoad>();
    private peers: Readonly<Record<string, EndpointLoad>> = {};
    private peersAt = -Infinity;

    sent(endpoint: string, unreadTokens: number): void {
        const load = this.own.get(endpoint) ?? { running: 0, unreadTokens: 0 };
        load.running++;
        load.unreadTokens += unreadTokens;
        this.own.set(endpoint, load);
    }

    /** The first byte of the answer came; the prompt has been read. */
    started(endpoint: string, unreadTokens: number): void {
        const load = this.own.get(endpoint);
        if (load !== undefined) {
            load.unreadTokens = Math.max(0, load.unreadTokens - unreadTokens);
        }
    }

    ended(endpoint: string): void {
        const load = this.own.get(endpoint);
        if (load !== undefined) {
            load.running--;
            if (load.running <= 0) {
                this.own.delete(endpoint);
            }
        }
    }

    /** Takes the load that all other processes have at the endpoints. */
    setPeers(peers: Readonly<Record<string, EndpointLoad>>, now: number): void {
        this.peers = peers;
        this.peersAt = now;
    }

    load(endpoint: string, now: number): EndpointLoad {
        const own = this.own.get(endpoint);
        const peer = now - this.peersAt < peerLifetimeMs ? this.peers[endpoint] : undefined;
        return {
            running: (own?.running ?? 0) + (peer?.running ?? 0),
            unreadTokens: (own?.unreadTokens ?? 0) + (peer?.unreadTokens ?? 0),
        };
    }

    ownRunning(endpoint: string): number {
        return this.own.get(endpoint)?.running ?? 0;
    }

    /** The own load, for the others. */
    snapshot(): Record<string, EndpointLoad> {
        return Object.fromEntries([...this.own].map(([endpoint, load]) => [endpoint, { ...load }]));
    }
}
