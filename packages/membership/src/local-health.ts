/**
 * Lifeguard's local health multiplier: a node that misses answers or is suspected by others takes longer over its own
 * probes, since it may itself be the slow part.
 */
export class LocalHealth {
    private score = 0;

    constructor(private readonly max: number) {}

    /** Factor for the probe interval and the probe timeout, from 1 to `max` + 1. */
    get multiplier(): number {
        return this.score + 1;
    }

    onProbeAnswered(): void {
        this.change(-1);
    }

    /** A probe got no answer; `missedNacks` helpers did not say either that they got none. */
    onProbeFailed(missedNacks: number): void {
        this.change(1 + missedNacks);
    }

    /** The node had to refute a suspicion about itself. */
    onRefuted(): void {
        this.change(1);
    }

    private change(by: number): void {
        this.score = Math.min(this.max, Math.max(0, this.score + by));
    }
}
