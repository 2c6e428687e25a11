import { z } from "zod";
import { nameSchema } from "./names.ts";

/** Latency target at a percentile (0 to 100). Engines use the token figures, services use `totalMs`. */
export const latencyTargetSchema = z.strictObject({
    percentile: z.number().gt(0).max(100),
    firstTokenMs: z.number().positive().optional(),
    tokenGapMs: z.number().positive().optional(),
    totalMs: z.number().positive().optional(),
});
export type LatencyTarget = z.infer<typeof latencyTargetSchema>;

/** Retry policy: attempts include the first one; back-off grows from `baseBackoffMs` to `maxBackoffMs`. */
export const retryPolicySchema = z.strictObject({
    maxAttempts: z.int().min(1).max(10),
    baseBackoffMs: z.number().min(0),
    maxBackoffMs: z.number().min(0),
});
export type RetryPolicy = z.infer<typeof retryPolicySchema>;

/** Hedge policy: a second copy is sent once the first has taken longer than `afterPercentile` of past requests. */
export const hedgePolicySchema = z.strictObject({
    enabled: z.boolean(),
    afterPercentile: z.number().gt(0).max(100),
});
export type HedgePolicy = z.infer<typeof hedgePolicySchema>;

/** What a route serves: a model, or one operation or all operations of a service. */
export const routeTargetSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("engine"), model: nameSchema }),
    z.strictObject({ kind: z.literal("service"), service: nameSchema, operation: nameSchema.optional() }),
]);
export type RouteTarget = z.infer<typeof routeTargetSchema>;

/** A route with its latency target and its retry and hedge policies. */
export const routeSchema = z.strictObject({
    name: nameSchema,
    target: routeTargetSchema,
    latencyTarget: latencyTargetSchema,
    retry: retryPolicySchema,
    hedge: hedgePolicySchema,
});
export type Route = z.infer<typeof routeSchema>;
