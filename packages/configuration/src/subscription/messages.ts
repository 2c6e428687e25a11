import { z } from "zod";
import { incrementSchema } from "../change/change.ts";
import { configurationSchema, instantSchema, versionSchema } from "../schema/index.ts";

/** Longest time that a publisher holds a subscription (`subscription wait` of docs/design.md). */
export const maxSubscriptionWaitMs = 500;

/**
 * Request of `configuration.subscribe`. `version` is the version of the subscriber, 0 for none. `full` requests a full
 * transfer after a gap. `waitMs` is the longest time that the publisher may hold the request; it is a duration because
 * the clocks of the processes aren't synchronized.
 */
export const subscribeRequestSchema = z.strictObject({
    version: versionSchema,
    full: z.literal(true).optional(),
    waitMs: z.number().min(0).max(maxSubscriptionWaitMs).default(maxSubscriptionWaitMs),
});
export type SubscribeRequest = z.infer<typeof subscribeRequestSchema>;

/**
 * Answer of `configuration.subscribe`. At most one of `increments` and `full` is set; with neither, the publisher has
 * no newer version than the subscriber. `permitMs` is the duration of the send permit, counted from the instant at
 * which the subscriber sent its request; it is absent when the publisher must not grant a permit.
 */
export const subscribeAnswerSchema = z.strictObject({
    version: versionSchema,
    increments: z.array(incrementSchema).optional(),
    full: configurationSchema.optional(),
    permitMs: z.number().min(0).optional(),
    /** Wall clock time of the publisher, for a comparison with the clock of the subscriber. */
    controlTime: instantSchema,
});
export type SubscribeAnswer = z.infer<typeof subscribeAnswerSchema>;
