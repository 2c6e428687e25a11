import { z } from "zod";
import { listenOptions } from "../http/http-stand-in.ts";

/** Options of the plain service; every field has a default. */
export const serviceOptions = listenOptions.extend({
    /** Time to execute an operation that is not named in `operations`. */
    latencyMs: z.number().min(0).default(5),
    /** Execution time by operation. */
    operations: z.record(z.string(), z.object({ latencyMs: z.number().min(0) })).default({}),
    /** Calls executed at the same time; others wait in order of arrival. */
    workers: z.number().int().positive().default(16),
    loadReportIntervalMs: z.number().positive().default(100),
    loadReportLagMs: z.number().min(0).default(250),
});

/** Faults of the service; `count` limits the number of calls concerned, `operation` restricts them. */
export const serviceFault = z.discriminatedUnion("kind", [
    z.object({
        kind: z.enum([
            "hang-before-execution",
            "hang-after-execution",
            "cut-after-execution",
            "error-before-execution",
        ]),
        count: z.number().int().positive().optional(),
        operation: z.string().optional(),
    }),
    z.object({ kind: z.literal("clear") }),
]);

export type ServiceFault = Exclude<z.infer<typeof serviceFault>, { kind: "clear"; }>;
