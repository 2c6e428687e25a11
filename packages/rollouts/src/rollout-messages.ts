import { z } from "zod";
import { rolloutStateSchema } from "./rollout-order.ts";

const countSchema = z.int().nonnegative();

/** Responses of one version on one route. */
export const versionTallySchema = z.object({
    failed: countSchema.default(0),
    /** Number of other responses by the bucket of their time; see `timeBucket`. */
    times: z.record(z.string(), countSchema).default({}),
});
export type VersionTally = z.infer<typeof versionTallySchema>;

/**
 * What an ingress reports of a running roll-out. All counts run from the instant at which it heard of the order, so that
 * a report may be lost, late or repeated.
 */
export const rolloutReportSchema = z.object({
    /** Instant of the order, which names the roll-out. */
    orderedAt: z.number(),
    /** Share of new requests that the ingress lets go to the target at this instant. */
    share: z.number(),
    /** Whether the ingress sends nothing to other versions, streams that are resumed included. */
    closed: z.boolean().default(false),
    /** Requests that came to the ingress for the service, refused ones included; absent from earlier builds. */
    asked: countSchema.optional(),
    /** Requests that reached the service: an endpoint has run them, or may have. */
    arrived: countSchema,
    /** Requests that were sent to endpoints of the target. */
    exposed: countSchema,
    /** By version and route, the tallies that have changed since the last report that was answered. */
    results: z.record(z.string(), z.record(z.string(), versionTallySchema)).default({}),
});
export type RolloutReport = z.infer<typeof rolloutReportSchema>;

/** Reports by service. */
export const rolloutReportsSchema = z.record(z.string(), rolloutReportSchema);

/** What a steward tells ingresses of the roll-out of a service. */
export const rolloutNoticeSchema = z.object({
    state: rolloutStateSchema,
    target: z.string(),
    orderedAt: z.number(),
    /** Versions that get no request. */
    barred: z.array(z.string()).default([]),
    /** Recorded step of a running roll-out, 0 for the canary; absent from earlier builds. */
    step: z.int().nonnegative().optional(),
    /** Share of new requests that may go to the target; absent if the steward does not lead. */
    share: z.number().min(0).max(1).optional(),
    /** Whether nothing may be sent to other versions, streams that are resumed included. */
    closed: z.boolean().default(false),
    /** Age of the share, and time for which it holds from its decision on, in milliseconds. */
    ageMs: z.number().nonnegative().default(0),
    validMs: z.number().nonnegative().default(0),
    /**
     * Time from the decision of the share on for which an ingress that loses contact may send to other versions, in
     * milliseconds; absent from earlier builds, and without a share.
     */
    othersMs: z.number().nonnegative().optional(),
    /**
     * Part of the ingresses that take the share of all, and time in milliseconds after which these, or all in the last
     * steps, ask again; absent where all take it and ask with their syncs.
     */
    part: z.number().positive().max(1).optional(),
    renewMs: z.number().positive().optional(),
});
export type RolloutNotice = z.infer<typeof rolloutNoticeSchema>;

export const rolloutNoticesSchema = z.object({
    /** Number of changes of the replicated state; an ingress ignores notices of an earlier one. */
    revision: z.number(),
    /** Whether the services of which a roll-out has ended are left out, because the ingress knows this revision. */
    partial: z.boolean().default(false),
    services: z.record(z.string(), rolloutNoticeSchema),
});
export type RolloutNotices = z.infer<typeof rolloutNoticesSchema>;

/** RPC method of the leader with which an ingress renews its shares between two syncs. */
export const renewMethod = "rollouts.renew";

/** The fields are those of a sync. */
export const renewRequestSchema = z.object({
    ingress: z.string(),
    lifetime: z.string(),
    rolloutResults: rolloutReportsSchema,
    rolloutRevision: z.number().optional(),
    load: z.record(z.string(), z.object({ running: z.number() })),
});
export type RenewRequest = z.infer<typeof renewRequestSchema>;

export const renewAnswerSchema = z.object({
    /** False if the steward does not lead; it records nothing then. */
    leading: z.boolean(),
    rollouts: rolloutNoticesSchema.optional(),
});
export type RenewAnswer = z.infer<typeof renewAnswerSchema>;
