/**
 * Lifeguard's local health multiplier: a node that misses answers or is suspected by others lengthens its probe
 * interval and timeout, since the node itself may be slow.
 */
export class LocalHealth {
    private score = 0;

    constructor(private readonly maxScore: number) {}

    /** Factor for the probe interval and the probe timeout, from 1 to `maxScore` + 1. */
    get multiplier(): number {
        return this.score + 1;
    }

    onProbeAnswered(): void {
        this.adjustScore(-1);
    }

    /** Records a probe without an answer. `missedNacks` is the number of helpers that did not send a nack either. */
    onProbeFailed(missedNacks: number): void {
        this.adjustScore(1 + missedNacks);
    }

    /** Records that the node refuted a suspicion about itself. */
    onRefuted(): void {
        this.adjustScore(1);
    }

    private adjustScore(change: number): void {
        this.score = Math.min(this.maxScore, Math.max(0, this.score + change));
    }
}
