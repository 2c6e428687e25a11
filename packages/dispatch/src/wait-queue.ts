import type { DispatchRequest } from "./types.ts";

/** Requests that wait for a slot, ordered by rank (most urgent first), then by target (earliest first). */
export class WaitQueue<T extends { req: DispatchRequest; }> {
    private items: T[] = [];

    get size(): number {
        return this.items.length;
    }

    push(item: T): void {
        const index = this.items.findIndex(other => precedes(item.req, other.req));
        if (index < 0) {
            this.items.push(item);
        }
        else {
            this.items.splice(index, 0, item);
        }
    }

    remove(item: T): void {
        this.items = this.items.filter(other => other !== item);
    }

    /** Returns the waiting requests in the order in which they are served. */
    inOrder(): readonly T[] {
        return [...this.items];
    }

    /** Returns the number of waiting requests that would be served before `req`. */
    countAhead(req: DispatchRequest): number {
        return this.items.filter(item => !precedes(req, item.req)).length;
    }
}

function precedes(a: DispatchRequest, b: DispatchRequest): boolean {
    return a.rank !== b.rank ? a.rank < b.rank : a.targetAt < b.targetAt;
}
