import { readFileSync } from "node:fs";
import { z } from "zod";

const settingValue = z.union([z.string(), z.number(), z.boolean()]);

/** JSON has no NaN and no Infinity and stores them as null; such a figure counts as not measured. */
const figure = z.number().nullable().transform(value => value ?? undefined);

const resultSchema = z.object({
    experiment: z.string().min(1),
    seed: z.number(),
    settings: z.record(z.string(), settingValue.nullable().transform(value => value ?? undefined)),
    points: z.array(z.object({
        variant: z.string(),
        setting: z.record(z.string(), z.union([z.string(), z.number()])),
        figures: z.record(z.string(), figure),
    })),
    targets: z.array(z.object({ name: z.string(), goal: z.string(), measured: figure, met: z.boolean() })),
});

/** An `ExperimentResult` as read from JSON, where figures that are not finite are undefined. */
export type StoredResult = z.infer<typeof resultSchema>;
export type StoredPoint = StoredResult["points"][number];

/** A result file cannot be read or does not hold a result. */
export class ResultFileError extends Error {
    constructor(file: string, problem: string) {
        super(`${file}: ${problem}`);
        this.name = "ResultFileError";
    }
}

function readJson(file: string): unknown {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        throw new ResultFileError(file, `cannot be read (${(error as NodeJS.ErrnoException).code ?? String(error)})`);
    }
    try {
        return JSON.parse(text);
    }
    catch (error) {
        throw new ResultFileError(file, `is not JSON (${(error as Error).message})`);
    }
}

/** Reads a file that `npm run bench -- NAME --json FILE` wrote. */
export function readResultFile(file: string): StoredResult {
    const parsed = resultSchema.safeParse(readJson(file));
    if (!parsed.success) {
        const issues = parsed.error.issues.map(({ path, message }) => `${path.join(".") || "result"}: ${message}`);
        throw new ResultFileError(file, `is not a result of an experiment (${issues.join("; ")})`);
    }
    return parsed.data;
}
