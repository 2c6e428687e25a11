import {
    handleHandOver,
    handlePreVote,
    handlePreVoteReply,
    handleVote,
    handleVoteReply,
    withholdsVotes,
} from "./election.ts";
import { handleAppend, handleSnapshot, rejectStaleLeader } from "./follower.ts";
import { requestCampaign, startHandOver } from "./hand-over.ts";
import { lastIndex } from "./log.ts";
import { isQuorum } from "./membership.ts";
import type { Message } from "./messages.ts";
import { type AgreementOptions, resolveOptions } from "./options.ts";
import { handleMembershipChange, handlePropose } from "./proposals.ts";
import { extendLease, handleRead } from "./reads.ts";
import { advanceCommit, broadcast, handleAppendReply } from "./replication.ts";
import { becomeFollower, recordVote, requestVotes, startPreVote } from "./roles.ts";
import type { Rule } from "./rules.ts";
import { handleSnapshotTaken } from "./snapshots.ts";
import { initialState, type NodeState } from "./state.ts";
import { StepContext } from "./step-context.ts";
import { StorageRollbackError } from "./stored-state.ts";
import type { Effect, Input, NodeId, StoredState } from "./types.ts";

export interface NodeSettings {
    readonly id: NodeId;
    readonly stored: StoredState;
    readonly options?: Partial<AgreementOptions>;
    /** Returns a number in [0, 1); spreads the election timeouts. */
    readonly random: () => number;
    /** The instant of the start, on the clock whose instants `step` is given. */
    readonly now: number;
}

/**
 * One member of an agreement group. A pure state machine: `step` takes an input and the current instant in
 * milliseconds and returns the effects that the caller must carry out, in order. Throws SafetyError when a
 * committed entry would have to be undone, after which the node must not be used any more.
 */
export class AgreementNode {
    readonly id: NodeId;
    readonly options: AgreementOptions;
    protected state: NodeState;
    private readonly storedCommitIndex: number;
    private readonly random: () => number;

    /** Throws OptionsError, or StorageRollbackError when the storage has lost synced data. */
    constructor(settings: NodeSettings) {
        const { stored } = settings;
        this.id = settings.id;
        this.options = resolveOptions(settings.options);
        this.random = settings.random;
        this.storedCommitIndex = stored.commitIndex;
        this.state = initialState(stored, settings.now);
        if (lastIndex(this.state) < stored.commitIndex) {
            throw new StorageRollbackError(lastIndex(this.state), stored.commitIndex);
        }
    }

    /** First effects after a start: the state machine as of the stored commit index. */
    start(): Effect[] {
        return this.run(core => {
            const { state } = core;
            if (!core.enforces("promise-survives-restart")) {
                state.lastLeaderContactAt = core.now - core.options.electionTimeoutMinMs;
            }
            core.refreshMembership();
            state.electionDeadline = core.randomElectionDeadline();
            if (state.snapshot.index > 0) {
                core.effects.push({ type: "restore", snapshot: state.snapshot });
            }
            core.commitTo(this.storedCommitIndex);
        });
    }

    /** `now` is in milliseconds on a clock that never goes back; an earlier instant counts as the latest seen. */
    step(input: Input, now: number): Effect[] {
        this.state.now = Math.max(this.state.now, now);
        // After a storage failure requests are still answered, namely refused; everything else is ignored.
        const ignored = this.state.storageFailed && !("id" in input);
        return ignored ? [] : this.run(core => dispatch(core, input));
    }

    /** The instant at which the next tick is due; Infinity after a storage failure. */
    get nextTickAt(): number {
        if (this.state.storageFailed) {
            return Infinity;
        }
        const { role, nextHeartbeatAt: heartbeatDue, electionDeadline, handOver, leaseUntil } = this.state;
        return role === "leader"
            ? Math.min(heartbeatDue, electionDeadline, handOver?.deadline ?? Infinity, leaseUntil ?? Infinity)
            : role === "follower"
            ? electionDeadline
            : Math.min(electionDeadline, heartbeatDue);
    }

    /** Summary for dumps and metrics. */
    get status() {
        const { role, term, leader, commitIndex, snapshot, membership, leaseUntil, storageFailed } = this.state;
        return {
            role,
            term,
            leader,
            commitIndex,
            lastIndex: lastIndex(this.state),
            logEntries: this.state.entries.length,
            snapshotIndex: snapshot.index,
            membership,
            leaseUntil,
            storageFailed,
        };
    }

    /** Overridden only by the model checker and by tests, to turn one rule off. */
    protected enforces(rule: Rule): boolean {
        void rule;
        return true;
    }

    private run(action: (core: StepContext) => void): Effect[] {
        const core = new StepContext(this.id, this.state, this.options, rule => this.enforces(rule), this.random);
        action(core);
        return core.finish();
    }
}

function dispatch(core: StepContext, input: Input): void {
    switch (input.type) {
        case "tick":
            return handleTick(core);
        case "message":
            return handleMessage(core, input.message);
        case "propose":
            return handlePropose(core, input.id, input.command);
        case "change-membership":
            return handleMembershipChange(core, input.id, input.change);
        case "read":
            return handleRead(core, input.id);
        case "synced":
            return handleSynced(core, input.sequence);
        case "snapshot-taken":
            return handleSnapshotTaken(core, input.index, input.state);
        case "hand-over":
            return startHandOver(core, input.target);
        case "storage-failed":
            becomeFollower(core, core.state.term, undefined);
            core.state.storageFailed = true;
            return;
    }
}

function handleTick(core: StepContext): void {
    const { state, now, options } = core;
    if (state.role !== "leader") {
        if (now >= state.electionDeadline) {
            if (core.isVoter) {
                startPreVote(core);
            }
            else {
                state.electionDeadline = core.randomElectionDeadline();
                core.setRole("follower", undefined);
            }
        }
        else if (state.role !== "follower" && now >= state.nextHeartbeatAt) {
            requestVotes(core);
        }
        return;
    }
    if (state.leaseUntil !== undefined && now >= state.leaseUntil) {
        core.setLease(undefined);
    }
    if (state.handOver !== undefined && now >= state.handOver.deadline) {
        if (state.handOver.sent) {
            // The target may still campaign, so the lease stays given up; a new election ends the doubt.
            return becomeFollower(core, state.term, undefined);
        }
        state.handOver = undefined;
    }
    if (now >= state.electionDeadline) {
        const heard = [...state.peers].filter(([, peer]) => now - peer.lastReplyAt < options.electionTimeoutMinMs);
        if (!isQuorum(state.membership, [core.id, ...heard.map(([id]) => id)])) {
            return becomeFollower(core, state.term, undefined);
        }
        state.electionDeadline = now + options.electionTimeoutMinMs;
    }
    extendLease(core);
    if (now >= state.nextHeartbeatAt) {
        state.nextHeartbeatAt = now + options.heartbeatMs;
        broadcast(core, true);
        if (state.handOver?.sent === true) {
            requestCampaign(core, state.handOver.target);
        }
    }
}

function handleMessage(core: StepContext, message: Message): void {
    const { state } = core;
    if (message.to !== core.id) {
        return;
    }
    if (message.type === "pre-vote") {
        return handlePreVote(core, message);
    }
    const promised = withholdsVotes(core) && core.enforces("voters-keep-promise");
    // Whatever the term: a voter can have learnt a newer term by other messages while its promise still holds.
    if (message.type === "vote" && promised && !message.handOver) {
        return;
    }
    if (message.term > state.term) {
        becomeFollower(core, message.term, undefined);
    }
    const old = message.term < state.term;
    switch (message.type) {
        case "pre-vote-reply":
            return handlePreVoteReply(core, message);
        case "vote":
            return old
                ? core.sendAfterSync(message.from, { type: "vote-reply", granted: false })
                : handleVote(core, message);
        case "vote-reply":
            return old ? undefined : handleVoteReply(core, message);
        case "append":
            return old ? rejectStaleLeader(core, message) : handleAppend(core, message);
        case "snapshot":
            return old ? rejectStaleLeader(core, message) : handleSnapshot(core, message);
        case "append-reply":
            return handleAppendReply(core, message);
        case "hand-over":
            return old ? undefined : handleHandOver(core, message);
    }
}

function handleSynced(core: StepContext, sequence: number): void {
    const { state } = core;
    state.syncedSequence = Math.max(state.syncedSequence, Math.min(sequence, state.writeSequence));
    for (const { index } of state.unsyncedWrites.filter(write => write.sequence <= state.syncedSequence)) {
        state.durableIndex = Math.max(state.durableIndex, index);
    }
    state.unsyncedWrites = state.unsyncedWrites.filter(write => write.sequence > state.syncedSequence);
    const released = state.deferredMessages.filter(held => held.sequence <= state.syncedSequence);
    state.deferredMessages = state.deferredMessages.filter(held => held.sequence > state.syncedSequence);
    for (const { message } of released) {
        // A reply from an earlier term has lost its meaning.
        if (message.term === state.term) {
            core.effects.push({ type: "send", message });
        }
    }
    if (state.role === "candidate" && state.ownVoteSequence <= state.syncedSequence) {
        recordVote(core, core.id);
    }
    advanceCommit(core);
}
