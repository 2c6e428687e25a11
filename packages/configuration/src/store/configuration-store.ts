import { Err, Ok, type Result } from "ts-results-es";
import { applyChange } from "../change/apply-change.ts";
import type { Change, Increment } from "../change/change.ts";
import { findItem, lifecycleChange } from "../rules/listed-items.ts";
import { allRules, type RuleSwitches } from "../rules/rule-switches.ts";
import type { Configuration } from "../schema/index.ts";
import { applyHandOver } from "./apply-hand-over.ts";
import { applyPropose } from "./apply-propose.ts";
import { type CommandResult, refused } from "./command-result.ts";
import type { Command, DrainCommand, HandOverCommand, ProposeCommand } from "./command.ts";
import { DutyTable } from "./duty-table.ts";
import { IncrementHistory } from "./increment-history.ts";
import { OperationResults } from "./operation-results.ts";
import { advanceStateTime } from "./state-time.ts";
import { emptyState, snapshotFormat, type StoreState, storeStateSchema } from "./state.ts";

export interface ConfigurationStoreOptions {
    /** Number of increments retained for subscribers. */
    historyLimit?: number;
    /** Safety rules; only tests turn any off. */
    switches?: RuleSwitches;
}

/** Reason why a snapshot was refused. A refused snapshot doesn't change the state. */
export interface RestoreError {
    kind: "format" | "older";
    message: string;
}

/**
 * Replicated configuration state. It is a deterministic state machine: stores that apply the same commands at the same
 * indexes have the same state. Clock assumptions: instants in commands come from the clock of the leader that proposes
 * them, and the rate error of the clocks of leaders and lease holders is at most 1%. Clocks need not be synchronized,
 * except that issue times of claim generations are compared with the wall clock of the leader.
 */
export class ConfigurationStore {
    private state: StoreState = emptyState();
    private results = new OperationResults();
    private duties: DutyTable;
    private readonly history: IncrementHistory;
    private readonly switches: RuleSwitches;

    constructor(options: ConfigurationStoreOptions = {}) {
        this.history = new IncrementHistory(options.historyLimit);
        this.switches = options.switches ?? allRules;
        this.duties = new DutyTable([], [], this.switches);
    }

    get configuration(): Configuration {
        return this.state.configuration;
    }

    get version(): number {
        return this.state.configuration.version;
    }

    /** Index of the last applied command. */
    get index(): number {
        return this.state.index;
    }

    /**
     * Applies the command that the group committed at `index` and returns its result. A resent operation gets its first
     * result and changes nothing. Throws RangeError when `index` isn't above the last applied index.
     */
    apply(command: Command, index: number): CommandResult {
        if (index <= this.state.index) {
            throw new RangeError(`command index ${index} was already applied; the last index is ${this.state.index}`);
        }
        this.state.index = index;
        this.state.time = advanceStateTime(this.state.time, command.time);
        const operationId = "operationId" in command ? command.operationId : undefined;
        const firstResult = operationId === undefined ? undefined : this.results.find(operationId);
        if (firstResult !== undefined) {
            return firstResult;
        }
        const result = this.execute(command);
        if (operationId !== undefined) {
            this.results.record(operationId, result, this.state.time.elapsed);
        }
        return result;
    }

    /** Returns the increments from `version` to the newest version, or undefined when a full transfer is needed. */
    incrementsSince(version: number): Increment[] | undefined {
        return this.history.since(version, this.version);
    }

    /** Returns a copy of the replicated state as plain data. */
    snapshot(): StoreState {
        return structuredClone({
            ...this.state,
            duties: this.duties.list,
            orders: [...this.duties.orders],
            results: this.results.toArray(),
        });
    }

    /**
     * Replaces the state with a snapshot. Refuses a snapshot that is older than the state or than `committedIndex`, the
     * commit index that this voter has synced to disk, and an invalid snapshot or one of another format. Clears the
     * history of increments, so that subscribers with an older version get a full transfer.
     */
    restore(snapshot: unknown, committedIndex = 0): Result<void, RestoreError> {
        const format = (snapshot as { format?: unknown; } | undefined)?.format;
        if (format !== snapshotFormat) {
            const message = `snapshot format ${String(format)} is not supported; expected format ${snapshotFormat}`;
            return Err({ kind: "format", message });
        }
        const parsed = storeStateSchema.safeParse(snapshot);
        if (!parsed.success) {
            return Err({ kind: "format", message: `snapshot is invalid: ${parsed.error.message}` });
        }
        const minIndex = Math.max(committedIndex, this.state.index);
        if (parsed.data.index < minIndex) {
            const message = `snapshot index ${parsed.data.index} is below the committed index ${minIndex}`;
            return Err({ kind: "older", message });
        }
        this.state = parsed.data;
        this.duties = new DutyTable(parsed.data.duties, parsed.data.orders, this.switches);
        this.results = new OperationResults(parsed.data.results);
        this.history.clear();
        return Ok.EMPTY;
    }

    /** Returns the section for the state dump, without the configuration. */
    dump(): Record<string, unknown> {
        const { index, time, handOvers } = this.state;
        return {
            version: this.version,
            index,
            time,
            handOvers,
            duties: this.duties.list,
            orders: this.duties.orders,
            keptResults: this.results.size,
        };
    }

    private execute(command: Command): CommandResult {
        const now = this.state.time.elapsed;
        switch (command.type) {
            case "propose":
                return this.propose(command);
            case "drain-endpoint":
                return this.drain(command);
            case "hand-over":
                return this.handOver(command);
            case "duty-acquire":
                return this.duties.acquire(command, now, this.version);
            case "duty-renew":
                return this.duties.renew(command, now, this.version);
            case "duty-release":
                return this.duties.release(command, now, this.version);
            case "order-issue":
                if (findItem(this.configuration, "endpoint", command.endpoint) === undefined) {
                    return refused(
                        "not-found",
                        this.version,
                        `endpoint "${command.endpoint}" is not in the configuration`,
                    );
                }
                return this.duties.issueOrder(command, now, this.version);
        }
    }

    private propose(command: ProposeCommand): CommandResult {
        const proposal = applyPropose(this.configuration, this.state.handOvers, command, this.switches);
        return proposal.accepted ? this.applyAsNextVersion(proposal.change) : proposal.result;
    }

    private drain(command: DrainCommand): CommandResult {
        const item = findItem(this.configuration, "endpoint", command.endpoint);
        if (item === undefined) {
            return refused("not-found", this.version, `endpoint "${command.endpoint}" is not in the configuration`);
        }
        if (item.lifecycle === "draining" || item.lifecycle === "released") {
            return { ok: true, version: this.version };
        }
        this.state.drainedAt[`endpoint/${item.id}`] = this.state.time.elapsed;
        const handOver = this.state.handOvers.find(({ kind, id }) => kind === "endpoint" && id === item.id);
        if (handOver !== undefined) {
            handOver.step = "draining";
        }
        return this.applyAsNextVersion(lifecycleChange(this.configuration, "endpoint", item.id, "draining"));
    }

    private handOver(command: HandOverCommand): CommandResult {
        const { kind, id } = command;
        const key = `${kind}/${id}`;
        const now = this.state.time.elapsed;
        const drainedAt = this.state.drainedAt[key];
        const outcome = applyHandOver(command, {
            configuration: this.configuration,
            openHandOver: this.state.handOvers.find(handOver => handOver.kind === kind && handOver.id === id),
            drainingMs: drainedAt === undefined ? undefined : now - drainedAt,
            switches: this.switches,
        });
        if (!outcome.accepted) {
            return outcome.result;
        }
        const others = this.state.handOvers.filter(handOver => handOver.kind !== kind || handOver.id !== id);
        this.state.handOvers = outcome.next === undefined ? others : [...others, outcome.next];
        if (command.step === "draining") {
            this.state.drainedAt[key] ??= now;
        }
        return this.applyAsNextVersion(outcome.change);
    }

    /** Applies a change as the next version of the configuration. */
    private applyAsNextVersion(change: Change | undefined): CommandResult {
        if (change !== undefined) {
            const from = this.version;
            this.state.configuration = applyChange(this.configuration, change, from + 1);
            this.history.add({ from, to: from + 1, change });
            this.pruneDrainedAt();
        }
        return { ok: true, version: this.version };
    }

    /** Removes the drain instants of items that are no longer in the configuration. */
    private pruneDrainedAt(): void {
        const listed = Object.entries(this.state.drainedAt).filter(([key]) => {
            const separator = key.indexOf("/");
            const kind = key.slice(0, separator) as HandOverCommand["kind"];
            return findItem(this.configuration, kind, key.slice(separator + 1)) !== undefined;
        });
        this.state.drainedAt = Object.fromEntries(listed);
    }
}
