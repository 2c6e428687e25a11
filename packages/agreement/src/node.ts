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
    /** Returns a number in [0, 1), which randomizes the election timeouts. */
    readonly random: () => number;
    /** Instant of the start in milliseconds, on the clock that also gives the instants for `step`. */
    readonly now: number;
}

/**
 * One member of a consensus group, as a pure state machine: `step` takes an input and the current instant in
 * milliseconds and returns the effects that the caller must perform in order. It throws SafetyError when a committed
 * entry would have to be undone; the node must not be used after that.
 */
export class AgreementNode {
    readonly id: NodeId;
    readonly options: AgreementOptions;
    protected state: NodeState;
    private readonly storedCommitIndex: number;
    private readonly random: () => number;

    /** Throws OptionsError for unsafe options, and StorageRollbackError when the storage has lost synced data. */
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

    /** Returns the first effects after a start, which bring the state machine to the stored commit index. */
    start(): Effect[] {
        return this.run(ctx => {
            const { state } = ctx;
            // Without leases a restarted voter has promised nothing to a leader that might still hold one.
            const withoutLease = ctx.options.leaseMs === 0;
            if (withoutLease || !ctx.enforces("promise-survives-restart")) {
                state.lastLeaderContactAt = ctx.now - ctx.options.electionTimeoutMinMs;
            }
            ctx.refreshMembership();
            // A pre-vote does not disturb a leader, so the members need not wait for one before they campaign. If all
            // start at once, the random part only keeps them from campaigning at the same instant.
            state.electionDeadline = withoutLease
                ? ctx.randomStartDeadline()
                : ctx.randomElectionDeadline();
            if (state.snapshot.index > 0) {
                ctx.effects.push({ type: "restore", snapshot: state.snapshot });
            }
            ctx.commitTo(this.storedCommitIndex);
        });
    }

    /**
     * Processes an input at the instant `now`, in milliseconds on a monotonic clock. An instant before the latest one
     * is replaced by the latest one.
     */
    step(input: Input, now: number): Effect[] {
        this.state.now = Math.max(this.state.now, now);
        // After a storage failure, requests are still answered with a refusal, and all other inputs are ignored.
        const ignored = this.state.storageFailed && !("id" in input);
        return ignored ? [] : this.run(ctx => dispatch(ctx, input));
    }

    /** Instant at which the next tick is due; Infinity after a storage failure. */
    get nextTickAt(): number {
        if (this.state.storageFailed) {
            return Infinity;
        }
        const { role, nextHeartbeatAt, electionDeadline, handOver, leaseUntil } = this.state;
        return role === "leader"
            ? Math.min(nextHeartbeatAt, electionDeadline, handOver?.deadline ?? Infinity, leaseUntil ?? Infinity)
            : role === "follower"
            ? electionDeadline
            : Math.min(electionDeadline, nextHeartbeatAt);
    }

    /** Summary for state dumps and metrics. */
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

    /** Whether the node enforces `rule`. Only the model checker and tests override this, to turn off one rule. */
    protected enforces(rule: Rule): boolean {
        void rule;
        return true;
    }

    private run(action: (ctx: StepContext) => void): Effect[] {
        const ctx = new StepContext(this.id, this.state, this.options, rule => this.enforces(rule), this.random);
        action(ctx);
        return ctx.finish();
    }
}

function dispatch(ctx: StepContext, input: Input): void {
    switch (input.type) {
        case "tick":
            return handleTick(ctx);
        case "message":
            return handleMessage(ctx, input.message);
        case "propose":
            return handlePropose(ctx, input.id, input.command);
        case "change-membership":
            return handleMembershipChange(ctx, input.id, input.change);
        case "read":
            return handleRead(ctx, input.id);
        case "synced":
            return handleSynced(ctx, input.sequence);
        case "snapshot-taken":
            return handleSnapshotTaken(ctx, input.index, input.state);
        case "hand-over":
            return startHandOver(ctx, input.target);
        case "storage-failed":
            becomeFollower(ctx, ctx.state.term, undefined);
            ctx.state.storageFailed = true;
            return;
    }
}

function handleTick(ctx: StepContext): void {
    const { state, now, options } = ctx;
    if (state.role !== "leader") {
        if (now >= state.electionDeadline) {
            handleElectionTimeout(ctx);
        }
        else if (state.role !== "follower" && now >= state.nextHeartbeatAt) {
            requestVotes(ctx);
        }
        return;
    }
    if (state.leaseUntil !== undefined && now >= state.leaseUntil) {
        ctx.setLease(undefined);
    }
    if (state.handOver !== undefined && now >= state.handOver.deadline) {
        if (state.handOver.requestSent) {
            // The target may still win its election, so the lease cannot be renewed. A new election resolves this.
            return becomeFollower(ctx, state.term, undefined);
        }
        state.handOver = undefined;
    }
    if (now >= state.electionDeadline) {
        const responsivePeers = [...state.peers].filter(([, peer]) =>
            now - peer.lastReplyAt < options.electionTimeoutMinMs
        );
        if (!isQuorum(state.membership, [ctx.id, ...responsivePeers.map(([id]) => id)])) {
            return becomeFollower(ctx, state.term, undefined);
        }
        state.electionDeadline = now + options.electionTimeoutMinMs;
    }
    extendLease(ctx);
    if (now >= state.nextHeartbeatAt) {
        state.nextHeartbeatAt = now + options.heartbeatMs;
        broadcast(ctx, true);
        if (state.handOver?.requestSent === true) {
            requestCampaign(ctx, state.handOver.target);
        }
    }
}

function handleElectionTimeout(ctx: StepContext): void {
    const { state, now, options } = ctx;
    // A vote would be stored after the writes in progress, so a campaign during a stalled sync only raises the term.
    const canVote = ctx.isVoter && state.syncedSequence >= state.requiredSequence;
    if (canVote) {
        startPreVote(ctx);
        return;
    }
    state.electionDeadline = ctx.isVoter ? now + options.heartbeatMs : ctx.randomElectionDeadline();
    if (state.role === "follower") {
        ctx.setRole("follower", undefined);
    }
}

function handleMessage(ctx: StepContext, message: Message): void {
    const { state } = ctx;
    if (message.to !== ctx.id) {
        return;
    }
    if (message.type === "pre-vote") {
        return handlePreVote(ctx, message);
    }
    const votesWithheld = withholdsVotes(ctx) && ctx.enforces("voters-keep-promise");
    // This applies in any term: other messages can raise the term of a voter while it still withholds its votes.
    if (message.type === "vote" && votesWithheld && !message.handOver) {
        return;
    }
    if (message.term > state.term) {
        becomeFollower(ctx, message.term, undefined);
    }
    const isStale = message.term < state.term;
    switch (message.type) {
        case "pre-vote-reply":
            return handlePreVoteReply(ctx, message);
        case "vote":
            return isStale
                ? ctx.sendAfterSync(message.from, { type: "vote-reply", granted: false })
                : handleVote(ctx, message);
        case "vote-reply":
            return isStale ? undefined : handleVoteReply(ctx, message);
        case "append":
            return isStale ? rejectStaleLeader(ctx, message) : handleAppend(ctx, message);
        case "snapshot":
            return isStale ? rejectStaleLeader(ctx, message) : handleSnapshot(ctx, message);
        case "append-reply":
            return handleAppendReply(ctx, message);
        case "hand-over":
            return isStale ? undefined : handleHandOver(ctx, message);
    }
}

function handleSynced(ctx: StepContext, sequence: number): void {
    const { state } = ctx;
    state.syncedSequence = Math.max(state.syncedSequence, Math.min(sequence, state.writeSequence));
    for (const { index } of state.unsyncedWrites.filter(write => write.sequence <= state.syncedSequence)) {
        state.durableIndex = Math.max(state.durableIndex, index);
    }
    state.unsyncedWrites = state.unsyncedWrites.filter(write => write.sequence > state.syncedSequence);
    const released = state.deferredMessages.filter(deferred => deferred.sequence <= state.syncedSequence);
    state.deferredMessages = state.deferredMessages.filter(deferred => deferred.sequence > state.syncedSequence);
    for (const { message } of released) {
        // A reply of an earlier term is stale.
        if (message.term === state.term) {
            ctx.effects.push({ type: "send", message });
        }
    }
    if (state.role === "candidate" && state.ownVoteSequence <= state.syncedSequence) {
        recordVote(ctx, ctx.id);
    }
    advanceCommit(ctx);
}
