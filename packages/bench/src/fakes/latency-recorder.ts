import { build } from "hdr-histogram-js";

/** Histogram of durations with a resolution of 1 µs and three significant digits. */
export class LatencyRecorder {
    private readonly histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 3.6e9,
        numberOfSignificantValueDigits: 3,
    });

    get count(): number {
        return this.histogram.totalCount;
    }

    record(ms: number): void {
        this.histogram.recordValue(Math.max(1, Math.round(ms * 1000)));
    }

    /** Returns a percentile in milliseconds. */
    percentile(percent: number): number {
        return this.histogram.getValueAtPercentile(percent) / 1000;
    }
}
