import type { Core } from "./core.ts";
import { advanceHandOver } from "./hand-over.ts";
import { entriesBetween, lastIndex, termAt } from "./log.ts";
import { isMember, quorumValue } from "./membership.ts";
import type { AppendReply } from "./messages.ts";
import { confirmReads, extendLease } from "./reads.ts";
import type { Peer } from "./state.ts";
import type { Entry, NodeId } from "./types.ts";

function newPeer(core: Core): Peer {
    return {
        next: lastIndex(core.state) + 1,
        match: 0,
        awaiting: false,
        repliedAt: core.now,
        answeredSentAt: core.now - core.options.electionTimeoutMinMs,
        round: -1,
        snapshotSentAt: core.now - core.options.electionTimeoutMinMs,
    };
}

export function resetPeers(core: Core): void {
    core.state.peers.clear();
    syncPeers(core);
}

/** Makes the peers those of the newest membership. */
function syncPeers(core: Core): void {
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
export function broadcast(core: Core, heartbeat: boolean): void {
    syncPeers(core);
    for (const [id, peer] of core.state.peers) {
        if (heartbeat || !peer.awaiting) {
            sendTo(core, id, peer, heartbeat);
        }
    }
}

function sendTo(core: Core, id: NodeId, peer: Peer, heartbeat: boolean): void {
    const { state, now } = core;
    const probe = { round: state.round, sentAt: now };
    const prevTerm = termAt(state, peer.next - 1);
    if (prevTerm !== undefined && peer.next > state.base.index) {
        const entries = batch(core, peer.next);
        if (entries.length === 0 && !heartbeat) {
            return;
        }
        peer.awaiting = entries.length > 0;
        core.send(id, {
            type: "append",
            prevIndex: peer.next - 1,
            prevTerm,
            entries,
            commitIndex: state.commitIndex,
            ...probe,
        });
        return;
    }
    // A snapshot can be large, so it is repeated only after a whole election timeout without an answer.
    if (now - peer.snapshotSentAt >= core.options.electionTimeoutMinMs) {
        peer.snapshotSentAt = now;
        peer.awaiting = true;
        core.send(id, { type: "snapshot", snapshot: state.snapshot, ...probe });
    }
    else if (heartbeat) {
        core.send(id, { type: "append", prevIndex: 0, prevTerm: 0, entries: [], commitIndex: 0, ...probe });
    }
}

function batch(core: Core, from: number): Entry[] {
    const { maxBatchEntries, maxBatchChars } = core.options;
    const candidates = entriesBetween(core.state, from, from + maxBatchEntries - 1);
    let chars = 0;
    const fits = candidates.findIndex((entry, i) => {
        chars += entry.content.kind === "command" ? entry.content.command.length : 0;
        return i > 0 && chars > maxBatchChars;
    });
    return fits === -1 ? candidates : candidates.slice(0, fits);
}

export function handleAppendReply(core: Core, reply: AppendReply): void {
    const { state } = core;
    const peer = state.peers.get(reply.from);
    if (state.role !== "leader" || reply.term !== state.term || peer === undefined) {
        return;
    }
    peer.repliedAt = core.now;
    const sentAt = core.enforces("lease-from-sending") ? reply.sentAt : core.now;
    peer.answeredSentAt = Math.max(peer.answeredSentAt, sentAt);
    peer.round = Math.max(peer.round, reply.round);
    if (reply.ok) {
        if (reply.index >= peer.next || reply.index > peer.match) {
            peer.awaiting = false;
        }
        peer.match = Math.max(peer.match, reply.index);
        peer.next = Math.max(peer.next, peer.match + 1);
        advanceCommit(core);
    }
    else if (reply.index + 1 < peer.next) {
        peer.next = Math.max(peer.match + 1, reply.index + 1);
        peer.awaiting = false;
    }
    extendLease(core);
    confirmReads(core);
    advanceHandOver(core);
    if (!peer.awaiting) {
        sendTo(core, reply.from, peer, false);
    }
}

/** Commits what a majority of the voters has synced. */
export function advanceCommit(core: Core): void {
    const { state } = core;
    if (state.role !== "leader") {
        return;
    }
    const own = core.enforces("leader-counts-synced-only") ? state.durableIndex : lastIndex(state);
    const index = quorumValue(state.membership, id => id === core.id ? own : state.peers.get(id)?.match ?? 0);
    const ownTerm = termAt(state, index) === state.term;
    if (index > state.commitIndex && (ownTerm || !core.enforces("commit-own-term-only"))) {
        core.commitTo(index);
        extendLease(core);
        confirmReads(core);
    }
}
