import type { Entry, NodeId, Snapshot } from "./types.ts";

interface Header {
    readonly from: NodeId;
    /** Identity of the receiver; a node with another identity ignores the message. */
    readonly to: NodeId;
    /** Current term of the sender. */
    readonly term: number;
}

/** Identifies a request of the leader; the reply echoes it. */
interface RequestStamp {
    /** Read round, which shows whether the reply is newer than a read that waits for a quorum. */
    readonly round: number;
    /** Instant of sending on the leader's clock, from which the lease is counted. */
    readonly sentAt: number;
}

export interface PreVoteRequest extends Header {
    readonly type: "pre-vote";
    /** Term in which the sender would campaign. */
    readonly asked: number;
    readonly lastIndex: number;
    readonly lastTerm: number;
}

export interface PreVoteReply extends Header {
    readonly type: "pre-vote-reply";
    readonly asked: number;
    readonly granted: boolean;
}

export interface VoteRequest extends Header {
    readonly type: "vote";
    readonly lastIndex: number;
    readonly lastTerm: number;
    /** Whether the leader asked for this election and has given up its lease. */
    readonly handOver: boolean;
}

export interface VoteReply extends Header {
    readonly type: "vote-reply";
    readonly granted: boolean;
}

export interface AppendRequest extends Header, RequestStamp {
    readonly type: "append";
    readonly prevIndex: number;
    readonly prevTerm: number;
    readonly entries: readonly Entry[];
    readonly commitIndex: number;
}

export interface SnapshotRequest extends Header, RequestStamp {
    readonly type: "snapshot";
    readonly snapshot: Snapshot;
}

export interface AppendReply extends Header, RequestStamp {
    readonly type: "append-reply";
    readonly ok: boolean;
    /** When `ok`, the index up to which the synced log equals the leader's; else the index after which to retry. */
    readonly index: number;
}

/** Asks the receiver to campaign immediately. */
export interface HandOverRequest extends Header {
    readonly type: "hand-over";
}

export type Message =
    | PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | SnapshotRequest
    | AppendReply
    | HandOverRequest;
