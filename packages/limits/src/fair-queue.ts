import type { Priority, Ticket } from "./admission-policy.ts";
import { priorities } from "./admission-policy.ts";
import { FairShares } from "./fair-shares.ts";

export interface FairQueueOptions {
    /** Bound for each workspace and priority. */
    maxPerClass: number;
    maxTotal: number;
    /** Shares of the priorities inside a workspace; a low priority is slow but never starves. */
    priorityWeights: Readonly<Record<Priority, number>>;
    workspaceWeight: (workspace: string) => number;
}

export const fairQueueDefaults: FairQueueOptions = {
    maxPerClass: 200,
    maxTotal: 1_000,
    priorityWeights: { high: 8, normal: 4, low: 1 },
    workspaceWeight: () => 1,
};

interface WorkspaceQueue {
    shares: FairShares<Priority>;
    tickets: Record<Priority, Ticket[]>;
    cost: number;
}

/** Bounded queue that serves workspaces by fair shares, and the priorities of each by weighted shares. */
export class FairQueue {
    size = 0;
    cost = 0;
    private readonly shares: FairShares<string>;
    private readonly workspaces = new Map<string, WorkspaceQueue>();

    constructor(private readonly options: FairQueueOptions = fairQueueDefaults) {
        this.shares = new FairShares(options.workspaceWeight);
    }

    /** True when the queue of the workspace and priority has no place left. */
    isClassFull(workspace: string, priority: Priority): boolean {
        return (this.workspaces.get(workspace)?.tickets[priority].length ?? 0) >= this.options.maxPerClass;
    }

    get isFull(): boolean {
        return this.size >= this.options.maxTotal;
    }

    push(ticket: Ticket): void {
        const { workspace, priority, cost } = ticket.request;
        const queue = this.workspaces.get(workspace) ?? {
            shares: new FairShares((key: Priority) => this.options.priorityWeights[key]),
            tickets: { high: [], normal: [], low: [] },
            cost: 0,
        };
        this.workspaces.set(workspace, queue);
        queue.tickets[priority].push(ticket);
        queue.cost += cost;
        this.cost += cost;
        this.size++;
    }

    /** Removes and returns the ticket to serve next. */
    take(): Ticket | undefined {
        const workspace = this.shares.next(this.workspaces.keys());
        const queue = workspace === undefined ? undefined : this.workspaces.get(workspace);
        const priority = queue?.shares.next(priorities.filter(key => queue.tickets[key].length > 0));
        const ticket = priority === undefined ? undefined : queue?.tickets[priority].shift();
        if (ticket !== undefined) {
            this.removed(ticket);
        }
        return ticket;
    }

    /** Charges a ticket that was taken and is dispatched; one that is refused costs its workspace nothing. */
    charge(ticket: Ticket): void {
        const { workspace, priority, cost } = ticket.request;
        this.shares.charge(workspace, cost);
        this.workspaces.get(workspace)?.shares.charge(priority, cost);
    }

    /**
     * Removes the ticket that should give way to a request when the queue is full: the newest one of the lowest
     * priority, of the workspace with the most queued work. Returns undefined when the request itself should be
     * refused: nothing of lower priority is queued, and no workspace has more queued work.
     */
    displace(workspace: string, priority: Priority): Ticket | undefined {
        const own = (this.workspaces.get(workspace)?.cost ?? 0) / this.options.workspaceWeight(workspace);
        for (const lower of priorities.slice(priorities.indexOf(priority)).reverse()) {
            let victim: WorkspaceQueue | undefined;
            let most = lower === priority ? own : -1;
            for (const [id, queue] of this.workspaces) {
                const cost = queue.cost / this.options.workspaceWeight(id);
                if (queue.tickets[lower].length > 0 && cost > most) {
                    most = cost;
                    victim = queue;
                }
            }
            const ticket = victim?.tickets[lower].pop();
            if (ticket !== undefined) {
                this.removed(ticket);
                return ticket;
            }
        }
        return undefined;
    }

    /** Work served before a new request of the workspace, when all workspaces with work get their share. */
    costAhead(workspace: string): number {
        const weight = this.options.workspaceWeight(workspace);
        const queue = this.workspaces.get(workspace);
        let active = queue === undefined ? weight : 0;
        for (const id of this.workspaces.keys()) {
            active += this.options.workspaceWeight(id);
        }
        return Math.min(this.cost, (queue?.cost ?? 0) * active / weight);
    }

    /** True when the workspace has less queued work than the mean of those with work, or none, by weight. */
    isBelowShare(workspace: string): boolean {
        let active = 0;
        for (const id of this.workspaces.keys()) {
            active += this.options.workspaceWeight(id);
        }
        const cost = this.workspaces.get(workspace)?.cost ?? 0;
        return cost === 0 || cost * active < this.cost * this.options.workspaceWeight(workspace);
    }

    private removed(ticket: Ticket): void {
        const { workspace, cost } = ticket.request;
        const queue = this.workspaces.get(workspace);
        this.size--;
        this.cost -= cost;
        if (queue !== undefined) {
            queue.cost -= cost;
            if (priorities.every(priority => queue.tickets[priority].length === 0)) {
                this.workspaces.delete(workspace);
            }
        }
    }
}
