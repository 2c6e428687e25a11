import { z } from "zod";
import { incrementSchema } from "../change/change.ts";
import { configurationSchema, instantSchema, versionSchema } from "../schema/index.ts";

/** Longest time that a subscription is held open (`subscription wait` of docs/design.md). */
export const maxSubscriptionWaitMs = 500;

/**
 * Request of `configuration.subscribe`. `version` is the held version, 0 for none. `full` asks for a full transfer after
 * a gap. `waitMs` is how long the publisher may hold the request; a duration, because the clocks share no time of day.
 */
export const subscribeRequestSchema = z.strictObject({
    version: versionSchema,
    full: z.literal(true).optional(),
    waitMs: z.number().min(0).max(maxSubscriptionWaitMs).default(maxSubscriptionWaitMs),
});
export type SubscribeRequest = z.infer<typeof subscribeRequestSchema>;

/**
 * Answer of `configuration.subscribe`. At most one of `increments` and `full` is set; with neither, the held version is
 * the newest that the publisher knows. `permitMs` is the duration of the send permit, counted from the instant at which
 * the subscriber sent its request; absent when the publisher may grant none.
 */
export const subscribeAnswerSchema = z.strictObject({
    version: versionSchema,
    increments: z.array(incrementSchema).optional(),
    full: configurationSchema.optional(),
    permitMs: z.number().min(0).optional(),
    /** Time of day of the publisher, for the comparison of wall clocks. */
    controlTime: instantSchema,
});
export type SubscribeAnswer = z.infer<typeof subscribeAnswerSchema>;
