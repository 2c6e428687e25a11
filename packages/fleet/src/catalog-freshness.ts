/** Lateness of a sync from which the process counts as short of processor time, in milliseconds. */
const starvedSyncDelayMs = 250;

/** State of the knowledge of the newest catalog, for the log. */
export interface FreshnessInputs {
    /** Time since the catalog was known to be the newest, in milliseconds. */
    confirmedMs: number;
    /** Largest lateness of a sync since then, in milliseconds. */
    syncDelayMs: number;
}

/**
 * Decides whether an ingress may serve with its catalog. An ingress that gets too little processor time to learn of a
 * newer catalog within the bound stops serving until it has asked. One that is out of contact with all stewards while
 * its own timers are on time goes on: its callers have nobody else to ask, and no steward expects it to know more.
 */
export class CatalogFreshness {
    private confirmedAt = -Infinity;
    private syncDelayMs = 0;

    constructor(
        /** Time within which a confirmed catalog must be in force, in milliseconds. */
        private readonly boundMs: number,
        /** Returns the instant at which the next sync is due; Infinity while one is in progress. */
        private readonly nextSyncAt: () => number = () => Infinity,
    ) {}

    /** Records the start of a sync that was due `delayMs` before. */
    recordSyncStart(delayMs: number): void {
        this.syncDelayMs = Math.max(this.syncDelayMs, delayMs);
    }

    /** Records that the catalog was the newest at the instant `sentAt`, at which a leading steward was asked. */
    recordConfirmation(sentAt: number): void {
        if (sentAt > this.confirmedAt) {
            this.confirmedAt = sentAt;
            this.syncDelayMs = 0;
        }
    }

    /** Whether the catalog is known to have been the newest within the bound. */
    isConfirmed(now: number): boolean {
        return now - this.confirmedAt <= this.boundMs;
    }

    /** Whether requests may be served with the present catalog. */
    mayServe(now: number): boolean {
        return this.isConfirmed(now) || this.latenessMs(now) < starvedSyncDelayMs;
    }

    describe(now: number): FreshnessInputs {
        return { confirmedMs: Math.round(now - this.confirmedAt), syncDelayMs: Math.round(this.latenessMs(now)) };
    }

    /** Largest lateness of a sync since the last confirmation, the one that is due included. */
    private latenessMs(now: number): number {
        // After a pause of the process, requests are read before the timer of the sync runs.
        return Math.max(this.syncDelayMs, now - this.nextSyncAt());
    }
}
