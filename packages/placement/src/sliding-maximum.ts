/** Maximum of a value over a sliding window: an increase takes effect immediately, a decrease after the window. */
export class SlidingMaximum {
    /** Descending values, each newer than the one before. */
    private values: { recordedAt: number; value: number; }[] = [];

    constructor(private readonly windowMs: number) {}

    /** Records the value and returns the maximum over the window. */
    update(value: number, now: number): number {
        this.values = this.values.filter(earlier => earlier.recordedAt > now - this.windowMs && earlier.value > value);
        this.values.push({ recordedAt: now, value });
        return this.values[0]?.value ?? value;
    }
}
