/** The highest value of the last hold time: a rise takes effect at once, a fall after the hold time. */
export class SlidingMaximum {
    private values: { at: number; value: number; }[] = [];

    constructor(private readonly holdMs: number) {}

    update(value: number, now: number): number {
        this.values = this.values.filter(old => old.at > now - this.holdMs && old.value > value);
        this.values.push({ at: now, value });
        return this.values[0]?.value ?? value;
    }
}
