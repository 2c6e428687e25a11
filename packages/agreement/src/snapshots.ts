import { entriesBetween, entryAt, entryChars, lastIndex, membershipAt, termAt } from "./log.ts";
import type { StepContext } from "./step-context.ts";

/** Stores a snapshot that the caller has taken, and drops the entries before it except the retained ones. */
export function handleSnapshotTaken(ctx: StepContext, index: number, machineState: string): void {
    const { state } = ctx;
    const term = termAt(state, index);
    if (index > state.commitIndex || index <= state.snapshot.index || term === undefined) {
        return;
    }
    const { membership } = membershipAt(state, index);
    const baseIndex = firstRetainedIndex(ctx, index) - 1;
    const base = { index: baseIndex, term: termAt(state, baseIndex) ?? term };
    const entries = entriesBetween(state, baseIndex + 1, lastIndex(state));
    state.snapshot = { index, term, membership, state: machineState };
    state.entries = entries;
    state.base = base;
    ctx.write({ type: "save-snapshot", snapshot: state.snapshot, base, keepLog: true }, false);
}

/** Returns the index of the first entry that is retained beside a snapshot at `snapshotIndex`. */
function firstRetainedIndex({ state, options }: StepContext, snapshotIndex: number): number {
    const earliest = Math.max(state.base.index, snapshotIndex - options.retainedEntries) + 1;
    let index = snapshotIndex + 1;
    for (let chars = 0; index > earliest; index--) {
        const entry = entryAt(state, index - 1);
        chars += entry === undefined ? 0 : entryChars(entry);
        if (chars > options.retainedChars) {
            break;
        }
    }
    return index;
}
