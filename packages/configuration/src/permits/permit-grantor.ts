import type { PermitSource } from "../subscription/published-state.ts";
import { permitDurationMs } from "./permit-bounds.ts";

/**
 * Grants send permits at the leader. A grant needs a valid leader lease and the applied entries of all earlier terms;
 * without these entries, the answer could lack a drain that an earlier leader committed.
 */
export class PermitGrantor implements PermitSource {
    private leaseEndsAt = Number.NEGATIVE_INFINITY;
    private earlierTermsApplied = false;

    /** Handles the election of the process. No permit is granted before `onCurrentTermApplied` and `onLease`. */
    onElected(): void {
        this.onDeposed();
    }

    /** Records that the leader applied the first entry of its term, and with it all entries of earlier terms. */
    onCurrentTermApplied(): void {
        this.earlierTermsApplied = true;
    }

    /** Records that a quorum confirmed the leader lease until `until`, by the clock of this process. */
    onLease(until: number): void {
        this.leaseEndsAt = Math.max(this.leaseEndsAt, until);
    }

    /** Handles the end of the leadership of the process. */
    onDeposed(): void {
        this.leaseEndsAt = Number.NEGATIVE_INFINITY;
        this.earlierTermsApplied = false;
    }

    /** Whether the process is a leader with a valid lease that has applied all entries of earlier terms. */
    mayGrant(now: number): boolean {
        return this.earlierTermsApplied && now < this.leaseEndsAt;
    }

    grant(receivedAt: number, now: number): number | undefined {
        void receivedAt;
        return this.mayGrant(now) ? permitDurationMs : undefined;
    }
}
