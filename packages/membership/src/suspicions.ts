interface Suspicion {
    /** Instant at which the member is asked once more; infinite after that. */
    checkAt: number;
    endsAt: number;
}

/** The member is asked once more after this part of the suspicion. */
const checkAfter = 0.75;

/** Suspicions in progress and what is due for them. */
export class Suspicions {
    private readonly suspicions = new Map<string, Suspicion>();
    private earliest = Number.POSITIVE_INFINITY;

    start(id: string, now: number, durationMs: number): void {
        this.suspicions.set(id, { checkAt: now + checkAfter * durationMs, endsAt: now + durationMs });
        this.findEarliest();
    }

    cancel(id: string): void {
        if (this.suspicions.delete(id)) {
            this.findEarliest();
        }
    }

    /** Returns the members to ask once more, and those whose suspicion has ended; the latter are forgotten. */
    takeDue(now: number): { check: string[]; ended: string[]; } {
        const check: string[] = [];
        const ended: string[] = [];
        if (this.earliest > now) {
            return { check, ended };
        }
        for (const [id, suspicion] of this.suspicions) {
            if (suspicion.endsAt <= now) {
                ended.push(id);
                this.suspicions.delete(id);
            }
            else if (suspicion.checkAt <= now) {
                check.push(id);
                suspicion.checkAt = Number.POSITIVE_INFINITY;
            }
        }
        this.findEarliest();
        return { check, ended };
    }

    nextInstant(): number {
        return this.earliest;
    }

    private findEarliest(): void {
        this.earliest = Number.POSITIVE_INFINITY;
        for (const { checkAt, endsAt } of this.suspicions.values()) {
            this.earliest = Math.min(this.earliest, checkAt, endsAt);
        }
    }
}
