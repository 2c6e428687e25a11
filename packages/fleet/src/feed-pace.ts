/** Lateness of a send from which the process counts as short of processor time, in milliseconds. */
const lateSendMs = 30;
/** Largest factor by which the pause between two lines grows. */
const maxStretch = 8;
/** Part of the stretch that remains after each send on time. */
const stretchDecay = 0.9;

/**
 * Pause between two lines of a feed. A hub has many subscribers; when it is short of processor time, it sends to them
 * less often, so that its own requests and syncs are not held up by the feeds.
 */
export class FeedPace {
    private stretch = 1;

    constructor(
        /** Shortest pause for one subscriber, and the addition for each, in milliseconds. */
        private readonly minGapMs: number,
        private readonly gapPerSubscriberMs: number,
        /** Longest pause, in milliseconds. */
        private readonly maxGapMs: number,
    ) {}

    /** Records that a send started `lateMs` after its planned instant. */
    recordSend(lateMs: number): void {
        this.stretch = lateMs >= lateSendMs
            ? Math.min(maxStretch, this.stretch * 2)
            : Math.max(1, this.stretch * stretchDecay);
    }

    /** Returns the pause between two lines to a subscriber that follows the load closely, in milliseconds. */
    gapMs(subscribers: number): number {
        const gapMs = this.minGapMs + this.gapPerSubscriberMs * subscribers;
        return Math.max(gapMs, Math.min(this.maxGapMs, gapMs * this.stretch));
    }
}
