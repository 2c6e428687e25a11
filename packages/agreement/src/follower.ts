import { entriesBetween, lastIndex, termAt } from "./log.ts";
import type { AppendRequest, Message, SnapshotRequest } from "./messages.ts";
import { becomeFollower } from "./roles.ts";
import { SafetyError, type StepContext } from "./step-context.ts";

function acceptLeader(core: StepContext, req: Message): void {
    if (core.state.role === "leader") {
        throw new SafetyError(`${core.id} and ${req.from} both lead term ${req.term}`);
    }
    becomeFollower(core, req.term, req.from);
    core.state.lastLeaderContactAt = core.now;
    core.state.campaignCount = 0;
    core.state.electionDeadline = core.randomElectionDeadline();
}

function reply(core: StepContext, req: AppendRequest | SnapshotRequest, ok: boolean, index: number): void {
    core.sendAfterSync(req.from, { type: "append-reply", ok, index, round: req.round, sentAt: req.sentAt });
}

/** Tells a deposed leader the newer term. */
export function rejectStaleLeader(core: StepContext, req: AppendRequest | SnapshotRequest): void {
    reply(core, req, false, 0);
}

export function handleAppend(core: StepContext, req: AppendRequest): void {
    const { state } = core;
    acceptLeader(core, req);
    const known = req.prevIndex <= state.commitIndex || termAt(state, req.prevIndex) === req.prevTerm;
    const overlaps = lastIndex(state) >= req.prevIndex && !core.enforces("append-checks-previous");
    if (!known && !overlaps) {
        reply(core, req, false, retryIndex(core, req.prevIndex));
        return;
    }
    const end = req.prevIndex + req.entries.length;
    const differing = req.entries.findIndex(({ index, term }) =>
        index > state.commitIndex && termAt(state, index) !== term
    );
    if (differing !== -1) {
        core.appendEntries(req.entries.slice(differing));
    }
    core.commitTo(Math.min(req.commitIndex, end));
    reply(core, req, true, end);
}

/** Where the leader should try next: before the term of the entry that differs. */
function retryIndex(core: StepContext, prevIndex: number): number {
    const { state } = core;
    const last = lastIndex(state);
    if (last < prevIndex) {
        return last;
    }
    const differing = termAt(state, prevIndex);
    let index = prevIndex - 1;
    while (index > state.commitIndex && termAt(state, index) === differing) {
        index--;
    }
    return index;
}

export function handleSnapshot(core: StepContext, req: SnapshotRequest): void {
    const { state } = core;
    const { snapshot } = req;
    acceptLeader(core, req);
    if (snapshot.index <= state.commitIndex && core.enforces("snapshot-above-commit")) {
        reply(core, req, true, snapshot.index);
        return;
    }
    const keepLog = termAt(state, snapshot.index) === snapshot.term;
    const base = { index: snapshot.index, term: snapshot.term };
    state.entries = keepLog ? entriesBetween(state, snapshot.index + 1, lastIndex(state)) : [];
    state.base = base;
    state.snapshot = snapshot;
    state.requestedSnapshotIndex = snapshot.index;
    state.commitIndex = snapshot.index;
    core.write({ type: "save-snapshot", snapshot, base, keepLog }, true);
    state.durableIndex = keepLog ? state.durableIndex : 0;
    state.unsyncedWrites = keepLog ? state.unsyncedWrites : [];
    state.unsyncedWrites.push({ sequence: state.writeSequence, index: snapshot.index });
    core.refreshMembership();
    core.effects.push({ type: "restore", snapshot });
    reply(core, req, true, snapshot.index);
}
