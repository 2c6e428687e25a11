import { z } from "zod";

/** RPC method of an ingress that tells where a request would be sent now; it sends and changes nothing. */
export const whereMethod = "ingress.where";

const countSchema = z.int().nonnegative().max(1e9);

/** The request to be looked at. */
export const whereRequestSchema = z.object({
    /** Name of the route. */
    route: z.string().min(1),
    workspace: z.string().min(1).optional(),
    /** Rank instead of the one of the workspace or the route; 0 is the most urgent. */
    rank: countSchema.optional(),
    /** Prompt tokens; absent for a plain call, or if they are those of the parts. */
    promptTokens: countSchema.optional(),
    /** Parts of the prompt; the last one belongs to the request alone, if there is more than one. */
    parts: z.array(z.object({ id: z.string().min(1), tokens: countSchema })).default([]),
    /** Size of the body in bytes. */
    sizeBytes: countSchema.optional(),
});
export type WhereRequest = z.infer<typeof whereRequestSchema>;

const refusalSchema = z.object({ status: z.number(), reason: z.string(), retryAfterMs: z.number().optional() });

/** Predicted times of a request at one endpoint, in milliseconds. */
const predictionSchema = z.object({
    firstByteMs: z.number(),
    idleFirstByteMs: z.number(),
    unreadTokens: z.number(),
    onTime: z.boolean(),
    /** Figure by which endpoints are compared; the lowest is the best. */
    score: z.number(),
});

const whereEndpointSchema = z.object({
    id: z.string(),
    failureDomain: z.string(),
    version: z.string(),
    /** State in the list: `ready`, `leaving` or `not-ready`. */
    state: z.string(),
    /** Requests that run there by all ingresses, and the prompt tokens that are not read yet. */
    running: z.number(),
    unreadTokens: z.number(),
    slots: z.number(),
    /** Factor by which work takes longer than usual, and the age of its newest evidence; absent without an estimate. */
    estimate: z.object({
        factor: z.number(),
        fullAt: z.number().optional(),
        ageMs: z.number().optional(),
    }).optional(),
    /** Absent if the endpoint is excluded. */
    prediction: predictionSchema.optional(),
    /** `may-be-chosen`, or why the endpoint is excluded or ranked lower. */
    verdict: z.string(),
});
export type WhereEndpoint = z.infer<typeof whereEndpointSchema>;

/** What holds for a request if the draws of its service and its version end in one way. */
const whereCaseSchema = z.object({
    service: z.string(),
    /** Part of such requests to which this applies, from 0 to 1. */
    share: z.number(),
    /** During a roll-out, whether these requests may go to the new version; absent without one. */
    rollout: z.enum(["target", "others"]).optional(),
    /** Admission level in force; absent if there is none. */
    level: z.object({
        /** Part of the requests of this rank and workspace that the level admits. */
        admittedShare: z.number(),
        /** Admitted share by rank; ranks that are not named are admitted whole. */
        ranks: z.array(z.tuple([z.number(), z.number()])),
        clearMs: z.number(),
        ageMs: z.number(),
        /** Whether enough of the service is taken for the level to apply now. */
        applies: z.boolean(),
    }).optional(),
    /** Waiting requests that would be served first. */
    queuedAhead: z.number(),
    /** `send`, `wait` or `refuse`, with the reason of a refusal and the times in milliseconds. */
    decision: z.object({
        kind: z.string(),
        reason: z.string().optional(),
        waitMs: z.number().optional(),
        retryAfterMs: z.number().optional(),
    }),
    /** Best endpoint; absent if there is none. */
    choice: z.string().optional(),
    endpoints: z.array(whereEndpointSchema),
    /** Endpoints that are left out of the list because it would be too long. */
    omitted: z.number(),
});
export type WhereCase = z.infer<typeof whereCaseSchema>;

export const whereAnswerSchema = z.object({
    ingress: z.object({
        name: z.string(),
        /** Whether requests are served at all. */
        ready: z.boolean(),
        stopping: z.boolean(),
        /** Whether requests go to another ingress, because this one reaches no endpoint. */
        cutOff: z.boolean(),
    }),
    catalogVersion: z.number(),
    route: z.string(),
    workspace: z.string().optional(),
    rank: z.number(),
    /** Refusal of every such request before an endpoint is looked for; absent if there is none. */
    refusal: refusalSchema.optional(),
    cases: z.array(whereCaseSchema),
});
export type WhereAnswer = z.infer<typeof whereAnswerSchema>;
