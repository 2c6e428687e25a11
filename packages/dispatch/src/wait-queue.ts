import type { DispatchRequest } from "./types.ts";

/**
 * With fair shares, one request in this many that are sent is of each rank that waits. Without it, a queue that is never
 * empty serves the most urgent rank alone. The part is twice the one that the fleet's admission level keeps for a rank, so
 * that what the fleet admits is not late in the queue.
 */
const rankInterval = 10;

/**
 * Requests that wait for a slot. They are ordered by rank (most urgent first), then by target (earliest first). With
 * fair shares, the workspaces of a rank take turns: the first requests of all of them go before the second ones; and a
 * rank of which nothing has been sent for long goes first with one request.
 */
export class WaitQueue<T extends { req: DispatchRequest; }> {
    private items: T[] = [];
    /** Last turn that was served, by rank; a workspace that had no request does not catch up on older ones. */
    private readonly servedTurns = new Map<number, number>();
    /** Turn of the next request, by rank and workspace. */
    private readonly nextTurns = new Map<string, number>();
    /** Requests that were sent, and how many had been at the last one of each rank. */
    private sent = 0;
    private readonly sentAt = new Map<number, number>();

    constructor(
        /** Whether workspaces take turns at present. */
        private readonly isFair: () => boolean = () => false,
    ) {}

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
        const { rank } = item.req;
        this.sentAt.set(rank, this.sentAt.get(rank) ?? this.sent);
    }

    /** Whether the rank of a request has had less than its least part, so that its next request goes before all others. */
    isOverdue({ rank }: DispatchRequest): boolean {
        return this.isFair() && this.sent - (this.sentAt.get(rank) ?? this.sent) >= rankInterval;
    }

    /** Removes a request; `isServed` tells that it is sent, so that its workspace has had its turn. */
    remove(item: T, isServed = false): void {
        if (isServed && this.isFair()) {
            const { rank } = item.req;
            // The turns of the others are not needed, and would make sending a whole queue far slower.
            const earlier = this.items.slice(0, Math.max(0, this.items.indexOf(item)));
            const turn = this.firstTurn(item.req) + earlier.filter(other => isSameOwner(other.req, item.req)).length;
            this.servedTurns.set(rank, Math.max(turn, this.servedTurns.get(rank) ?? 0));
            this.nextTurns.set(workspaceKey(item.req), turn + 1);
            this.sentAt.set(rank, this.sent++);
        }
        this.items = this.items.filter(other => other !== item);
        if (this.items.length === 0) {
            // Nobody waits, so that nobody is owed a turn.
            this.servedTurns.clear();
            this.nextTurns.clear();
            this.sentAt.clear();
        }
    }

    /** Returns the waiting requests in the order in which they are served. */
    inOrder(): readonly T[] {
        if (!this.isFair()) {
            return [...this.items];
        }
        const turns = this.turns();
        const ordered = [...this.items].sort((a, b) =>
            compareFairly(a.req, turns.get(a) ?? 0, b.req, turns.get(b) ?? 0)
        );
        const firsts = new Map(ordered.toReversed().map(item => [item.req.rank, item]));
        const overdue = [...firsts.values()].filter(({ req }) => this.isOverdue(req));
        return overdue.length === 0 ? ordered : [...overdue, ...ordered.filter(item => !overdue.includes(item))];
    }

    /** Returns the number of waiting requests that would be served before `req`. */
    countAhead(req: DispatchRequest): number {
        const earlier = this.items.filter(item => !precedes(req, item.req));
        if (!this.isFair()) {
            return earlier.length;
        }
        const turns = this.turns();
        const turn = this.firstTurn(req) + earlier.filter(item => isSameOwner(item.req, req)).length;
        return this.items.filter(item => compareFairly(item.req, turns.get(item) ?? 0, req, turn) <= 0).length;
    }

    /** Returns the turn of each waiting request. */
    private turns(): Map<T, number> {
        const turns = new Map<T, number>();
        const next = new Map<string, number>();
        for (const item of this.items) {
            const key = workspaceKey(item.req);
            const turn = next.get(key) ?? this.firstTurn(item.req);
            turns.set(item, turn);
            next.set(key, turn + 1);
        }
        return turns;
    }

    private firstTurn(req: DispatchRequest): number {
        return Math.max(this.servedTurns.get(req.rank) ?? 0, this.nextTurns.get(workspaceKey(req)) ?? 0);
    }
}

function workspaceKey({ rank, workspace }: DispatchRequest): string {
    return `${rank} ${workspace}`;
}

function isSameOwner(a: DispatchRequest, b: DispatchRequest): boolean {
    return a.rank === b.rank && a.workspace === b.workspace;
}

function precedes(a: DispatchRequest, b: DispatchRequest): boolean {
    return a.rank !== b.rank ? a.rank < b.rank : a.targetAt < b.targetAt;
}

function compareFairly(a: DispatchRequest, turnOfA: number, b: DispatchRequest, turnOfB: number): number {
    return a.rank - b.rank || turnOfA - turnOfB || a.targetAt - b.targetAt;
}
