/** Part of its time that a process spends on the lines of its feed at most. */
const maxTimePart = 0.2;
/** Weight of the newest measurement of the time that a line takes. */
const measurementWeight = 0.1;

/**
 * Pause between two lines of a feed. A hub has many subscribers; where a line takes it long, because the lines are long
 * or it gets little processor time, it sends less often, so that the feeds do not hold up its requests and syncs.
 */
export class FeedPace {
    private lineMs = 0;

    constructor(
        /** Shortest pause for one subscriber, and the addition for each, in milliseconds. */
        private readonly minGapMs: number,
        private readonly gapPerSubscriberMs: number,
        /** Longest pause, in milliseconds. */
        private readonly maxGapMs: number,
    ) {}

    /** Records that `count` lines took `tookMs` milliseconds together. */
    recordLines(count: number, tookMs: number): void {
        if (count > 0) {
            this.lineMs += (tookMs / count - this.lineMs) * measurementWeight;
        }
    }

    /** Returns the pause between two lines to a subscriber that follows the load closely, in milliseconds. */
    gapMs(subscribers: number): number {
        const gapMs = this.minGapMs + this.gapPerSubscriberMs * subscribers;
        return Math.max(gapMs, Math.min(this.maxGapMs, this.lineMs * subscribers / maxTimePart));
    }
}
