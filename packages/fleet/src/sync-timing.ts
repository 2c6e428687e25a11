/** Least time between two syncs of an ingress, in milliseconds. */
const minSyncMs = 250;
/** Part of the time between two syncs for each ingress, in milliseconds; it bounds the rate at the leader. */
const syncMsPerMember = 5;
/** Syncs that an ingress may miss before it counts as lost, and the time for one that failed, in milliseconds. */
const missedSyncs = 2;
const failedSyncMs = 700;

/** Time by which a sync may be late, in milliseconds; a slow steward or a long collection of garbage. */
const overdueMs = 250;
/** Least time after which contact with the leader counts as lost, and the margin until others rely on it. */
const minContactLossMs = 1_000;
const releaseMarginMs = 300;

/** Time between two syncs of one of `members` ingresses, in milliseconds; the leader gets at most 200 a second. */
export function syncIntervalMs(members: number): number {
    return Math.max(minSyncMs, members * syncMsPerMember);
}

/** Silence after which one of `members` ingresses counts as lost, in milliseconds. */
export function syncTimeoutMs(members: number): number {
    return syncIntervalMs(members) * missedSyncs + failedSyncMs;
}

/** The same for an ingress that does not answer its peers either: one sync is overdue. */
export function suspectedSyncTimeoutMs(members: number): number {
    return syncIntervalMs(members) + overdueMs;
}

/** Time without an answer of the leader after which one of `members` ingresses has lost contact, in milliseconds. */
export function leaderContactTimeoutMs(members: number): number {
    return Math.max(minContactLossMs, syncIntervalMs(members) * missedSyncs + failedSyncMs);
}

/** Silence at the leader after which the caps of an ingress go to others; it has lost contact by then. */
export function capReleaseDelayMs(members: number): number {
    return leaderContactTimeoutMs(members) + releaseMarginMs;
}
