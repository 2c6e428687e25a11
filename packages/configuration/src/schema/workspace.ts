import { z } from "zod";
import { listedLifecycleSchema } from "./lifecycle.ts";
import { nameSchema } from "./names.ts";

/**
 * Workspace. `share` is its share of the capacity, between 0 and 1. `weights` are the relative weights of its priority
 * classes in fair queueing.
 */
export const workspaceSchema = z.strictObject({
    id: nameSchema,
    share: z.number().min(0).max(1),
    weights: z.strictObject({
        high: z.number().positive(),
        normal: z.number().positive(),
        low: z.number().positive(),
    }),
    lifecycle: listedLifecycleSchema,
});
export type Workspace = z.infer<typeof workspaceSchema>;
