/** Lease of the placement duty, as seen by its holder. */
export abstract class DutyLease {
    /** Returns the fencing number, or undefined if the lease is not valid at `now`. */
    abstract fencingAt(now: number): number | undefined;
}
