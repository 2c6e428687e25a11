import { z } from "zod";
import { listedLifecycleSchema } from "./lifecycle.ts";
import { nameSchema } from "./names.ts";

/** Operation of a service. `latencyPromiseMs` is the 95th percentile of the latency that its team commits to. */
export const operationSchema = z.strictObject({
    name: nameSchema,
    idempotent: z.boolean(),
    latencyPromiseMs: z.number().positive(),
});
export type Operation = z.infer<typeof operationSchema>;

/** Service with its operations. The name serves as id. */
export const serviceSchema = z.strictObject({
    name: nameSchema,
    operations: z.array(operationSchema).min(1),
    lifecycle: listedLifecycleSchema,
});
export type Service = z.infer<typeof serviceSchema>;

/** Model that engines serve. `contextTokens` limits the tokens of prompt and answer together. */
export const modelSchema = z.strictObject({ name: nameSchema, contextTokens: z.int().positive().optional() });
export type Model = z.infer<typeof modelSchema>;
