import { lastIndex, lastTerm } from "./log.ts";
import { isQuorum, voterIds } from "./membership.ts";
import { broadcast, resetPeers } from "./replication.ts";
import type { StepContext } from "./step-context.ts";
import type { EntryContent, NodeId } from "./types.ts";

/** Becomes a follower of `leader` in `term`. A leader gives up its lease and refuses its pending reads. */
export function becomeFollower(ctx: StepContext, term: number, leader: NodeId | undefined): void {
    const { state } = ctx;
    const wasFollower = state.role === "follower";
    if (term > state.term) {
        state.term = term;
        state.votedFor = undefined;
        ctx.saveState(true);
    }
    ctx.setLease(undefined);
    state.votes = [];
    state.peers.clear();
    state.handOver = undefined;
    state.lostMembers = [];
    ctx.setRole("follower", leader);
    for (const read of state.pendingReads.splice(0)) {
        ctx.refuse(read.id, "not-leader");
    }
    if (!wasFollower) {
        state.electionDeadline = ctx.randomElectionDeadline();
    }
}

/** Starts a pre-vote, which asks whether an election could succeed without raising the term. */
export function startPreVote(ctx: StepContext): void {
    const { state } = ctx;
    state.campaignCount += 1;
    state.electionDeadline = ctx.campaignDeadline();
    state.votes = [ctx.id];
    ctx.setRole("pre-candidate", undefined);
    if (isQuorum(state.membership, state.votes) || !ctx.enforces("pre-vote")) {
        startElection(ctx, false);
        return;
    }
    requestVotes(ctx);
}

export function startElection(ctx: StepContext, handOver: boolean): void {
    const { state } = ctx;
    state.term += 1;
    state.votedFor = ctx.id;
    state.votes = [];
    state.handOverCampaign = handOver;
    ctx.saveState(true);
    state.ownVoteSequence = state.writeSequence;
    state.electionDeadline = ctx.campaignDeadline();
    ctx.setRole("candidate", undefined);
    requestVotes(ctx);
}

/**
 * Requests the votes that have not been granted yet, and schedules a repetition after half a heartbeat interval. When
 * only a new campaign repeated the requests, two or three consecutive lost messages left a group without a leader for
 * up to 1,790 ms at 5 ms link delay and 5% message loss.
 */
export function requestVotes(ctx: StepContext): void {
    const { state } = ctx;
    state.nextHeartbeatAt = ctx.now + ctx.options.heartbeatMs / 2;
    const position = { lastIndex: lastIndex(state), lastTerm: lastTerm(state) };
    for (const id of voterIds(state.membership)) {
        if (id === ctx.id || state.votes.includes(id)) {
            continue;
        }
        if (state.role === "pre-candidate") {
            ctx.send(id, { type: "pre-vote", asked: state.term + 1, ...position });
        }
        else {
            ctx.sendAfterSync(id, { type: "vote", handOver: state.handOverCampaign, ...position });
        }
    }
}

export function recordVote(ctx: StepContext, from: NodeId): void {
    const { state } = ctx;
    if (!state.votes.includes(from)) {
        state.votes.push(from);
    }
    if (isQuorum(state.membership, state.votes)) {
        if (state.role === "pre-candidate") {
            startElection(ctx, false);
        }
        else {
            becomeLeader(ctx);
        }
    }
}

function becomeLeader(ctx: StepContext): void {
    const { state } = ctx;
    ctx.setRole("leader", ctx.id);
    state.votes = [];
    state.campaignCount = 0;
    state.nextHeartbeatAt = ctx.now + ctx.options.heartbeatMs;
    state.electionDeadline = ctx.now + ctx.options.electionTimeoutMinMs;
    state.termStartIndex = lastIndex(state) + 1;
    resetPeers(ctx);
    appendAsLeader(ctx, { kind: "no-op" });
}

/** Appends an entry to the leader's log, starts its replication and returns its index. */
export function appendAsLeader(ctx: StepContext, content: EntryContent): number {
    const { state } = ctx;
    const index = lastIndex(state) + 1;
    ctx.appendEntries([{ index, term: state.term, content }]);
    broadcast(ctx, false);
    return index;
}
