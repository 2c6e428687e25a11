/** Predicts the demand from what was observed. */
export abstract class DemandForecast {
    abstract observe(slots: number, now: number): void;
    /** Highest demand expected from `now` until `until`. */
    abstract peak(now: number, until: number): number;
}

const dayMs = 86_400_000;
const binMs = 900_000;
const bins = dayMs / binMs;
/** Weight of a new day in the mean of its bin. */
const dayWeight = 0.3;
/** A day that is busier or quieter than usual is recognized within this time. */
const levelMs = 600_000;

/**
 * Learns the mean of each quarter of an hour of the day. The forecast is that shape times the ratio of the recent
 * demand to it, and at least the recent demand, so that the first day works without a shape.
 */
export class DailyShapeForecast extends DemandForecast {
    private readonly shape = new Array<number | undefined>(bins).fill(undefined);
    private bin: { index: number; sum: number; count: number; } | undefined;
    private level = 0;
    private observedAt: number | undefined;

    override observe(slots: number, now: number): void {
        const keep = this.observedAt === undefined ? 0 : Math.exp(-(now - this.observedAt) / levelMs);
        this.level = this.level * keep + slots * (1 - keep);
        this.observedAt = now;
        const index = this.indexAt(now);
        if (this.bin?.index !== index) {
            this.learn();
            this.bin = { index, sum: 0, count: 0 };
        }
        this.bin.sum += slots;
        this.bin.count++;
    }

    override peak(now: number, until: number): number {
        const known = this.shape[this.indexAt(now)];
        if (known === undefined || known === 0) {
            return this.level;
        }
        let highest = 0;
        for (let at = now; at <= until; at += binMs) {
            highest = Math.max(highest, this.shape[this.indexAt(at)] ?? 0);
        }
        return Math.max(this.level, this.level * highest / known);
    }

    private learn(): void {
        if (this.bin === undefined || this.bin.count === 0) {
            return;
        }
        const mean = this.bin.sum / this.bin.count;
        const before = this.shape[this.bin.index];
        this.shape[this.bin.index] = before === undefined ? mean : before + (mean - before) * dayWeight;
    }

    private indexAt(at: number): number {
        return Math.floor((at % dayMs) / binMs);
    }
}
