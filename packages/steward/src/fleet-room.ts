import type { SyncRequest } from "@lentilramp/exchange";
import {
    type AdmissionLevel,
    type AdmissionLevels,
    lowestShare,
    RoomAllocator,
    type ServiceCapacity,
    type WorkRate,
    type WorkRow,
} from "@lentilramp/room";
import type { EventLog } from "@lentilramp/runtime";

/** Shortest time between two decisions, in milliseconds. */
const minDecisionMs = 250;
/** Sync interval up to which there is one decision in each, in milliseconds. */
const shortIntervalMs = 500;
/** Decisions in a longer sync interval. */
const decisionsPerInterval = 4;
/** Shortest time that a report can cover, in milliseconds; the rate of a shorter one says nothing. */
const minReportMs = 50;
/** Change of the lowest admitted share that is logged. */
const loggedChange = 0.15;
/** Rates of a row in `ReportedRows`. */
const ratesPerRow = 4;

/**
 * Work of one rank and workspace of a service. The reports of all ingresses refer to the same object, so that a sum over
 * them looks up no names.
 */
interface WorkCell {
    readonly rank: number;
    readonly workspace: string;
    sum: WorkRate | undefined;
}

/** Cells by rank and workspace. */
type WorkCells = Map<number, Map<string, WorkCell>>;

/**
 * Rows of a report. The rates of all rows are in one array: a large fleet has 100,000 rows, and an object with four
 * fractional numbers is five objects on the heap.
 */
interface ReportedRows {
    cells: readonly WorkCell[];
    /** Slots, prompt tokens per millisecond, served and occupied slots of each cell, in the order of `cells`. */
    rates: readonly number[];
}

/** Work of one ingress, by service. */
type IngressRates = ReadonlyMap<string, ReportedRows>;

interface ServiceState {
    allocator: RoomAllocator;
    /** Cells of the reports that are held. */
    cells: WorkCells;
    level: AdmissionLevel | undefined;
    /** Lowest share of the last log line; undefined while there is no level. */
    loggedShare: number | undefined;
}

/** What a decision needs to know of the fleet. */
export interface RoomConditions {
    /** Returns the names of the ingresses in contact; asked for once in a decision, since a large fleet has many. */
    live: () => ReadonlySet<string>;
    /** Interval between two syncs of one ingress, in milliseconds. */
    intervalMs: number;
    capacityOf: (service: string) => ServiceCapacity;
}

/** Sums the work that ingresses report, and decides on the admission levels of the fleet. Used by the leader. */
export class FleetRoom {
    private readonly reported = new Map<string, IngressRates>();
    /** Work by the demand of ingresses that do not report it by rank and workspace. */
    private readonly demanded = new Map<string, ReadonlyMap<string, Pick<WorkRate, "slots" | "tokensPerMs">>>();
    private readonly services = new Map<string, ServiceState>();
    private decidedAt = -Infinity;

    constructor(private readonly log: EventLog | undefined) {}

    /** Replaces what is known of the work of an ingress by its newest report. */
    record({ ingress: { name }, room, demand, elapsedMs }: SyncRequest): void {
        const overMs = Math.max(minReportMs, room?.overMs ?? 0);
        this.reported.set(
            name,
            new Map(
                Object.entries(room?.services ?? {}).map(([service, rows]) => {
                    const { cells } = this.stateOf(service);
                    return [service, toReportedRows(rows, overMs, cells)];
                }),
            ),
        );
        const demandMs = Math.max(minReportMs, elapsedMs);
        this.demanded.set(
            name,
            new Map(
                Object.entries(demand).map(([service, { placeMs, unreadTokens }]) => [service, {
                    slots: placeMs / demandMs,
                    tokensPerMs: unreadTokens / demandMs,
                }]),
            ),
        );
    }

    /** Returns the levels in force, after a new decision if one is due. */
    levels(now: number, conditions: () => RoomConditions): AdmissionLevels {
        if (now - this.decidedAt >= minDecisionMs) {
            const known = conditions();
            const { intervalMs } = known;
            const decisionMs = intervalMs <= shortIntervalMs
                ? intervalMs
                : Math.max(minDecisionMs, intervalMs / decisionsPerInterval);
            if (now - this.decidedAt >= decisionMs) {
                this.decidedAt = now;
                this.decide(known, now);
            }
        }
        const levels: [string, AdmissionLevel][] = [];
        for (const [service, { level }] of this.services) {
            if (level !== undefined && level.ranks.length + level.workspaces.length > 0) {
                levels.push([service, level]);
            }
        }
        return Object.fromEntries(levels);
    }

    private decide({ live, intervalMs, capacityOf }: RoomConditions, now: number): void {
        const names = live();
        for (const name of this.reported.keys()) {
            if (!names.has(name)) {
                this.reported.delete(name);
                this.demanded.delete(name);
            }
        }
        const reporting = new Set([...this.reported.values()].flatMap(rates => [...rates.keys()]));
        for (const [service, state] of this.services) {
            state.level = state.allocator.observe(this.sumRates(service, state), capacityOf(service), now, intervalMs);
            this.logChange(service, state);
            if (!reporting.has(service) && state.level === undefined) {
                this.services.delete(service);
            }
        }
    }

    private stateOf(service: string): ServiceState {
        let state = this.services.get(service);
        if (state === undefined) {
            state = { allocator: new RoomAllocator(), cells: new Map(), level: undefined, loggedShare: undefined };
            this.services.set(service, state);
        }
        return state;
    }

    /**
     * Returns the work of all ingresses by rank and workspace. It is summed anew for each decision: that costs a few
     * additions for each report, and sums that are kept would gather rounding errors.
     */
    private sumRates(service: string, { cells }: ServiceState): WorkRate[] {
        const sums: WorkRate[] = [];
        cells.forEach(byWorkspace => byWorkspace.forEach(cell => cell.sum = undefined));
        const unknown: Pick<WorkRate, "slots" | "tokensPerMs">[] = [];
        for (const [name, reported] of this.reported) {
            const rates = reported.get(service);
            const demand = this.demanded.get(name)?.get(service);
            if (rates !== undefined) {
                addRows(rates, sums);
            }
            else if (demand !== undefined) {
                unknown.push(demand);
            }
        }
        deleteUnused(cells);
        // Ingresses that report only their demand obey no level. Their work counts as the least urgent, so that it does
        // not displace the urgent work of the others.
        const leastUrgent = sums.reduce((rank, sum) => Math.max(rank, sum.rank), 0);
        for (const { slots, tokensPerMs } of unknown) {
            addRows({ cells: [findCell(cells, leastUrgent, "")], rates: [slots, tokensPerMs, 0, 0] }, sums);
        }
        return sums;
    }

    /** Logs a level that begins, changes much or ends, with the inputs of the decision. */
    private logChange(service: string, state: ServiceState): void {
        const { level, loggedShare, allocator: { inputs } } = state;
        const share = level === undefined ? undefined : lowestShare(level);
        const changed = share === undefined || loggedShare === undefined
            ? share !== loggedShare
            : Math.abs(share - loggedShare) >= loggedChange;
        if (!changed) {
            return;
        }
        state.loggedShare = share;
        const fields = {
            service,
            lowest: share?.toFixed(3),
            ranks: level?.ranks.map(([rank, part]) => `${rank}:${part}`).join() || undefined,
            cutWorkspaces: level?.workspaces.length,
            clearMs: level?.clearMs,
            pressure: inputs?.pressure.toFixed(2),
            resource: inputs?.resource,
            offeredSlots: Math.round(inputs?.offeredSlots ?? 0),
            slots: Math.round(inputs?.capacity.slots ?? 0),
            offeredTokensPerMs: Math.round(inputs?.offeredTokensPerMs ?? 0),
            tokensPerMs: inputs?.capacity.tokensPerMs === undefined
                ? undefined
                : Math.round(inputs.capacity.tokensPerMs),
            correction: inputs?.correction.toFixed(2),
            ingresses: this.reported.size,
        };
        if (share === undefined) {
            this.log?.info("room.level-ended", fields);
        }
        else if (loggedShare === undefined) {
            this.log?.info("room.level-begun", fields);
        }
        else {
            this.log?.info("room.level-changed", fields);
        }
    }
}

/** Adds rows to the sums of their cells; a row that begins a sum appends it to `sums`. */
function addRows({ cells, rates }: ReportedRows, sums: WorkRate[]): void {
    let i = 0;
    for (const cell of cells) {
        const slots = rates[i] ?? 0;
        const tokensPerMs = rates[i + 1] ?? 0;
        const servedSlots = rates[i + 2] ?? 0;
        const occupiedSlots = rates[i + 3] ?? 0;
        i += ratesPerRow;
        const { sum } = cell;
        if (sum === undefined) {
            const { rank, workspace } = cell;
            cell.sum = { rank, workspace, slots, tokensPerMs, servedSlots, occupiedSlots };
            sums.push(cell.sum);
        }
        else {
            sum.slots += slots;
            sum.tokensPerMs += tokensPerMs;
            sum.servedSlots += servedSlots;
            sum.occupiedSlots += occupiedSlots;
        }
    }
}

function toReportedRows(rows: readonly WorkRow[], overMs: number, cells: WorkCells): ReportedRows {
    const rowCells: WorkCell[] = [];
    const rates: number[] = [];
    for (const [rank, workspace, slotMs, promptTokens, servedSlotMs, occupiedMs] of rows) {
        rowCells.push(findCell(cells, rank, workspace));
        rates.push(slotMs / overMs, promptTokens / overMs, servedSlotMs / overMs, occupiedMs / overMs);
    }
    return { cells: rowCells, rates };
}

function findCell(cells: WorkCells, rank: number, workspace: string): WorkCell {
    let byWorkspace = cells.get(rank);
    if (byWorkspace === undefined) {
        byWorkspace = new Map();
        cells.set(rank, byWorkspace);
    }
    let cell = byWorkspace.get(workspace);
    if (cell === undefined) {
        cell = { rank, workspace, sum: undefined };
        byWorkspace.set(workspace, cell);
    }
    return cell;
}

/** Deletes the cells that no report refers to any more. */
function deleteUnused(cells: WorkCells): void {
    for (const [rank, byWorkspace] of cells) {
        for (const [workspace, { sum }] of byWorkspace) {
            if (sum === undefined) {
                byWorkspace.delete(workspace);
            }
        }
        if (byWorkspace.size === 0) {
            cells.delete(rank);
        }
    }
}
