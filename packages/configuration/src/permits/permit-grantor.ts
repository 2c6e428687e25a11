import type { PermitSource } from "../subscription/published-state.ts";
import { permitDurationMs } from "./permit-bounds.ts";

/**
 * Grants send permits at the leader. A grant needs a leader lease that is valid now, and the state of the earlier terms
 * must have been applied; else a drain that an earlier leader committed could be missing from the answer.
 */
export class PermitGrantor implements PermitSource {
    private leaseUntil = Number.NEGATIVE_INFINITY;
    private upToDate = false;

    /** The process was elected. No permit is granted until `onOwnTermApplied` and `onLease`. */
    onElected(): void {
        this.onDeposed();
    }

    /** The first entry of the leader's own term was applied, and with it every entry of earlier terms. */
    onCurrentTermApplied(): void {
        this.upToDate = true;
    }

    /** A majority confirmed the leader lease until `until`, by this process's clock. */
    onLease(until: number): void {
        this.leaseUntil = Math.max(this.leaseUntil, until);
    }

    /** The process leads no longer. */
    onDeposed(): void {
        this.leaseUntil = Number.NEGATIVE_INFINITY;
        this.upToDate = false;
    }

    /** True when answers are those of a leader with a valid lease. */
    mayGrant(now: number): boolean {
        return this.upToDate && now < this.leaseUntil;
    }

    grant(receivedAt: number, now: number): number | undefined {
        void receivedAt;
        return this.mayGrant(now) ? permitDurationMs : undefined;
    }
}
