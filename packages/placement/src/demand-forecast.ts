/** Predicts the demand from past observations. */
export abstract class DemandForecast {
    abstract observe(slots: number, now: number): void;
    /** Returns the maximum demand in slots expected from `now` to `until`. */
    abstract peakSlots(now: number, until: number): number;
}

const dayMs = 86_400_000;
const binMs = 900_000;
const binsPerDay = dayMs / binMs;
/** Weight of the latest day in the moving average of a bin. */
const newDayWeight = 0.3;
/** Time constant of the recent demand, within which a day that is busier or quieter than usual is detected. */
const recentTimeConstantMs = 600_000;

/**
 * Learns the daily shape of the demand as the mean of each quarter of an hour. The forecast is that shape, scaled by
 * the ratio of the recent demand to the mean of the current quarter, but at least the recent demand. On the first day,
 * when no shape is learned, the forecast is the recent demand.
 */
export class DailyShapeForecast extends DemandForecast {
    private readonly meanSlotsByBin = new Array<number | undefined>(binsPerDay).fill(undefined);
    private currentBin: { index: number; sum: number; count: number; } | undefined;
    private recentSlots = 0;
    private observedAt: number | undefined;

    override observe(slots: number, now: number): void {
        const previousWeight = this.observedAt === undefined
            ? 0
            : Math.exp(-(now - this.observedAt) / recentTimeConstantMs);
        this.recentSlots = this.recentSlots * previousWeight + slots * (1 - previousWeight);
        this.observedAt = now;
        const index = this.binIndexAt(now);
        if (this.currentBin?.index !== index) {
            this.finishBin();
            this.currentBin = { index, sum: 0, count: 0 };
        }
        this.currentBin.sum += slots;
        this.currentBin.count++;
    }

    override peakSlots(now: number, until: number): number {
        const currentMean = this.meanSlotsByBin[this.binIndexAt(now)];
        if (currentMean === undefined || currentMean === 0) {
            return this.recentSlots;
        }
        let highestMean = 0;
        for (let instant = now; instant <= until; instant += binMs) {
            highestMean = Math.max(highestMean, this.meanSlotsByBin[this.binIndexAt(instant)] ?? 0);
        }
        return Math.max(this.recentSlots, this.recentSlots * highestMean / currentMean);
    }

    private finishBin(): void {
        if (this.currentBin === undefined || this.currentBin.count === 0) {
            return;
        }
        const mean = this.currentBin.sum / this.currentBin.count;
        const previousMean = this.meanSlotsByBin[this.currentBin.index];
        this.meanSlotsByBin[this.currentBin.index] = previousMean === undefined
            ? mean
            : previousMean + (mean - previousMean) * newDayWeight;
    }

    private binIndexAt(instant: number): number {
        return Math.floor((instant % dayMs) / binMs);
    }
}
