/** Instants at which suspicions end. */
export class Suspicions {
    private readonly ends = new Map<string, number>();
    private earliest = Number.POSITIVE_INFINITY;

    start(id: string, until: number): void {
        this.ends.set(id, until);
        this.earliest = Math.min(this.earliest, until);
    }

    cancel(id: string): void {
        if (this.ends.delete(id)) {
            this.earliest = Math.min(Number.POSITIVE_INFINITY, ...this.ends.values());
        }
    }

    /** Removes and returns the members whose suspicion has ended. */
    takeEnded(now: number): string[] {
        if (this.earliest > now) {
            return [];
        }
        const ended = [...this.ends].filter(([, until]) => until <= now).map(([id]) => id);
        ended.forEach(id => this.cancel(id));
        return ended;
    }

    nextInstant(): number {
        return this.earliest;
    }
}
