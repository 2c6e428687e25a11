/** Request for a page of members. */
export interface PageRequest {
    /** The page contains members whose ids follow this id. */
    after: string;
}

/**
 * Fetches the member list from other nodes page by page when a node joins. Pages are ordered by id, so that any node
 * can send the next page, and a lost datagram does not restart the join.
 */
export class Joiner {
    private lastReceivedId = "";
    private joined = false;
    private retryAt: number;

    constructor(private readonly retryMs: number, now: number) {
        this.retryAt = now;
    }

    get isJoined(): boolean {
        return this.joined;
    }

    /** Returns the request that is due at `now`, if any. */
    step(now: number): PageRequest | undefined {
        if (this.joined || now < this.retryAt) {
            return undefined;
        }
        this.retryAt = now + this.retryMs;
        return { after: this.lastReceivedId };
    }

    /** Records a received page. `lastId` is the last id of the page, or "" for the last page. */
    onPage(lastId: string, now: number): void {
        if (lastId === "") {
            this.joined = true;
        }
        else if (lastId > this.lastReceivedId) {
            this.lastReceivedId = lastId;
            this.retryAt = now;
        }
    }

    nextDueAt(): number {
        return this.joined ? Number.POSITIVE_INFINITY : this.retryAt;
    }
}
