import type { DayReport } from "@lentilramp/platform-bench";
import { mean } from "simple-statistics";
import type { ExperimentResult, SeriesPoint } from "../experiment.ts";
import { pairedDifference } from "./paired.ts";

/** The same day with the same seed, played with both versions. */
export interface Pair {
    day: string;
    seed: number;
    base: DayReport;
    change: DayReport;
}

/** Name of the line over all days. */
const allDays = "all days";

function figuresOf({ prices, worthByKind, brokenRules, ...figures }: DayReport): Record<string, number> {
    return {
        ...figures,
        brokenRules: brokenRules.length,
        ...prefixed("worth of ", worthByKind),
        ...prefixed("price of ", prices),
    };
}

function prefixed(prefix: string, values: Readonly<Record<string, number>>): Record<string, number> {
    return Object.fromEntries(Object.entries(values).map(([name, value]) => [prefix + name, value]));
}

function meanFigures(reports: readonly DayReport[]): Record<string, number> {
    const all = reports.map(figuresOf);
    const names = Object.keys(all[0] ?? {});
    return Object.fromEntries(names.map(name => [name, mean(all.map(figures => figures[name] ?? 0))]));
}

/** Figures of both versions and the difference of their worth, for each day and over all of them. */
export function compare(pairs: readonly Pair[], settings: ExperimentResult["settings"]): ExperimentResult {
    const points: SeriesPoint[] = [];
    for (const day of [...new Set(pairs.map(pair => pair.day)), allDays]) {
        const own = pairs.filter(pair => day === allDays || pair.day === day);
        const worth = pairedDifference(own.map(({ base }) => base.worth), own.map(({ change }) => change.worth));
        points.push(
            { variant: "base", setting: { day }, figures: meanFigures(own.map(({ base }) => base)) },
            { variant: "change", setting: { day }, figures: meanFigures(own.map(({ change }) => change)) },
            {
                variant: "difference of worth",
                setting: { day, pairs: own.length },
                figures: {
                    mean: worth.mean,
                    ...worth.low === undefined || worth.high === undefined
                        ? {}
                        : { low: worth.low, high: worth.high },
                },
            },
        );
    }
    return { experiment: "compare", seed: 0, settings, points, targets: [] };
}
