import type { Outcome } from "./outcome.ts";

/** What a claimant writes. */
export interface ClaimRecord {
    /** Unique for each attempt to claim, also after a restart of the entry. */
    claimant: string;
    digest: string;
    /** Instant after which the claimant does not dispatch. */
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
    /** Identity of the replica for which the message is meant. */
    replica: string;
    key: string;
    operation: ClaimOperation;
}

/**
 * - `wrong-identity`: the process is not the replica that is named, for example after a lost disk.
 * - `full`: the memory bound is reached.
 * - `storage`: the record could not be synced; it can still be found after a restart of the replica.
 */
export type ClaimRefusal = "wrong-identity" | "invalid-key" | "expired" | "issued-ahead" | "full" | "storage";

export type ClaimReply =
    | { kind: "register"; replica: string; register: Register; }
    | { kind: "refused"; replica: string; reason: ClaimRefusal; };
