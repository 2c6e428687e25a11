/** Time in which recent evidence loses half of its weight, in milliseconds. */
export const evidenceHalfLifeMs = 1_000;

/** Bounds of the ratio of one sample, so that a single answer cannot dominate an estimate. */
const minSampleRatio = 1 / 8;
const maxSampleRatio = 8;

/** Returns the part of a weight that is left after `ageMs`. */
export function halfLifeDecay(ageMs: number, halfLifeMs = evidenceHalfLifeMs): number {
    return 2 ** (-Math.max(0, ageMs) / halfLifeMs);
}

/**
 * Ratio of measured to expected times, in which the weight of a sample halves with each half-life. It is the ratio of the
 * sums, so that expected times multiplied by it are right on average; a mean of ratios would not be.
 */
export class DecayingRatio {
    private measuredMs = 0;
    private expectedMs = 0;
    private samples = 0;
    private at = -Infinity;

    constructor(private readonly halfLifeMs = evidenceHalfLifeMs) {}

    add(measuredMs: number, expectedMs: number, now: number): void {
        const part = halfLifeDecay(now - this.at, this.halfLifeMs);
        const bounded = Math.min(maxSampleRatio, Math.max(minSampleRatio, measuredMs / expectedMs)) * expectedMs;
        this.measuredMs = this.measuredMs * part + bounded;
        this.expectedMs = this.expectedMs * part + expectedMs;
        this.samples = this.samples * part + 1;
        this.at = now;
    }

    /** Instant of the last sample; -Infinity before the first. */
    get lastAt(): number {
        return this.at;
    }

    /** Returns the ratio, or 1 before the first sample. */
    get ratio(): number {
        return this.expectedMs > 0 ? this.measuredMs / this.expectedMs : 1;
    }

    /** Number of samples, each with its weight at the time of the last one. */
    get weight(): number {
        return this.samples;
    }

    /** Returns the number of samples, each with its weight at the instant `now`. */
    weightAt(now: number): number {
        return this.samples === 0 ? 0 : this.samples * halfLifeDecay(now - this.at, this.halfLifeMs);
    }
}
