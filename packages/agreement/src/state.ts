import type { Message } from "./messages.ts";
import type { Entry, LogPosition, Membership, NodeId, Role, Snapshot, StoredState } from "./types.ts";

/** What the leader knows about another member. */
export interface PeerProgress {
    /** Next index to send. */
    nextIndex: number;
    /** The member's synced log equals the leader's up to here. */
    matchIndex: number;
    /** Entries are in flight; more are sent after the reply or with the next heartbeat. */
    awaitingReply: boolean;
    /** Instant of the last reply, of the sending that it answers, and its read round. */
    lastReplyAt: number;
    lastAnsweredSentAt: number;
    lastAnsweredRound: number;
    lastSnapshotSentAt: number;
}

export interface PendingRead {
    readonly id: string;
    readonly index: number;
    /** Replies to this round or a later one confirm that the node was still the leader when it was asked. */
    readonly round: number;
}

/** A message that waits until the writes up to `sequence` are durable. */
export interface DeferredMessage {
    readonly sequence: number;
    readonly message: Message;
}

/** The whole state of a node; plain data, so that the model checker can copy and compare it. */
export interface NodeState {
    now: number;
    term: number;
    votedFor: NodeId | undefined;
    role: Role;
    leader: NodeId | undefined;
    commitIndex: number;
    snapshot: Snapshot;
    base: LogPosition;
    entries: Entry[];
    /** The newest membership in the log, committed or not, and its index. */
    membership: Membership;
    membershipIndex: number;
    /** Instant at which a voter without a leader campaigns, or a leader next checks its quorum. */
    electionDeadline: number;
    /** Instant of the next heartbeat of a leader, or of the next repetition of a campaign's requests. */
    nextHeartbeatAt: number;
    /** Instant of the last message from the current leader; votes are refused for a while after it. */
    lastLeaderContactAt: number;
    votes: NodeId[];
    /** Campaigns since the last leader; spaces out further ones. */
    campaignCount: number;
    /** The current campaign was asked for by the leader. */
    handOverCampaign: boolean;
    /** Sequence of the write of the own vote; the vote counts once it is durable. */
    ownVoteSequence: number;
    writeSequence: number;
    /** Sequence of the last write on which replies depend. */
    requiredSequence: number;
    syncedSequence: number;
    deferredMessages: DeferredMessage[];
    /** The log is durable up to here; `unsynced` holds what the syncs in progress add. */
    durableIndex: number;
    unsyncedWrites: { sequence: number; index: number; }[];
    requestedSnapshotIndex: number;
    storageFailed: boolean;
    // Leader only.
    peers: Map<NodeId, PeerProgress>;
    termStartIndex: number;
    readRound: number;
    pendingReads: PendingRead[];
    leaseUntil: number | undefined;
    handOver: { target: NodeId; deadline: number; sent: boolean; } | undefined;
    /** Members known to be replaced, which must be removed before any other change. */
    lostMembers: NodeId[];
}

export function initialState(stored: StoredState, now: number): NodeState {
    const last = stored.entries[stored.entries.length - 1]?.index ?? stored.snapshot.index;
    return {
        now,
        term: stored.term,
        votedFor: stored.votedFor,
        role: "follower",
        leader: undefined,
        commitIndex: stored.snapshot.index,
        snapshot: stored.snapshot,
        base: stored.base,
        entries: [...stored.entries],
        membership: stored.snapshot.membership,
        membershipIndex: stored.snapshot.index,
        electionDeadline: now,
        lastLeaderContactAt: now,
        votes: [],
        campaignCount: 0,
        handOverCampaign: false,
        ownVoteSequence: 0,
        writeSequence: 0,
        requiredSequence: 0,
        syncedSequence: 0,
        deferredMessages: [],
        durableIndex: last,
        unsyncedWrites: [],
        requestedSnapshotIndex: stored.snapshot.index,
        storageFailed: false,
        peers: new Map(),
        termStartIndex: 0,
        nextHeartbeatAt: now,
        readRound: 0,
        pendingReads: [],
        leaseUntil: undefined,
        handOver: undefined,
        lostMembers: [],
    };
}

/** A copy that shares only immutable parts. */
export function copyState(state: NodeState): NodeState {
    return {
        ...state,
        entries: [...state.entries],
        votes: [...state.votes],
        deferredMessages: [...state.deferredMessages],
        unsyncedWrites: [...state.unsyncedWrites],
        peers: new Map([...state.peers].map(([id, peer]) => [id, { ...peer }])),
        pendingReads: [...state.pendingReads],
        handOver: state.handOver === undefined ? undefined : { ...state.handOver },
        lostMembers: [...state.lostMembers],
    };
}
