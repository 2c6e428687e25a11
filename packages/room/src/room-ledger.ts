import { maxRows, maxServices, type RoomReport, type WorkRow } from "./room-messages.ts";

/**
 * Time for which work that the leader has not confirmed is reported again, in milliseconds. Older work says little about
 * the present load.
 */
const maxUnconfirmedMs = 2_000;

/** What the work of a request counts for. */
export interface WorkOwner {
    service: string;
    rank: number;
    workspace: string;
}

/** Work that a request is expected to cause. */
export interface ExpectedWork {
    /** Time for which it occupies a slot, in milliseconds. */
    slotMs: number;
    /** Prompt tokens that an engine has to read; 0 for a plain request. */
    promptTokens: number;
}

interface WorkSum extends ExpectedWork {
    rank: number;
    workspace: string;
    servedSlotMs: number;
    occupiedMs: number;
}

/** Work by service, and by rank and workspace within it. */
type WorkSums = Map<string, Map<string, WorkSum>>;

interface Chunk {
    startedAt: number;
    sums: WorkSums;
}

/** Work of the requests that have arrived at one ingress and that it has served, since the leader last heard of it. */
export class RoomLedger {
    private sums: WorkSums = new Map();
    private startedAt: number;
    /** Reported work that the leader has not confirmed, oldest first. */
    private unconfirmed: Chunk[] = [];

    constructor(
        now: number,
        /** Whether the endpoints of a service report their pace; others are left out of the reports. */
        private readonly reportsPace: (service: string) => boolean,
    ) {
        this.startedAt = now;
    }

    /** Counts a request that has arrived, whether it will be served or refused. */
    recordArrival(owner: WorkOwner, { slotMs, promptTokens }: ExpectedWork): void {
        const sum = findSum(this.sums, owner.service, owner);
        sum.slotMs += slotMs;
        sum.promptTokens += promptTokens;
    }

    /** Counts a request that was served: its slot time as it was expected on arrival, and as it was. */
    recordServed(owner: WorkOwner, expectedSlotMs: number, occupiedMs: number): void {
        const sum = findSum(this.sums, owner.service, owner);
        sum.servedSlotMs += expectedSlotMs;
        sum.occupiedMs += occupiedMs;
    }

    /** Returns the report for a sync that is sent now: all work that no leader has confirmed. */
    takeReport(now: number): RoomReport {
        const newest = { startedAt: this.startedAt, sums: this.sums };
        this.sums = new Map();
        this.startedAt = now;
        const keptMs = Math.max(maxUnconfirmedMs, now - newest.startedAt);
        this.unconfirmed = [...this.unconfirmed.filter(({ startedAt }) => now - startedAt <= keptMs), newest];
        const total: WorkSums = new Map();
        for (const { sums } of this.unconfirmed) {
            for (const [service, cells] of sums) {
                cells.forEach(cell => addTo(findSum(total, service, cell), cell));
            }
        }
        const services = [...total].filter(([service]) => this.reportsPace(service)).slice(0, maxServices);
        return {
            overMs: now - (this.unconfirmed[0]?.startedAt ?? now),
            services: Object.fromEntries(services.map(([service, cells]) => [service, toRows([...cells.values()])])),
        };
    }

    /**
     * Forgets the work that a leader has answered: that of the sync which began at `sentAt`, and of those before it. The
     * report of a sync is taken after its beginning, so that its end tells nothing; it starts with the sync before.
     */
    confirm(sentAt: number): void {
        this.unconfirmed = this.unconfirmed.filter(({ startedAt }) => startedAt >= sentAt);
    }
}

function findSum(sums: WorkSums, service: string, { rank, workspace }: Omit<WorkOwner, "service">): WorkSum {
    const cells = sums.get(service) ?? new Map<string, WorkSum>();
    sums.set(service, cells);
    const key = `${rank} ${workspace}`;
    const sum = cells.get(key)
        ?? { rank, workspace, slotMs: 0, promptTokens: 0, servedSlotMs: 0, occupiedMs: 0 };
    cells.set(key, sum);
    return sum;
}

function addTo(sum: WorkSum, added: WorkSum): void {
    sum.slotMs += added.slotMs;
    sum.promptTokens += added.promptTokens;
    sum.servedSlotMs += added.servedSlotMs;
    sum.occupiedMs += added.occupiedMs;
}

/** Returns the rows of a report. Small workspaces beyond the largest number of rows are summed by rank. */
function toRows(cells: readonly WorkSum[]): WorkRow[] {
    const descending = [...cells].sort((a, b) => b.slotMs + b.occupiedMs - a.slotMs - a.occupiedMs);
    const rest: WorkSums = new Map();
    for (const cell of descending.splice(maxRows)) {
        addTo(findSum(rest, "", { rank: cell.rank, workspace: "" }), cell);
    }
    return [...descending, ...rest.get("")?.values() ?? []].map(sum => [
        sum.rank,
        sum.workspace,
        Math.round(sum.slotMs),
        Math.round(sum.promptTokens),
        Math.round(sum.servedSlotMs),
        Math.round(sum.occupiedMs),
    ]);
}
