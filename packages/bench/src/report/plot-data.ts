import { axisLabel } from "./axis-label.ts";
import type { LinePlot } from "./plots.ts";

/** What the script of the page needs to draw one plot; `data` is in uPlot's form, x values first. */
export interface PlotData {
    xLabel: string;
    yLabel: string;
    labels: readonly string[];
    data: readonly (readonly (number | undefined)[])[];
}

/**
 * Aligns the series on common x values. An x value that one series has several times is repeated, so that no point is
 * lost. Missing values become null in JSON.
 */
export function plotData(plot: LinePlot): PlotData {
    const rows = new Map<number, number>();
    const byX = plot.series.map(({ points }) => {
        const values = new Map<number, number[]>();
        for (const [x, y] of points) {
            values.set(x, [...values.get(x) ?? [], y]);
            rows.set(x, Math.max(rows.get(x) ?? 0, values.get(x)?.length ?? 0));
        }
        return values;
    });
    const slots = [...rows].sort((a, b) => a[0] - b[0]).flatMap(([x, count]) =>
        [...Array(count).keys()].map(index => ({ x, index }))
    );
    return {
        xLabel: axisLabel(plot.x),
        yLabel: axisLabel(plot.figure),
        labels: plot.series.map(({ label }) => label),
        data: [slots.map(({ x }) => x), ...byX.map(values => slots.map(({ x, index }) => values.get(x)?.[index]))],
    };
}
