import type { StoredPoint } from "./result-file.ts";

/** One figure against a numeric setting. */
export interface LinePlot {
    kind: "line";
    figure: string;
    x: string;
    series: readonly { label: string; points: readonly (readonly [x: number, y: number])[]; }[];
}

/** One figure of points without a common numeric setting. */
export interface BarPlot {
    kind: "bar";
    figure: string;
    bars: readonly { label: string; value: number; }[];
}

export type Plot = LinePlot | BarPlot;

interface Sample {
    point: StoredPoint;
    value: number;
}

/** The variant with the settings that differ among the points of the experiment, other than the x axis. */
function seriesLabel({ variant, setting }: StoredPoint, varying: readonly string[], x?: string): string {
    const parts = varying.filter(key => key !== x && setting[key] !== undefined).map(key => `${key}=${setting[key]}`);
    return [variant, ...parts].join(", ");
}

function varyingSettings(points: readonly StoredPoint[]): string[] {
    const keys = new Set(points.flatMap(({ setting }) => Object.keys(setting)));
    return [...keys].filter(key => new Set(points.map(({ setting }) => setting[key])).size > 1);
}

/**
 * Chooses the numeric setting that most points have, so that the candidate and the baselines share a plot; among equals
 * the one with the most values. A setting with a single value gives no axis.
 */
function chooseX(samples: readonly Sample[]): string | undefined {
    const values = new Map<string, number[]>();
    for (const { point } of samples) {
        for (const [key, value] of Object.entries(point.setting)) {
            if (typeof value === "number") {
                values.set(key, [...values.get(key) ?? [], value]);
            }
        }
    }
    const candidates = [...values]
        .map(([key, list]) => ({ key, points: list.length, distinct: new Set(list).size }))
        .filter(({ distinct }) => distinct > 1)
        .sort((a, b) => b.points - a.points || b.distinct - a.distinct);
    return candidates[0]?.key;
}

function linePlot(figure: string, x: string, samples: readonly Sample[], varying: readonly string[]): LinePlot {
    const series = new Map<string, (readonly [number, number])[]>();
    for (const { point, value } of samples) {
        const label = seriesLabel(point, varying, x);
        series.set(label, [...series.get(label) ?? [], [Number(point.setting[x]), value]]);
    }
    return {
        kind: "line",
        figure,
        x,
        series: [...series].map(([label, points]) => ({ label, points: points.sort((a, b) => a[0] - b[0]) })),
    };
}

function plotsOfFigure(figure: string, samples: readonly Sample[], varying: readonly string[]): Plot[] {
    if (samples.length === 0) {
        return [];
    }
    const x = chooseX(samples);
    if (x === undefined) {
        const bars = samples.map(({ point, value }) => ({ label: seriesLabel(point, varying), value }));
        return [{ kind: "bar", figure, bars }];
    }
    const hasX = ({ point }: Sample) => typeof point.setting[x] === "number";
    const rest = samples.filter(sample => !hasX(sample));
    return [linePlot(figure, x, samples.filter(hasX), varying), ...plotsOfFigure(figure, rest, varying)];
}

/** Groups the points of an experiment into plots: at least one for each figure, one series for each variant. */
export function createPlots(points: readonly StoredPoint[]): Plot[] {
    const varying = varyingSettings(points);
    const figures = new Map<string, Sample[]>();
    for (const point of points) {
        for (const [figure, value] of Object.entries(point.figures)) {
            const samples = figures.get(figure) ?? [];
            figures.set(figure, samples);
            if (value !== undefined) {
                samples.push({ point, value });
            }
        }
    }
    return [...figures].flatMap(([figure, samples]) => plotsOfFigure(figure, samples, varying));
}
