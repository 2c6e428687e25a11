import type { Message } from "./messages.ts";
import type { Entry, LogPosition, Membership, NodeId, Role, Snapshot, StoredState } from "./types.ts";

/** The leader's view of the replication to another member. */
export interface PeerProgress {
    /** Index of the next entry to send. */
    nextIndex: number;
    /** Index up to which the member's synced log equals the leader's log. */
    matchIndex: number;
    /** Whether entries or a snapshot are in flight; more is sent after the reply or with the next heartbeat. */
    awaitingReply: boolean;
    /** Instant of the last reply. */
    lastReplyAt: number;
    /** Sending instant of the latest request that the member has answered. */
    lastAnsweredSentAt: number;
    /** Read round of the latest request that the member has answered. */
    lastAnsweredRound: number;
    /** Instant before which the entries or the snapshot in flight are not repeated. */
    resendAt: number;
    /** What a member without a vote has to receive until it has caught up with the log of the instant `startedAt`. */
    round: { readonly endIndex: number; readonly startedAt: number; } | undefined;
    /** Start of the last round that has ended: the member holds all entries that the leader had at that instant. */
    caughtUpAt: number;
}

export interface PendingRead {
    readonly id: string;
    readonly index: number;
    /** Replies to this read round or a later one confirm that the node still led when the read arrived. */
    readonly round: number;
}

/** A message that is sent once the writes up to `sequence` are durable. */
export interface DeferredMessage {
    readonly sequence: number;
    readonly message: Message;
}

/** The whole state of a node. It is plain data, so that the model checker can copy and compare it. */
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
    /** Instant at which a voter without a leader campaigns, or at which a leader next checks its quorum. */
    electionDeadline: number;
    /** Instant of a leader's next heartbeat, or at which a campaigning node repeats its vote requests. */
    nextHeartbeatAt: number;
    /** Instant of the last message from a leader; votes are withheld for the minimum election timeout after it. */
    lastLeaderContactAt: number;
    votes: NodeId[];
    /** Number of campaigns since the last contact with a leader; the interval between campaigns grows with it. */
    campaignCount: number;
    /** Whether the leader asked for the current campaign. */
    handOverCampaign: boolean;
    /** Sequence number of the write of this node's vote for itself; the vote counts once the write is durable. */
    ownVoteSequence: number;
    writeSequence: number;
    /** Sequence number of the last write on which replies depend. */
    requiredSequence: number;
    syncedSequence: number;
    deferredMessages: DeferredMessage[];
    /** Index up to which the log is durable; `unsyncedWrites` lists the log writes that are not durable yet. */
    durableIndex: number;
    unsyncedWrites: { sequence: number; index: number; }[];
    /** Index of the latest snapshot that was requested from the caller or received from a leader. */
    requestedSnapshotIndex: number;
    /** Number of characters of the commands that were applied since then. */
    charsSinceSnapshot: number;
    storageFailed: boolean;
    // The following fields are used only by a leader.
    peers: Map<NodeId, PeerProgress>;
    termStartIndex: number;
    readRound: number;
    pendingReads: PendingRead[];
    leaseUntil: number | undefined;
    handOver: { target: NodeId; deadline: number; requestSent: boolean; } | undefined;
    /** Members that have lost their storage; they must be removed before any other membership change. */
    lostMembers: NodeId[];
}

export function initialState(stored: StoredState, now: number): NodeState {
    const lastIndex = stored.entries[stored.entries.length - 1]?.index ?? stored.snapshot.index;
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
        durableIndex: lastIndex,
        unsyncedWrites: [],
        requestedSnapshotIndex: stored.snapshot.index,
        charsSinceSnapshot: 0,
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

/** Returns a copy that shares only immutable parts. */
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
