import type { Message } from "./messages.ts";
import type { Entry, LogPosition, Membership, NodeId, Role, Snapshot, StoredState } from "./types.ts";

/** What the leader knows about another member. */
export interface Peer {
    /** Next index to send. */
    next: number;
    /** The member's synced log equals the leader's up to here. */
    match: number;
    /** Entries are in flight; more are sent after the reply or with the next heartbeat. */
    awaiting: boolean;
    /** Instant of the last reply, of the sending that it answers, and its read round. */
    repliedAt: number;
    answeredSentAt: number;
    round: number;
    snapshotSentAt: number;
}

export interface PendingRead {
    readonly id: string;
    readonly index: number;
    /** Replies to this round or a later one confirm that the node was still the leader when it was asked. */
    readonly round: number;
}

/** A message that waits until the writes up to `sequence` are durable. */
export interface HeldMessage {
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
    heartbeatDue: number;
    /** Instant of the last message from the current leader; votes are refused for a while after it. */
    leaderContactAt: number;
    votes: NodeId[];
    /** Campaigns since the last leader; spaces out further ones. */
    campaigns: number;
    /** The current campaign was asked for by the leader. */
    handOverCampaign: boolean;
    /** Sequence of the write of the own vote; the vote counts once it is durable. */
    voteSequence: number;
    writeSequence: number;
    /** Sequence of the last write on which replies depend. */
    neededSequence: number;
    syncedSequence: number;
    held: HeldMessage[];
    /** The log is durable up to here; `unsynced` holds what the syncs in progress add. */
    durableIndex: number;
    unsynced: { sequence: number; index: number; }[];
    snapshotAskedAt: number;
    storageFailed: boolean;
    // Leader only.
    peers: Map<NodeId, Peer>;
    termStartIndex: number;
    round: number;
    reads: PendingRead[];
    leaseUntil: number | undefined;
    handOver: { target: NodeId; deadline: number; sent: boolean; } | undefined;
    /** Members known to be replaced, which must be removed before any other change. */
    lost: NodeId[];
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
        leaderContactAt: now,
        votes: [],
        campaigns: 0,
        handOverCampaign: false,
        voteSequence: 0,
        writeSequence: 0,
        neededSequence: 0,
        syncedSequence: 0,
        held: [],
        durableIndex: last,
        unsynced: [],
        snapshotAskedAt: stored.snapshot.index,
        storageFailed: false,
        peers: new Map(),
        termStartIndex: 0,
        heartbeatDue: now,
        round: 0,
        reads: [],
        leaseUntil: undefined,
        handOver: undefined,
        lost: [],
    };
}

/** A copy that shares only immutable parts. */
export function copyState(state: NodeState): NodeState {
    return {
        ...state,
        entries: [...state.entries],
        votes: [...state.votes],
        held: [...state.held],
        unsynced: [...state.unsynced],
        peers: new Map([...state.peers].map(([id, peer]) => [id, { ...peer }])),
        reads: [...state.reads],
        handOver: state.handOver === undefined ? undefined : { ...state.handOver },
        lost: [...state.lost],
    };
}
