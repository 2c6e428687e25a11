/** Longest time from a proof of leadership to the call that rests on it, in milliseconds; below what a thaw may take. */
const proofMs = 250;
/** Longest time of a call of a duty, in milliseconds; the platform answers within 50 as a rule. */
const callMs = 800;
/** Added for the time that a call is on its way, in milliseconds. */
const marginMs = 300;

/**
 * When the holder of the duties may act. A holder proves that it leads before each call, and its calls end within a
 * bound, so that a new holder is never overtaken by the one before. One that comes back lets the lease pass since its
 * own last call, because another may have acted in between.
 */
export class DutyLease {
    private lastCallAt: number;

    constructor(private readonly leaseMs: number, startedAt: number) {
        // A call of an earlier run of the process was made before its start.
        this.lastCallAt = startedAt;
    }

    /** The first instant at which a holder may act that took office at `since`. */
    earliestActionAt(
        since: number,
        office: { previousHolder: string | undefined; heldBefore: boolean; },
        own: string,
    ): number {
        const { previousHolder, heldBefore } = office;
        if (previousHolder === undefined || previousHolder === own) {
            return since;
        }
        const afterOldCalls = since + proofMs + callMs + marginMs;
        return heldBefore ? Math.max(afterOldCalls, this.lastCallAt + this.leaseMs + marginMs) : afterOldCalls;
    }

    /** Whether a call may still rest on a proof of leadership that was begun at `provenAt`. */
    isProofFresh(provenAt: number, now: number): boolean {
        return now - provenAt <= proofMs;
    }

    /** Notes a call and returns its deadline. */
    startCall(now: number): number {
        this.lastCallAt = now;
        return now + callMs;
    }
}
