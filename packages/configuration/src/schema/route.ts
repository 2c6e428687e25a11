import { z } from "zod";
import { nameSchema } from "./names.ts";

/**
 * Latency target at a percentile (above 0, up to 100). Routes to engines use `firstTokenMs` and `tokenGapMs`; routes to
 * services use `totalMs`.
 */
export const latencyTargetSchema = z.strictObject({
    percentile: z.number().gt(0).max(100),
    firstTokenMs: z.number().positive().optional(),
    tokenGapMs: z.number().positive().optional(),
    totalMs: z.number().positive().optional(),
});
export type LatencyTarget = z.infer<typeof latencyTargetSchema>;

/** Retry policy. `maxAttempts` includes the first attempt. The backoff grows from `baseBackoffMs` to `maxBackoffMs`. */
export const retryPolicySchema = z.strictObject({
    maxAttempts: z.int().min(1).max(10),
    baseBackoffMs: z.number().min(0),
    maxBackoffMs: z.number().min(0),
});
export type RetryPolicy = z.infer<typeof retryPolicySchema>;

/** Hedge policy. A hedge is sent once the first attempt has taken longer than `afterPercentile` of past requests. */
export const hedgePolicySchema = z.strictObject({
    enabled: z.boolean(),
    afterPercentile: z.number().gt(0).max(100),
});
export type HedgePolicy = z.infer<typeof hedgePolicySchema>;

/** Target of a route: a model, or one or all operations of a service. */
export const routeTargetSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("engine"), model: nameSchema }),
    z.strictObject({ kind: z.literal("service"), service: nameSchema, operation: nameSchema.optional() }),
]);
export type RouteTarget = z.infer<typeof routeTargetSchema>;

/** Route with its latency target and its retry and hedge policies. */
export const routeSchema = z.strictObject({
    name: nameSchema,
    target: routeTargetSchema,
    latencyTarget: latencyTargetSchema,
    retry: retryPolicySchema,
    hedge: hedgePolicySchema,
});
export type Route = z.infer<typeof routeSchema>;
