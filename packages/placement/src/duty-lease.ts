/** The lease of the placement duty as its holder knows it. */
export abstract class DutyLease {
    /** Fencing number while the lease is valid at `now`, else undefined. */
    abstract fencingAt(now: number): number | undefined;
}
