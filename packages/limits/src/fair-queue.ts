import type { Priority, Ticket } from "./admission-policy.ts";
import { priorities } from "./admission-policy.ts";
import { FairShares } from "./fair-shares.ts";

export interface FairQueueOptions {
    /** Largest number of queued tickets per workspace and priority. */
    maxPerClass: number;
    maxTotal: number;
    /** Weights of the priorities within a workspace; a low priority is served slowly but never starves. */
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

/** Bounded queue with weighted fair queueing between workspaces and between the priorities within each workspace. */
export class FairQueue {
    size = 0;
    cost = 0;
    private readonly shares: FairShares<string>;
    private readonly workspaces = new Map<string, WorkspaceQueue>();

    constructor(private readonly options: FairQueueOptions = fairQueueDefaults) {
        this.shares = new FairShares(options.workspaceWeight);
    }

    /** Whether the queue of the workspace and priority is full. */
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
            this.onRemoved(ticket);
        }
        return ticket;
    }

    /** Charges the workspace for a taken ticket that is dispatched. A ticket that is refused is not charged. */
    charge(ticket: Ticket): void {
        const { workspace, priority, cost } = ticket.request;
        this.shares.charge(workspace, cost);
        this.workspaces.get(workspace)?.shares.charge(priority, cost);
    }

    /**
     * Removes and returns the ticket to shed in favor of a request when the queue is full: the newest ticket of the
     * lowest priority, from the workspace with the most queued work by weight. Returns undefined if the request itself
     * should be refused, because no ticket of lower priority is queued, and among those of the same priority none
     * belongs to a workspace with more queued work.
     */
    displace(workspace: string, priority: Priority): Ticket | undefined {
        const ownWeightedCost = (this.workspaces.get(workspace)?.cost ?? 0) / this.options.workspaceWeight(workspace);
        for (const victimPriority of priorities.slice(priorities.indexOf(priority)).reverse()) {
            let victimQueue: WorkspaceQueue | undefined;
            let maxWeightedCost = victimPriority === priority ? ownWeightedCost : -1;
            for (const [id, queue] of this.workspaces) {
                const weightedCost = queue.cost / this.options.workspaceWeight(id);
                if (queue.tickets[victimPriority].length > 0 && weightedCost > maxWeightedCost) {
                    maxWeightedCost = weightedCost;
                    victimQueue = queue;
                }
            }
            const ticket = victimQueue?.tickets[victimPriority].pop();
            if (ticket !== undefined) {
                this.onRemoved(ticket);
                return ticket;
            }
        }
        return undefined;
    }

    /** Returns the queued cost served before a new request of the workspace, assuming fair shares. */
    costAhead(workspace: string): number {
        const weight = this.options.workspaceWeight(workspace);
        const queue = this.workspaces.get(workspace);
        let activeWeight = queue === undefined ? weight : 0;
        for (const id of this.workspaces.keys()) {
            activeWeight += this.options.workspaceWeight(id);
        }
        return Math.min(this.cost, (queue?.cost ?? 0) * activeWeight / weight);
    }

    /** Whether the workspace has no queued work, or less by weight than the mean of the workspaces with queued work. */
    isBelowShare(workspace: string): boolean {
        let activeWeight = 0;
        for (const id of this.workspaces.keys()) {
            activeWeight += this.options.workspaceWeight(id);
        }
        const cost = this.workspaces.get(workspace)?.cost ?? 0;
        return cost === 0 || cost * activeWeight < this.cost * this.options.workspaceWeight(workspace);
    }

    private onRemoved(ticket: Ticket): void {
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
