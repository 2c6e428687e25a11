/**
 * Longest time from the start of a proof of leadership to a call based on it, in milliseconds. It is shorter than a
 * process may take to resume after it was frozen.
 */
const proofLifetimeMs = 250;
/** Timeout of a duty call, in milliseconds; the platform usually answers within 50 ms. */
const callTimeoutMs = 800;
/** Margin for the time that a call is in transit, in milliseconds. */
const inTransitMarginMs = 300;

/**
 * Determines when the holder of the duties may make calls. A holder proves its leadership before each call, and its
 * calls end within a bound, so that no call of a previous holder can arrive after those of a new one. A holder that
 * returns waits until the lease since its last call has expired, because another may have acted in between.
 */
export class DutyLease {
    private lastCallAt: number;

    constructor(private readonly leaseMs: number, startedAt: number) {
        // Calls of an earlier run of this process were made before its start.
        this.lastCallAt = startedAt;
    }

    /** Returns the earliest instant at which a holder that assumed the duties at `assumedAt` may make a call. */
    earliestActionAt(
        assumedAt: number,
        predecessor: { previousHolder: string | undefined; heldBefore: boolean; },
        selfName: string,
    ): number {
        const { previousHolder, heldBefore } = predecessor;
        if (previousHolder === undefined || previousHolder === selfName) {
            return assumedAt;
        }
        const afterPreviousCalls = assumedAt + proofLifetimeMs + callTimeoutMs + inTransitMarginMs;
        return heldBefore
            ? Math.max(afterPreviousCalls, this.lastCallAt + this.leaseMs + inTransitMarginMs)
            : afterPreviousCalls;
    }

    /** Whether a proof of leadership that began at `proofStartedAt` still permits a call. */
    isProofFresh(proofStartedAt: number, now: number): boolean {
        return now - proofStartedAt <= proofLifetimeMs;
    }

    /** Records the start of a call and returns its deadline. */
    startCall(now: number): number {
        this.lastCallAt = now;
        return now + callTimeoutMs;
    }
}
