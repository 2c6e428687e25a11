import { entriesBetween, lastIndex, membershipAt, termAt } from "./log.ts";
import type { StepContext } from "./step-context.ts";

/** Stores the snapshot that the caller took and drops the entries that it makes unnecessary. */
export function handleSnapshotTaken(core: StepContext, index: number, machineState: string): void {
    const { state, options } = core;
    const term = termAt(state, index);
    if (index > state.commitIndex || index <= state.snapshot.index || term === undefined) {
        return;
    }
    const { membership } = membershipAt(state, index);
    const baseIndex = Math.max(state.base.index, index - options.retainedEntries);
    const base = { index: baseIndex, term: termAt(state, baseIndex) ?? term };
    const entries = entriesBetween(state, baseIndex + 1, lastIndex(state));
    state.snapshot = { index, term, membership, state: machineState };
    state.entries = entries;
    state.base = base;
    core.write({ type: "save-snapshot", snapshot: state.snapshot, base, keepLog: true }, false);
}
