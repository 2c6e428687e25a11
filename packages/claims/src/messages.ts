import type { Outcome } from "./outcome.ts";

/** Record that a claimant writes to the replicas of a key. */
export interface ClaimRecord {
    /** Id that is unique for each attempt to claim a key, also across restarts of the entry. */
    claimant: string;
    digest: string;
    /** Instant after which the claimant does not dispatch the call. */
    dispatchDeadline: number;
}

export type Register =
    | { kind: "empty"; }
    | { kind: "sealed"; }
    | ClaimRecord & { kind: "claimed"; outcome: Outcome | undefined; };

export type ClaimOperation =
    | { kind: "read"; }
    | { kind: "seal"; }
    | { kind: "write"; record: ClaimRecord; }
    | { kind: "outcome"; record: ClaimRecord; outcome: Outcome; };

export interface ClaimMessage {
    /** Identity of the replica that the message is addressed to. */
    replica: string;
    key: string;
    operation: ClaimOperation;
}

/**
 * Reason for which a replica refuses a message.
 * - `wrong-identity`: the process is not the addressed replica, for example because its disk was lost.
 * - `full`: the memory limit is reached.
 * - `storage`: the record could not be synced; it may still reappear when the replica restarts.
 */
export type ClaimRefusal = "wrong-identity" | "invalid-key" | "expired" | "issued-ahead" | "full" | "storage";

export type ClaimReply =
    | { kind: "register"; replica: string; register: Register; }
    | { kind: "refused"; replica: string; reason: ClaimRefusal; };
