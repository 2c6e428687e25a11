/** One request for a page of members. */
export interface PageRequest {
    /** Id after which the page starts. */
    after: string;
}

/**
 * Takes over the member list of other nodes page by page. Pages are in the order of ids, so that any node can continue
 * after a lost datagram and a join under loss does not start anew.
 */
export class Joiner {
    private after = "";
    private joined = false;
    private retryAt: number;

    constructor(private readonly retryMs: number, now: number) {
        this.retryAt = now;
    }

    get isJoined(): boolean {
        return this.joined;
    }

    /** Returns the request to make now, if any. */
    step(now: number): PageRequest | undefined {
        if (this.joined || now < this.retryAt) {
            return undefined;
        }
        this.retryAt = now + this.retryMs;
        return { after: this.after };
    }

    /** A page arrived; `last` is its last id, or "" for the last page. */
    onPage(last: string, now: number): void {
        if (last === "") {
            this.joined = true;
        }
        else if (last > this.after) {
            this.after = last;
            this.retryAt = now;
        }
    }

    nextInstant(): number {
        return this.joined ? Number.POSITIVE_INFINITY : this.retryAt;
    }
}
