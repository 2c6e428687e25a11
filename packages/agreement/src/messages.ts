import type { Entry, NodeId, Snapshot } from "./types.ts";

interface Header {
    readonly from: NodeId;
    /** A node with another identity ignores the message. */
    readonly to: NodeId;
    /** Current term of the sender. */
    readonly term: number;
}

/** Identifies the leader's sending, echoed in the reply. */
interface RequestStamp {
    /** Read round, by which quorum-confirmed reads know that the reply is newer than the read. */
    readonly round: number;
    /** Instant of sending on the leader's clock, from which the lease is counted. */
    readonly sentAt: number;
}

export interface PreVoteRequest extends Header {
    readonly type: "pre-vote";
    /** The term that the sender would campaign in. */
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
    /** Set when the leader asked for this election and has given up its lease. */
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
    /** When ok, the follower's synced log equals the leader's up to here; else where to try next. */
    readonly index: number;
}

/** Asks the receiver to campaign at once. */
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
