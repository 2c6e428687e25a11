/**
 * The rules of the protocol. A node enforces all of them. Only subclasses in the model checker and in tests turn off
 * one at a time, to prove that the model checker detects the violation.
 */
export type Rule =
    /** A voter campaigns only when a majority would vote for it. Without this there are more, but safe, elections. */
    | "pre-vote"
    /** A reply waits until the writes that it depends on are durable. */
    | "reply-after-sync"
    /** A voter grants at most one vote per term. */
    | "one-vote-a-term"
    /** A voter grants no vote to a candidate whose log is behind the voter's log. */
    | "candidate-log-up-to-date"
    /** Entries of earlier terms are committed only through one of the leader's own term. */
    | "commit-own-term-only"
    /** The leader counts itself towards the quorum of a commit only for entries that it has synced. */
    | "leader-counts-synced-only"
    /** A follower appends entries only when its log contains the leader's preceding entry. */
    | "append-checks-previous"
    /** A membership change waits for the commit of the previous one. */
    | "one-change-at-a-time"
    /** A membership change waits for the commit of an entry of the leader's own term. */
    | "change-after-own-commit"
    /** A member whose vote is taken receives the change once that is committed. */
    | "demotion-sent-once-committed"
    /** A voter grants no vote within the minimum election timeout after its last contact with a leader. */
    | "voters-keep-promise"
    /** A voter grants no vote within the minimum election timeout after its restart. */
    | "promise-survives-restart"
    /** The lease is counted from the sending of the heartbeat, not from the reply. */
    | "lease-from-sending"
    /** The lease is shorter than the time that voters withhold their votes, by the clock rate error. */
    | "lease-within-promise"
    /** The leader gives up its lease before a hand-over. */
    | "hand-over-ends-lease"
    /** A read without a lease waits until a quorum has answered a request that was sent after the read arrived. */
    | "read-waits-for-quorum"
    /** A read waits for the commit of an entry of the leader's own term. */
    | "read-after-own-commit"
    /** A snapshot at or below the commit index is not installed. */
    | "snapshot-above-commit";
