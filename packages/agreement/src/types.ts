import type { Message } from "./messages.ts";

/** Identity of a member, created at first start and kept with its storage; a lost disk means a new identity. */
export type NodeId = string;

export interface Member {
    readonly id: NodeId;
    /** Opaque to the core; the transport of the caller uses it. */
    readonly address: string;
    /** False for a learner, which receives the log but counts towards no quorum. */
    readonly voter: boolean;
}

export interface Membership {
    readonly members: readonly Member[];
    /** Removed identities; they are never admitted again. */
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

/** What the caller reads back from its storage at start. */
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
        /** The identity that the new one stands in for after a lost disk; it must be removed first. */
        readonly replaces?: NodeId;
    }
    | { readonly kind: "promote"; readonly id: NodeId; }
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
    /** A write or sync failed. The node stays passive until a new one is created from the stored state. */
    | { readonly type: "storage-failed"; };

export type Role = "follower" | "pre-candidate" | "candidate" | "leader";

export type RefusalReason =
    | "not-leader"
    /** No entry of the leader's own term is committed yet. */
    | "not-ready"
    | "handing-over"
    /** Too many uncommitted entries. */
    | "overloaded"
    | "change-in-progress"
    /** A lost identity must be removed before any other membership change. */
    | "remove-lost-first"
    | "not-caught-up"
    | "invalid-change";

/** Writes to storage. They must become durable in the order in which they are given. */
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
    /** Make all writes given so far durable, then step with `synced` and this sequence. */
    | { readonly type: "sync"; readonly sequence: number; }
    | { readonly type: "send"; readonly message: Message; }
    /** Apply these committed entries to the state machine, in order. */
    | { readonly type: "apply"; readonly entries: readonly Entry[]; }
    /** Replace the state of the state machine. */
    | { readonly type: "restore"; readonly snapshot: Snapshot; }
    /** Take a snapshot of the state machine and step with `snapshot-taken`. */
    | { readonly type: "snapshot-due"; readonly index: number; }
    /** The leader lease now ends at the instant `until`, or is not held. */
    | { readonly type: "lease"; readonly until: number | undefined; }
    | { readonly type: "role"; readonly role: Role; readonly term: number; readonly leader: NodeId | undefined; }
    /** Committed if and only if the entry applied at `index` has this `term`. */
    | { readonly type: "proposed"; readonly id: string; readonly index: number; readonly term: number; }
    | {
        readonly type: "refused";
        readonly id: string;
        readonly reason: RefusalReason;
        readonly leader: NodeId | undefined;
    }
    /** The state machine, now at `index` or later, may answer the read. */
    | { readonly type: "read-ready"; readonly id: string; readonly index: number; };
