/** A goal of an experiment and what was measured for it. */
export interface TargetResult {
    name: string;
    /** The stated goal with its unit, for example "at most 5,000 ms". */
    goal: string;
    measured: number;
    met: boolean;
}

/** Figures of one variant (the candidate or a baseline) in one setting, by figure name; the unit is in the name. */
export interface SeriesPoint {
    variant: string;
    setting: Readonly<Record<string, string | number>>;
    figures: Readonly<Record<string, number>>;
}

/** Result of one run; for experiments with an injected clock it depends on the seed and the settings only. */
export interface ExperimentResult {
    experiment: string;
    seed: number;
    settings: Readonly<Record<string, string | number | boolean>>;
    points: readonly SeriesPoint[];
    targets: readonly TargetResult[];
}

/** One experiment of `npm run bench`. */
export abstract class Experiment {
    abstract readonly name: string;
    abstract readonly description: string;
    /** True when two runs with the same seed give the same result to the last digit. */
    abstract readonly reproducible: boolean;

    abstract run(seed: number): Promise<ExperimentResult>;
}

/** Builds a target that is met when `measured` is at most `limit`. */
export function atMost(name: string, limit: number, measured: number, unit: string): TargetResult {
    return { name, goal: `at most ${limit} ${unit}`, measured, met: measured <= limit };
}

/** Builds a target that is met when `measured` is at least `limit`. */
export function atLeast(name: string, limit: number, measured: number, unit: string): TargetResult {
    return { name, goal: `at least ${limit} ${unit}`, measured, met: measured >= limit };
}
