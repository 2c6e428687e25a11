import { advanceHandOver } from "./hand-over.ts";
import { entriesBetween, entryChars, lastIndex, membershipAt, termAt } from "./log.ts";
import { isMember, isVoter, quorumValue } from "./membership.ts";
import type { AppendReply } from "./messages.ts";
import { confirmReads, extendLease } from "./reads.ts";
import type { PeerProgress } from "./state.ts";
import type { StepContext } from "./step-context.ts";
import type { Entry, NodeId } from "./types.ts";

function newPeerProgress(ctx: StepContext): PeerProgress {
    return {
        nextIndex: lastIndex(ctx.state) + 1,
        matchIndex: 0,
        awaitingReply: false,
        lastReplyAt: ctx.now,
        lastAnsweredSentAt: ctx.now - ctx.options.electionTimeoutMinMs,
        lastAnsweredRound: -1,
        resendAt: ctx.now,
        round: undefined,
        caughtUpAt: -Infinity,
    };
}

export function resetPeers(ctx: StepContext): void {
    ctx.state.peers.clear();
    reconcilePeers(ctx);
}

/** Adds and removes peers to match the newest membership. */
function reconcilePeers(ctx: StepContext): void {
    const { peers, membership } = ctx.state;
    for (const id of peers.keys()) {
        if (!isMember(membership, id)) {
            peers.delete(id);
        }
    }
    for (const { id } of membership.members) {
        if (id !== ctx.id && !peers.has(id)) {
            peers.set(id, newPeerProgress(ctx));
        }
    }
}

/**
 * Sends to each peer the entries that it lacks. A heartbeat also goes to peers that lack nothing, and repeats entries
 * that were lost once there was time for them to arrive.
 */
export function broadcast(ctx: StepContext, heartbeat: boolean): void {
    reconcilePeers(ctx);
    for (const [id, peer] of ctx.state.peers) {
        if (heartbeat || !peer.awaitingReply) {
            replicateTo(ctx, id, peer, heartbeat);
        }
    }
}

function replicateTo(ctx: StepContext, id: NodeId, peer: PeerProgress, heartbeat: boolean): void {
    const { state, now } = ctx;
    const stamp = { round: state.readRound, sentAt: now };
    const prevTerm = termAt(state, peer.nextIndex - 1);
    if (prevTerm !== undefined && peer.nextIndex > state.base.index) {
        const isInFlight = peer.awaitingReply && now < peer.resendAt;
        const entries = isInFlight ? [] : nextBatch(ctx, id, peer.nextIndex);
        if (entries.length === 0 && !heartbeat) {
            return;
        }
        if (!isInFlight) {
            peer.awaitingReply = entries.length > 0;
            peer.resendAt = now + transferMs(ctx, entries.reduce((sum, entry) => sum + entryChars(entry), 0));
        }
        ctx.send(id, {
            type: "append",
            prevIndex: peer.nextIndex - 1,
            prevTerm,
            entries,
            commitIndex: state.commitIndex,
            ...stamp,
        });
        return;
    }
    if (!peer.awaitingReply || now >= peer.resendAt) {
        peer.resendAt = now + ctx.options.electionTimeoutMinMs + transferMs(ctx, state.snapshot.state.length);
        peer.awaitingReply = true;
        ctx.send(id, { type: "snapshot", snapshot: state.snapshot, ...stamp });
    }
    else if (heartbeat) {
        ctx.send(id, { type: "append", prevIndex: 0, prevTerm: 0, entries: [], commitIndex: 0, ...stamp });
    }
}

/** Returns the time within which a member receives so many characters, in milliseconds. */
function transferMs({ options }: StepContext, chars: number): number {
    return Math.floor(chars / options.transferCharsPerMs);
}

/**
 * Returns the index of the last entry that a member may receive. One whose vote is being taken receives the change once
 * that is committed. Before, the others may need its vote to elect a leader, which it would refuse to logs without the
 * change, and without a vote it would not campaign itself.
 */
function lastIndexFor(ctx: StepContext, id: NodeId): number {
    const { state } = ctx;
    const { membership, membershipIndex, commitIndex } = state;
    const losesVote = membershipIndex > commitIndex && !isVoter(membership, id)
        && isVoter(membershipAt(state, membershipIndex - 1).membership, id);
    return losesVote && ctx.enforces("demotion-sent-once-committed") ? membershipIndex - 1 : lastIndex(state);
}

function nextBatch(ctx: StepContext, id: NodeId, from: number): Entry[] {
    const { maxBatchEntries, maxBatchChars } = ctx.options;
    const candidates = entriesBetween(ctx.state, from, Math.min(from + maxBatchEntries - 1, lastIndexFor(ctx, id)));
    let chars = 0;
    const batchLength = candidates.findIndex((entry, i) => {
        chars += entryChars(entry);
        return i > 0 && chars > maxBatchChars;
    });
    return batchLength === -1 ? candidates : candidates.slice(0, batchLength);
}

export function handleAppendReply(ctx: StepContext, reply: AppendReply): void {
    const { state } = ctx;
    const peer = state.peers.get(reply.from);
    if (state.role !== "leader" || reply.term !== state.term || peer === undefined) {
        return;
    }
    peer.lastReplyAt = ctx.now;
    const sentAt = ctx.enforces("lease-from-sending") ? reply.sentAt : ctx.now;
    peer.lastAnsweredSentAt = Math.max(peer.lastAnsweredSentAt, sentAt);
    peer.lastAnsweredRound = Math.max(peer.lastAnsweredRound, reply.round);
    if (reply.ok) {
        if (reply.index >= peer.nextIndex || reply.index > peer.matchIndex) {
            peer.awaitingReply = false;
        }
        peer.matchIndex = Math.max(peer.matchIndex, reply.index);
        peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
        advanceRound(ctx, reply.from, peer);
        advanceCommit(ctx);
    }
    else if (reply.index + 1 < peer.nextIndex) {
        peer.nextIndex = Math.max(peer.matchIndex + 1, reply.index + 1);
        peer.awaitingReply = false;
    }
    extendLease(ctx);
    confirmReads(ctx);
    advanceHandOver(ctx);
    if (!peer.awaitingReply) {
        replicateTo(ctx, reply.from, peer, false);
    }
}

/** Ends the round of a member without a vote if it holds all entries of it, and starts the next one. */
function advanceRound({ state, now }: StepContext, id: NodeId, peer: PeerProgress): void {
    if (isVoter(state.membership, id)) {
        return;
    }
    const { round } = peer;
    if (round === undefined || peer.matchIndex >= round.endIndex) {
        peer.caughtUpAt = round?.startedAt ?? peer.caughtUpAt;
        peer.round = { endIndex: lastIndex(state), startedAt: now };
    }
}

/** Commits the entries that a majority of the voters has synced. */
export function advanceCommit(ctx: StepContext): void {
    const { state } = ctx;
    if (state.role !== "leader") {
        return;
    }
    const ownIndex = ctx.enforces("leader-counts-synced-only") ? state.durableIndex : lastIndex(state);
    const index = quorumValue(state.membership, id => id === ctx.id ? ownIndex : state.peers.get(id)?.matchIndex ?? 0);
    const isOwnTerm = termAt(state, index) === state.term;
    if (index > state.commitIndex && (isOwnTerm || !ctx.enforces("commit-own-term-only"))) {
        ctx.commitTo(index);
        extendLease(ctx);
        confirmReads(ctx);
    }
}
