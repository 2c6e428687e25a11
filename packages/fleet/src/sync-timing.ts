/** Shortest interval between two syncs of an ingress, in milliseconds. */
const minSyncIntervalMs = 250;
/** Sync interval per ingress of the fleet, in milliseconds; it bounds the rate of syncs at the leader. */
const syncIntervalMsPerMember = 5;
/** Part of the sync interval after which an early sync may follow. */
const earlySyncPart = 0.25;
/** Number of syncs that an ingress may miss before it counts as lost. */
const toleratedMissedSyncs = 2;
/** Time allowed for a failed sync, in milliseconds. */
const failedSyncMs = 700;

/** Time by which a sync may be late, in milliseconds, for instance due to a slow steward or garbage collection. */
const syncOverdueMs = 250;
/** Lower bound of the leader contact timeout, in milliseconds. */
const minLeaderContactTimeoutMs = 1_000;
/** Time from the leader contact timeout until other ingresses may use the part of the caps, in milliseconds. */
const capReleaseMarginMs = 300;

/** Returns the sync interval in a fleet of `members`, in milliseconds; the leader gets at most 200 syncs per second. */
export function syncIntervalMs(members: number): number {
    return Math.max(minSyncIntervalMs, members * syncIntervalMsPerMember);
}

/** Returns the shortest interval between syncs that an ingress may ask for early, in milliseconds. */
export function earlySyncIntervalMs(members: number): number {
    return syncIntervalMs(members) * earlySyncPart;
}

/**
 * Returns the shortest interval between syncs that bring origins of streams, in milliseconds. Ingresses have new ones all
 * the time while a service has several versions, so that the leader's rate of syncs keeps its bound.
 */
export function originSyncIntervalMs(members: number): number {
    return Math.max(earlySyncIntervalMs(members), members * syncIntervalMsPerMember);
}

/** Returns the time without a sync after which one of `members` ingresses counts as lost, in milliseconds. */
export function syncTimeoutMs(members: number): number {
    return syncIntervalMs(members) * toleratedMissedSyncs + failedSyncMs;
}

/** Returns the same time for an ingress that does not answer its peers either: one sync is overdue. */
export function suspectedSyncTimeoutMs(members: number): number {
    return syncIntervalMs(members) + syncOverdueMs;
}

/** Returns the time without an answer of the leader after which an ingress has lost contact, in milliseconds. */
export function leaderContactTimeoutMs(members: number): number {
    return Math.max(minLeaderContactTimeoutMs, syncIntervalMs(members) * toleratedMissedSyncs + failedSyncMs);
}

/**
 * Returns the time without a sync after which the leader releases an ingress's part of the caps to others, in
 * milliseconds. By then that ingress has lost contact itself and uses less.
 */
export function capReleaseDelayMs(members: number): number {
    return leaderContactTimeoutMs(members) + capReleaseMarginMs;
}
