import { advanceHandOver } from "./hand-over.ts";
import { entriesBetween, lastIndex, termAt } from "./log.ts";
import { isMember, quorumValue } from "./membership.ts";
import type { AppendReply } from "./messages.ts";
import { confirmReads, extendLease } from "./reads.ts";
import type { PeerProgress } from "./state.ts";
import type { StepContext } from "./step-context.ts";
import type { Entry, NodeId } from "./types.ts";

function newPeer(core: StepContext): PeerProgress {
    return {
        nextIndex: lastIndex(core.state) + 1,
        matchIndex: 0,
        awaitingReply: false,
        lastReplyAt: core.now,
        lastAnsweredSentAt: core.now - core.options.electionTimeoutMinMs,
        lastAnsweredRound: -1,
        lastSnapshotSentAt: core.now - core.options.electionTimeoutMinMs,
    };
}

export function resetPeers(core: StepContext): void {
    core.state.peers.clear();
    syncPeers(core);
}

/** Makes the peers those of the newest membership. */
function syncPeers(core: StepContext): void {
    const { peers, membership } = core.state;
    for (const id of peers.keys()) {
        if (!isMember(membership, id)) {
            peers.delete(id);
        }
    }
    for (const { id } of membership.members) {
        if (id !== core.id && !peers.has(id)) {
            peers.set(id, newPeer(core));
        }
    }
}

/** Sends to each peer what it lacks; a heartbeat also goes to peers that lack nothing, and repeats lost entries. */
export function broadcast(core: StepContext, heartbeat: boolean): void {
    syncPeers(core);
    for (const [id, peer] of core.state.peers) {
        if (heartbeat || !peer.awaitingReply) {
            sendTo(core, id, peer, heartbeat);
        }
    }
}

function sendTo(core: StepContext, id: NodeId, peer: PeerProgress, heartbeat: boolean): void {
    const { state, now } = core;
    const probe = { round: state.readRound, sentAt: now };
    const prevTerm = termAt(state, peer.nextIndex - 1);
    if (prevTerm !== undefined && peer.nextIndex > state.base.index) {
        const entries = batch(core, peer.nextIndex);
        if (entries.length === 0 && !heartbeat) {
            return;
        }
        peer.awaitingReply = entries.length > 0;
        core.send(id, {
            type: "append",
            prevIndex: peer.nextIndex - 1,
            prevTerm,
            entries,
            commitIndex: state.commitIndex,
            ...probe,
        });
        return;
    }
    // A snapshot can be large, so it is repeated only after a whole election timeout without an answer.
    if (now - peer.lastSnapshotSentAt >= core.options.electionTimeoutMinMs) {
        peer.lastSnapshotSentAt = now;
        peer.awaitingReply = true;
        core.send(id, { type: "snapshot", snapshot: state.snapshot, ...probe });
    }
    else if (heartbeat) {
        core.send(id, { type: "append", prevIndex: 0, prevTerm: 0, entries: [], commitIndex: 0, ...probe });
    }
}

function batch(core: StepContext, from: number): Entry[] {
    const { maxBatchEntries, maxBatchChars } = core.options;
    const candidates = entriesBetween(core.state, from, from + maxBatchEntries - 1);
    let chars = 0;
    const fits = candidates.findIndex((entry, i) => {
        chars += entry.content.kind === "command" ? entry.content.command.length : 0;
        return i > 0 && chars > maxBatchChars;
    });
    return fits === -1 ? candidates : candidates.slice(0, fits);
}

export function handleAppendReply(core: StepContext, reply: AppendReply): void {
    const { state } = core;
    const peer = state.peers.get(reply.from);
    if (state.role !== "leader" || reply.term !== state.term || peer === undefined) {
        return;
    }
    peer.lastReplyAt = core.now;
    const sentAt = core.enforces("lease-from-sending") ? reply.sentAt : core.now;
    peer.lastAnsweredSentAt = Math.max(peer.lastAnsweredSentAt, sentAt);
    peer.lastAnsweredRound = Math.max(peer.lastAnsweredRound, reply.round);
    if (reply.ok) {
        if (reply.index >= peer.nextIndex || reply.index > peer.matchIndex) {
            peer.awaitingReply = false;
        }
        peer.matchIndex = Math.max(peer.matchIndex, reply.index);
        peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
        advanceCommit(core);
    }
    else if (reply.index + 1 < peer.nextIndex) {
        peer.nextIndex = Math.max(peer.matchIndex + 1, reply.index + 1);
        peer.awaitingReply = false;
    }
    extendLease(core);
    confirmReads(core);
    advanceHandOver(core);
    if (!peer.awaitingReply) {
        sendTo(core, reply.from, peer, false);
    }
}

/** Commits what a majority of the voters has synced. */
export function advanceCommit(core: StepContext): void {
    const { state } = core;
    if (state.role !== "leader") {
        return;
    }
    const own = core.enforces("leader-counts-synced-only") ? state.durableIndex : lastIndex(state);
    const index = quorumValue(state.membership, id => id === core.id ? own : state.peers.get(id)?.matchIndex ?? 0);
    const ownTerm = termAt(state, index) === state.term;
    if (index > state.commitIndex && (ownTerm || !core.enforces("commit-own-term-only"))) {
        core.commitTo(index);
        extendLease(core);
        confirmReads(core);
    }
}
