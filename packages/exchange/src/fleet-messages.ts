import {
    blockedPartSchema,
    crashReportSchema,
    endpointLifetimeSchema,
    endpointListSchema,
    ingressDescriptionSchema,
    limitReportSchema,
    originLivesSchema,
    originReportsSchema,
    permitDemandSchema,
    streamOriginSchema,
} from "@lentilramp/fleet";
import { rolloutNoticesSchema, rolloutReportsSchema } from "@lentilramp/rollouts";
import { admissionLevelsSchema, roomReportSchema } from "@lentilramp/room";
import { tolerantArray } from "@lentilramp/runtime";
import { z } from "zod";

const loadSchema = z.object({ running: z.number(), unreadTokens: z.number() });
/** Statements of endpoints about their limits, by endpoint. */
const limitReportsSchema = z.record(z.string(), limitReportSchema);
/** Evidence of the sender on the pace of endpoints: factor, and the number of samples that it rests on. */
const paceReportsSchema = z.record(z.string(), z.tuple([z.number().positive(), z.number().positive()]));
const addressSchema = z.object({ host: z.string(), port: z.int() });

/** Latest time of day that a date can hold, in milliseconds since the epoch. */
const maxWallMs = 8_640_000_000_000_000;

/** Request of an ingress to the leading steward with the RPC method `fleet.sync`. */
export const syncRequestSchema = z.object({
    ingress: ingressDescriptionSchema,
    /** Unique id of one run of the process. */
    lifetime: z.string(),
    /** Wall clock of the sender, in milliseconds since the epoch. */
    wallMs: z.number().nonnegative().max(maxWallMs),
    /** Time since the sender's last sync that a leading steward answered, in milliseconds. */
    elapsedMs: z.number(),
    /** Time for which the sender waits for the answer, in milliseconds. */
    waitMs: z.number().default(600),
    catalogVersion: z.number(),
    /** Number of the endpoint list that the sender uses; 0 when it has none from a steward. */
    listNumber: z.number(),
    /** Load that the sender has in flight, by endpoint. */
    load: z.record(z.string(), loadSchema),
    /** Whether the sender receives the load of other ingresses through exchange feeds. */
    followsOthers: z.boolean(),
    /** Ingresses whose feeds timed out or could not be opened by the sender. */
    suspects: z.array(z.string()),
    /** Tag of the roster that the sender uses; 0 when it has none. */
    rosterTag: z.number(),
    /** Number of started requests, by usage window and workspace. */
    usage: z.record(z.string(), z.record(z.string(), z.number())),
    /** Endpoints that the sender knows to be leaving and that its list still shows as ready. */
    leaving: z.array(endpointLifetimeSchema).default([]),
    /** Limits that endpoints named or lifted in answers to the sender. */
    limits: limitReportsSchema.default({}),
    /** Permits that the sender wants and holds for limited endpoints. */
    permits: z.record(z.string(), permitDemandSchema).default({}),
    /** Crashes of endpoints that the sender has seen and of which the leader may not have heard. */
    crashes: z.array(crashReportSchema).default([]),
    /**
     * Age of the last answer that began on a suspected or blocked prompt part or request, in milliseconds. A key names
     * a part by its id and a request by `request:` and its fingerprint, here and in the fields below.
     */
    begunParts: z.record(z.string(), z.number()).default({}),
    /** Blocked prompt parts and requests for which the sender has refused requests since its last sync. */
    refusedParts: z.array(z.string()).default([]),
    /** Tag of the verdicts that the sender obeys; 0 when it has none. */
    blockedTag: z.number().default(0),
    /** Origins of the sender's streams of which the leader may not have heard. */
    origins: originReportsSchema.default({}),
    /** Lives of these origins; absent from senders of earlier versions. */
    originLives: originLivesSchema.optional().catch(undefined),
    /** Tag of the services with a single version that the sender knows; 0 when it knows none. */
    singleVersionTag: z.number().default(0),
    /** Evidence since the last sync on endpoints whose pace differs from the usual; absent if there is none. */
    paces: paceReportsSchema.optional().catch(undefined),
    /** What the sender has seen of the versions of each service with a running roll-out; absent if there is none. */
    rolloutResults: rolloutReportsSchema.optional().catch(undefined),
    /** Number of the state of the roll-outs that the sender knows; absent before the first one. */
    rolloutRevision: z.number().optional().catch(undefined),
    /**
     * Work that arrived for each engine service since the last sync, including refused requests: prompt tokens that
     * are not in an engine's cache, all prompt tokens, and the time for which the requests would occupy slots, in
     * milliseconds.
     */
    demand: z.record(
        z.string(),
        z.object({
            unreadTokens: z.number(),
            promptTokens: z.number().default(0),
            placeMs: z.number(),
            /** Prefill speed of the engines as measured by the sender. */
            prefillTokensPerMs: z.number().optional(),
        }),
    ),
    /**
     * Work that arrived and that was served, by rank and workspace, for the services whose endpoints report their pace.
     * A report that cannot be read counts as none, because the rest of the sync must not be lost with it.
     */
    room: roomReportSchema.optional().catch(undefined),
});
export type SyncRequest = z.infer<typeof syncRequestSchema>;

export const rosterSchema = z.object({ tag: z.number(), ingresses: tolerantArray(ingressDescriptionSchema) });

/** Answer of a steward. A steward that does not lead returns its copy of the catalog and the leader's address. */
export const syncAnswerSchema = z.object({
    leading: z.boolean(),
    leader: addressSchema.optional(),
    stewards: z.array(addressSchema),
    /** Whether the steward leads or has heard of the leader lately, so that its catalog is not outdated. */
    current: z.boolean().optional(),
    /** The operator's configuration text when it is newer than the sender's. */
    catalog: z.object({ version: z.number(), text: z.string() }).optional(),
    /** The endpoint list when it differs from the sender's. */
    list: endpointListSchema.optional(),
    /** Number of the leader's endpoint list, and its age in milliseconds; undefined when the leader has no list. */
    listNumber: z.number().optional(),
    listAgeMs: z.number().optional(),
    /** Load of all other ingresses, by endpoint; sent to an ingress that receives no exchange feeds. */
    others: z.record(z.string(), loadSchema).optional(),
    /** Number of ingresses that may be running, including the sender of the request; 0 when it is unknown. */
    members: z.number(),
    /** Number of those ingresses whose syncs stopped so long ago that the leader counts them as silent. */
    silent: z.number().optional(),
    /** Wall-clock time from the median of the ingresses' clocks, in milliseconds since the epoch. */
    trueMs: z.number().optional(),
    /** Prefill speed of the engines of each service as measured by the fleet, in prompt tokens per millisecond. */
    engineRates: z.record(z.string(), z.number()).optional(),
    /** Factors that the whole fleet sees at endpoints whose pace differs from the usual; absent if there are none. */
    paces: z.record(z.string(), z.number().positive()).optional().catch(undefined),
    /** Endpoints that announced to any ingress that they are leaving and that the list still shows as ready. */
    leaving: z.array(endpointLifetimeSchema).optional(),
    /** Newest statement of each endpoint that has named a limit. */
    limits: limitReportsSchema.optional(),
    /** Id of the crash evidence of the leader, which a sender that has reported crashes to another leader lacks. */
    evidence: z.string().optional(),
    /** Number of crashes that accuse each suspected prompt part or request. */
    suspectedParts: z.record(z.string(), z.number()).optional(),
    /**
     * Prompt parts and requests that must be refused; absent if the steward does not know the newest verdicts or the
     * sender has them.
     */
    blockedParts: z.array(blockedPartSchema).optional(),
    /** Tag of the newest verdicts; absent if the steward does not know them. */
    blockedTag: z.number().optional(),
    /** Permits granted to the sender, by endpoint; absent if the steward grants none at all. */
    permits: z.record(z.string(), z.int().nonnegative()).optional(),
    /** Ingresses in contact with the leader; sent when the roster differs from the sender's. */
    roster: rosterSchema.optional(),
    /** Tag of the services with a single version; absent if the steward does not collect the origins of streams. */
    singleVersionTag: z.number().optional(),
    /** Whether the steward keeps origins for the lives that it is told; absent from earlier versions. */
    keepsOriginLives: z.boolean().optional().catch(undefined),
    /** Roll-outs as the steward knows them; absent if it knows none, or none runs and the sender knows its state. */
    rollouts: rolloutNoticesSchema.optional().catch(undefined),
    /** Services that have had one software version for long; sent when they differ from the sender's. */
    singleVersion: z.array(z.string()).optional(),
    /** The version of each of these services; absent from stewards of earlier versions. */
    singleVersions: z.record(z.string(), z.string()).optional().catch(undefined),
    /** Admission levels in force, by service; services that are not named have none. */
    room: admissionLevelsSchema.optional().catch(undefined),
});
export type SyncAnswer = z.infer<typeof syncAnswerSchema>;

/** Request with the RPC method `fleet.origins`: the keys of streams that callers take up, and their routes' services. */
export const originRequestSchema = z.object({ keys: z.array(z.string()), services: z.array(z.string()) });
export const originAnswerSchema = z.object({
    /** Whether the steward leads, so that it has heard of all origins that are known. */
    leading: z.boolean(),
    origins: z.record(z.string(), streamOriginSchema),
    /** The only version that can have begun a stream, for each of the services that has one. */
    single: z.record(z.string(), z.string()),
});
export type OriginAnswer = z.infer<typeof originAnswerSchema>;
