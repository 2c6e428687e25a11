import { z } from "zod";
import { listedLifecycleSchema } from "./lifecycle.ts";
import { nameSchema } from "./names.ts";

/** An operation of a service. `latencyPromiseMs` is the 95th percentile that its team commits to. */
export const operationSchema = z.strictObject({
    name: nameSchema,
    idempotent: z.boolean(),
    latencyPromiseMs: z.number().positive(),
});
export type Operation = z.infer<typeof operationSchema>;

/** A service with its operations; its name is its id. */
export const serviceSchema = z.strictObject({
    name: nameSchema,
    operations: z.array(operationSchema).min(1),
    lifecycle: listedLifecycleSchema,
});
export type Service = z.infer<typeof serviceSchema>;

/** A model that engines serve; `contextTokens` bounds prompt plus answer. */
export const modelSchema = z.strictObject({ name: nameSchema, contextTokens: z.int().positive().optional() });
export type Model = z.infer<typeof modelSchema>;
