import { entriesBetween, lastIndex, termAt } from "./log.ts";
import type { AppendRequest, Message, SnapshotRequest } from "./messages.ts";
import { becomeFollower } from "./roles.ts";
import { SafetyError, type StepContext } from "./step-context.ts";

function acceptLeader(ctx: StepContext, req: Message): void {
    if (ctx.state.role === "leader") {
        throw new SafetyError(
            `${ctx.id} and ${req.from} are both leaders of term ${req.term}, which can have only one`,
        );
    }
    becomeFollower(ctx, req.term, req.from);
    ctx.state.lastLeaderContactAt = ctx.now;
    ctx.state.campaignCount = 0;
    ctx.state.electionDeadline = ctx.randomElectionDeadline();
}

function sendAppendReply(ctx: StepContext, req: AppendRequest | SnapshotRequest, ok: boolean, index: number): void {
    ctx.sendAfterSync(req.from, { type: "append-reply", ok, index, round: req.round, sentAt: req.sentAt });
}

/** Rejects a request of a deposed leader; the reply contains the newer term. */
export function rejectStaleLeader(ctx: StepContext, req: AppendRequest | SnapshotRequest): void {
    sendAppendReply(ctx, req, false, 0);
}

export function handleAppend(ctx: StepContext, req: AppendRequest): void {
    const { state } = ctx;
    acceptLeader(ctx, req);
    const previousMatches = req.prevIndex <= state.commitIndex || termAt(state, req.prevIndex) === req.prevTerm;
    const skipsPreviousCheck = lastIndex(state) >= req.prevIndex && !ctx.enforces("append-checks-previous");
    if (!previousMatches && !skipsPreviousCheck) {
        sendAppendReply(ctx, req, false, retryIndex(ctx, req.prevIndex));
        return;
    }
    const endIndex = req.prevIndex + req.entries.length;
    const firstConflict = req.entries.findIndex(({ index, term }) =>
        index > state.commitIndex && termAt(state, index) !== term
    );
    if (firstConflict !== -1) {
        ctx.appendEntries(req.entries.slice(firstConflict));
    }
    ctx.commitTo(Math.min(req.commitIndex, endIndex));
    sendAppendReply(ctx, req, true, endIndex);
}

/**
 * Returns the index of the entry after which the leader should retry: the last entry when the log is too short, or else
 * the last one before the entries of the conflicting term.
 */
function retryIndex(ctx: StepContext, prevIndex: number): number {
    const { state } = ctx;
    const last = lastIndex(state);
    if (last < prevIndex) {
        return last;
    }
    const conflictingTerm = termAt(state, prevIndex);
    let index = prevIndex - 1;
    while (index > state.commitIndex && termAt(state, index) === conflictingTerm) {
        index--;
    }
    return index;
}

export function handleSnapshot(ctx: StepContext, req: SnapshotRequest): void {
    const { state } = ctx;
    const { snapshot } = req;
    acceptLeader(ctx, req);
    if (snapshot.index <= state.commitIndex && ctx.enforces("snapshot-above-commit")) {
        sendAppendReply(ctx, req, true, snapshot.index);
        return;
    }
    const keepLog = termAt(state, snapshot.index) === snapshot.term;
    const base = { index: snapshot.index, term: snapshot.term };
    state.entries = keepLog ? entriesBetween(state, snapshot.index + 1, lastIndex(state)) : [];
    state.base = base;
    state.snapshot = snapshot;
    state.requestedSnapshotIndex = snapshot.index;
    state.charsSinceSnapshot = 0;
    state.commitIndex = snapshot.index;
    ctx.write({ type: "save-snapshot", snapshot, base, keepLog }, true);
    state.durableIndex = keepLog ? state.durableIndex : 0;
    state.unsyncedWrites = keepLog ? state.unsyncedWrites : [];
    state.unsyncedWrites.push({ sequence: state.writeSequence, index: snapshot.index });
    ctx.refreshMembership();
    ctx.effects.push({ type: "restore", snapshot });
    sendAppendReply(ctx, req, true, snapshot.index);
}
