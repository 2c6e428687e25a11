import type { ExperimentResult } from "./experiment.ts";

function pairs(values: Readonly<Record<string, string | number | boolean>>): string {
    return Object.entries(values)
        .map(([key, value]) => `${key}=${typeof value === "number" ? Number(value.toPrecision(6)) : value}`)
        .join(" ");
}

/** Formats a result for reading: settings, one line a point, one line a target. */
export function formatResult(result: ExperimentResult): string {
    return [
        `experiment ${result.experiment} seed ${result.seed}`,
        `settings ${pairs(result.settings)}`,
        ...result.points.map(point => `  ${point.variant} | ${pairs(point.setting)} | ${pairs(point.figures)}`),
        ...result.targets.map(target =>
            `${target.met ? "met   " : "MISSED"} ${target.name}: ${target.goal}, measured ${
                Number(target.measured.toPrecision(6))
            }`
        ),
    ].join("\n");
}
