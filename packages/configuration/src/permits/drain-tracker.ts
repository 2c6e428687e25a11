import type { HandOverKind } from "../schema/index.ts";
import { permitExpiryBoundMs } from "./permit-bounds.ts";

/**
 * Computes at the leader when a drain is effective at every entry. A permit of an entry without the drain was requested
 * before the leader applied the drain, so all such permits have expired `permitExpiryBoundMs` after that instant. A new
 * leader counts from its election, because it has no record of when the earlier leader applied the drain.
 */
export class DrainTracker {
    private readonly appliedAt = new Map<string, number>();
    private electedAt: number | undefined;

    /** Handles the election of the process, which has applied the entries of all earlier terms. */
    onElected(now: number): void {
        this.appliedAt.clear();
        this.electedAt = now;
    }

    onDeposed(): void {
        this.appliedAt.clear();
        this.electedAt = undefined;
    }

    /** Records when the leader set the item to `draining`. Later calls for the item have no effect. */
    onDrainApplied(kind: HandOverKind, id: string, now: number): void {
        const key = `${kind}/${id}`;
        if (!this.appliedAt.has(key)) {
            this.appliedAt.set(key, now);
        }
    }

    /** Removes an item that was removed from the configuration or transferred. */
    remove(kind: HandOverKind, id: string): void {
        this.appliedAt.delete(`${kind}/${id}`);
    }

    /**
     * Returns the milliseconds since the leader applied the drain, or since its election when it has no record of the
     * drain. The step `released` needs this duration. Returns undefined while the process isn't the leader.
     */
    sinceAppliedMs(kind: HandOverKind, id: string, now: number): number | undefined {
        const countedFrom = this.appliedAt.get(`${kind}/${id}`) ?? this.electedAt;
        return countedFrom === undefined ? undefined : now - countedFrom;
    }

    /** Whether no entry can send new work to the item any more. The item must be in the state `draining`. */
    isEffective(kind: HandOverKind, id: string, now: number): boolean {
        return (this.sinceAppliedMs(kind, id, now) ?? 0) >= permitExpiryBoundMs;
    }
}
