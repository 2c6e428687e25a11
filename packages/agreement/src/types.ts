import type { Message } from "./messages.ts";

/** Identity of a member, created at its first start and kept in its storage. A lost disk requires a new identity. */
export type NodeId = string;

export interface Member {
    readonly id: NodeId;
    /** Address for the caller's transport; the protocol does not interpret it. */
    readonly address: string;
    /** Whether the member counts towards quorums; false for a learner, which only receives the log. */
    readonly voter: boolean;
}

export interface Membership {
    readonly members: readonly Member[];
    /** Removed identities, which are never admitted again. */
    readonly retired: readonly NodeId[];
}

export type EntryContent =
    | { readonly kind: "no-op"; }
    | { readonly kind: "command"; readonly command: string; }
    | { readonly kind: "membership"; readonly membership: Membership; };

export interface Entry {
    readonly index: number;
    readonly term: number;
    readonly content: EntryContent;
}

export interface LogPosition {
    readonly index: number;
    readonly term: number;
}

export interface Snapshot extends LogPosition {
    /** The membership as of `index`. */
    readonly membership: Membership;
    /** The state of the caller's state machine after the entry at `index`. */
    readonly state: string;
}

/** The state that the caller reads from its storage at start. */
export interface StoredState {
    readonly term: number;
    readonly votedFor: NodeId | undefined;
    readonly commitIndex: number;
    readonly snapshot: Snapshot;
    /** Position before the first retained entry; at most the position of the snapshot. */
    readonly base: LogPosition;
    readonly entries: readonly Entry[];
}

export type MembershipChange =
    | {
        readonly kind: "add-learner";
        readonly id: NodeId;
        readonly address: string;
        /** Identity that the new one replaces after the loss of a disk; it must be removed first. */
        readonly replaces?: NodeId;
    }
    | { readonly kind: "promote"; readonly id: NodeId; }
    /** Takes the vote of a member, which remains as a learner. */
    | { readonly kind: "demote"; readonly id: NodeId; }
    | { readonly kind: "remove"; readonly id: NodeId; };

export type Input =
    | { readonly type: "tick"; }
    | { readonly type: "message"; readonly message: Message; }
    | { readonly type: "propose"; readonly id: string; readonly command: string; }
    | { readonly type: "change-membership"; readonly id: string; readonly change: MembershipChange; }
    | { readonly type: "read"; readonly id: string; }
    /** All writes up to `sequence` are durable. */
    | { readonly type: "synced"; readonly sequence: number; }
    /** Answer to `snapshot-due`: the state of the state machine after the entry at `index`. */
    | { readonly type: "snapshot-taken"; readonly index: number; readonly state: string; }
    | { readonly type: "hand-over"; readonly target?: NodeId; }
    /** A write or sync failed. The node only refuses requests until a new node is created from the stored state. */
    | { readonly type: "storage-failed"; };

export type Role = "follower" | "pre-candidate" | "candidate" | "leader";

export type RefusalReason =
    | "not-leader"
    /** No entry of the leader's own term is committed yet. */
    | "not-ready"
    | "handing-over"
    /** There are too many uncommitted entries. */
    | "overloaded"
    | "change-in-progress"
    /** An identity that has lost its storage must be removed before any other membership change. */
    | "remove-lost-first"
    | "not-caught-up"
    | "invalid-change";

/** Writes to storage, which must become durable in the order in which they are given. */
export type Write =
    | {
        readonly type: "save-state";
        readonly sequence: number;
        readonly term: number;
        readonly votedFor: NodeId | undefined;
        readonly commitIndex: number;
    }
    /** Replaces all stored entries from the index of the first given entry on. */
    | { readonly type: "append"; readonly sequence: number; readonly entries: readonly Entry[]; }
    | {
        readonly type: "save-snapshot";
        readonly sequence: number;
        readonly snapshot: Snapshot;
        /** Entries up to this position are dropped. */
        readonly base: LogPosition;
        /** False when the whole stored log is dropped because it does not continue the snapshot. */
        readonly keepLog: boolean;
    };

export type Effect =
    | Write
    /** Asks the caller to make all writes so far durable, and then to step with `synced` and this sequence. */
    | { readonly type: "sync"; readonly sequence: number; }
    | { readonly type: "send"; readonly message: Message; }
    /** Asks the caller to apply these committed entries to the state machine, in order. */
    | { readonly type: "apply"; readonly entries: readonly Entry[]; }
    /** Asks the caller to replace the state of the state machine. */
    | { readonly type: "restore"; readonly snapshot: Snapshot; }
    /** Asks the caller to take a snapshot of the state machine and to step with `snapshot-taken`. */
    | { readonly type: "snapshot-due"; readonly index: number; }
    /** Reports that the leader lease now ends at the instant `until`, or is not held when `until` is undefined. */
    | { readonly type: "lease"; readonly until: number | undefined; }
    | { readonly type: "role"; readonly role: Role; readonly term: number; readonly leader: NodeId | undefined; }
    /** Reports an appended proposal, which is committed if and only if the entry applied at `index` has `term`. */
    | { readonly type: "proposed"; readonly id: string; readonly index: number; readonly term: number; }
    | {
        readonly type: "refused";
        readonly id: string;
        readonly reason: RefusalReason;
        readonly leader: NodeId | undefined;
    }
    /** Reports that the state machine, which has applied the entries up to `index`, may answer the read. */
    | { readonly type: "read-ready"; readonly id: string; readonly index: number; };
