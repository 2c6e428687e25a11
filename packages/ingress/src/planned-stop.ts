/**
 * Fraction of the grace time after which the remaining connections are closed. The rest is for the other components of
 * the process, and for a signal that is handled late.
 */
const closeFraction = 11 / 12;

/** The planned stop of an ingress: from a signal until the end of the grace time. */
export class PlannedStop {
    private startedAt: number | undefined;

    constructor(private readonly graceMs: number) {}

    get begun(): boolean {
        return this.startedAt !== undefined;
    }

    /** Instant at which streams that have not ended are broken off. */
    get closeAt(): number {
        return this.startedAt === undefined ? Infinity : this.startedAt + this.graceMs * closeFraction;
    }

    begin(now: number): void {
        this.startedAt ??= now;
    }
}
