/**
 * Embeddable agreement core: election, replication, snapshots, membership change.
 */
export {};
