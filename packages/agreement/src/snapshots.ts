import { entriesBetween, lastIndex, membershipAt, termAt } from "./log.ts";
import type { StepContext } from "./step-context.ts";

/** Stores a snapshot that the caller has taken, and drops the entries before it except the retained ones. */
export function handleSnapshotTaken(ctx: StepContext, index: number, machineState: string): void {
    const { state, options } = ctx;
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
    ctx.write({ type: "save-snapshot", snapshot: state.snapshot, base, keepLog: true }, false);
}
