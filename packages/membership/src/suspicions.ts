interface SuspicionTimer {
    /** Time at which the member is pinged once more; infinite after that ping. */
    recheckAt: number;
    expiresAt: number;
}

/** Fraction of the suspicion duration after which the member is pinged once more. */
const recheckFraction = 0.75;

/** Timers of the current suspicions. */
export class SuspicionTimers {
    private readonly timers = new Map<string, SuspicionTimer>();
    private earliestDueAt = Number.POSITIVE_INFINITY;

    start(id: string, now: number, durationMs: number): void {
        this.timers.set(id, { recheckAt: now + recheckFraction * durationMs, expiresAt: now + durationMs });
        this.updateEarliestDueAt();
    }

    cancel(id: string): void {
        if (this.timers.delete(id)) {
            this.updateEarliestDueAt();
        }
    }

    /** Returns the members to ping once more, and those whose suspicion has expired. Removes the expired timers. */
    takeDue(now: number): { toRecheck: string[]; expired: string[]; } {
        const toRecheck: string[] = [];
        const expired: string[] = [];
        if (this.earliestDueAt > now) {
            return { toRecheck, expired };
        }
        for (const [id, timer] of this.timers) {
            if (timer.expiresAt <= now) {
                expired.push(id);
                this.timers.delete(id);
            }
            else if (timer.recheckAt <= now) {
                toRecheck.push(id);
                timer.recheckAt = Number.POSITIVE_INFINITY;
            }
        }
        this.updateEarliestDueAt();
        return { toRecheck, expired };
    }

    nextDueAt(): number {
        return this.earliestDueAt;
    }

    private updateEarliestDueAt(): void {
        this.earliestDueAt = Number.POSITIVE_INFINITY;
        for (const { recheckAt, expiresAt } of this.timers.values()) {
            this.earliestDueAt = Math.min(this.earliestDueAt, recheckAt, expiresAt);
        }
    }
}
