import type { HandOverKind } from "../schema/index.ts";
import { permitExpiryBoundMs } from "./permit-bounds.ts";

/**
 * Tells the leader when a drain is in force at every entry. A permit that does not know the drain was requested before
 * the leader applied it, so all of them have ended `drainInForceMs` after that instant. A new leader counts from its
 * election, since it does not know when the earlier leader applied the drain.
 */
export class DrainTracker {
    private readonly appliedAt = new Map<string, number>();
    private electedAt: number | undefined;

    /** The process was elected and has applied the entries of all earlier terms. */
    onElected(now: number): void {
        this.appliedAt.clear();
        this.electedAt = now;
    }

    onDeposed(): void {
        this.appliedAt.clear();
        this.electedAt = undefined;
    }

    /** The leader applied a command that set the item to `draining`. Later calls for the item change nothing. */
    onDrainApplied(kind: HandOverKind, id: string, now: number): void {
        const key = `${kind}/${id}`;
        if (!this.appliedAt.has(key)) {
            this.appliedAt.set(key, now);
        }
    }

    /** Forgets an item that was removed or transferred. */
    remove(kind: HandOverKind, id: string): void {
        this.appliedAt.delete(`${kind}/${id}`);
    }

    /** Time for which the leader has known the drain, for the step `released`; undefined at other processes. */
    sinceAppliedMs(kind: HandOverKind, id: string, now: number): number | undefined {
        const from = this.appliedAt.get(`${kind}/${id}`) ?? this.electedAt;
        return from === undefined ? undefined : now - from;
    }

    /** True when no entry can send new work to the item, which must be set to `draining`. */
    isEffective(kind: HandOverKind, id: string, now: number): boolean {
        return (this.sinceAppliedMs(kind, id, now) ?? 0) >= permitExpiryBoundMs;
    }
}
