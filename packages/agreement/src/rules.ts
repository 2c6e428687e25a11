/**
 * Rules of the protocol that the model checker can turn off one at a time, to prove that it notices.
 * A node enforces all of them; only a subclass in the checker or in a test overrides that.
 */
export type Rule =
    /** A voter campaigns only when a majority would vote for it. Without it there are more elections, all safe. */
    | "pre-vote"
    /** A reply waits until the writes that it depends on are durable. */
    | "reply-after-sync"
    /** A voter votes once a term. */
    | "one-vote-a-term"
    /** A voter refuses a candidate whose log is behind its own. */
    | "candidate-log-up-to-date"
    /** Entries of earlier terms are committed only through one of the leader's own term. */
    | "commit-own-term-only"
    /** The leader counts its own entries only when they are synced. */
    | "leader-counts-synced-only"
    /** A follower checks that its log continues the leader's before it appends. */
    | "append-checks-previous"
    /** A membership change waits for the commit of the one before. */
    | "one-change-at-a-time"
    /** A membership change waits for the commit of an entry of the leader's own term. */
    | "change-after-own-commit"
    /** A voter grants no vote within the minimum election timeout after it heard from a leader. */
    | "voters-keep-promise"
    /** A restarted voter first waits for the minimum election timeout. */
    | "promise-survives-restart"
    /** The lease is counted from the sending of the heartbeat, not from the reply. */
    | "lease-from-sending"
    /** The lease is shorter than the promise of the voters by the clock rate error. */
    | "lease-within-promise"
    /** The leader gives up its lease before a hand-over. */
    | "hand-over-ends-lease"
    /** A read without a lease waits for a quorum that answered after the read. */
    | "read-waits-for-quorum"
    /** A read waits for the commit of an entry of the leader's own term. */
    | "read-after-own-commit"
    /** A snapshot at or below the commit index is not installed. */
    | "snapshot-above-commit";
