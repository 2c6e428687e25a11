import { endpointListSchema, ingressDescriptionSchema } from "@lentilramp/fleet";
import { z } from "zod";

const loadSchema = z.object({ running: z.number(), unreadTokens: z.number() });
const addressSchema = z.object({ host: z.string(), port: z.int() });

/** What an ingress tells the leading steward with `fleet.sync`. */
export const syncRequestSchema = z.object({
    ingress: ingressDescriptionSchema,
    /** Names one run of the process. */
    lifetime: z.string(),
    /** Wall clock of the sender, in milliseconds since the epoch. */
    wallMs: z.number(),
    /** Time since the sender's last sync that was answered, in milliseconds. */
    elapsedMs: z.number(),
    catalogVersion: z.number(),
    /** Number of the endpoint list that the sender holds; 0 for none. */
    listNumber: z.number(),
    /** Own load by endpoint. */
    load: z.record(z.string(), loadSchema),
    /** Whether the sender follows the load of the others itself. */
    followsOthers: z.boolean(),
    /** Ingresses that fell silent or do not answer the sender. */
    suspects: z.array(z.string()),
    /** Tag of the roster that the sender holds; 0 for none. */
    rosterTag: z.number(),
    /** Requests begun, by window and workspace. */
    usage: z.record(z.string(), z.record(z.string(), z.number())),
    /**
     * Work that arrived for each engine service since the last sync, refused requests included: prompt tokens to be
     * read, those of the whole prompts, and the time for which the requests would take a place.
     */
    demand: z.record(
        z.string(),
        z.object({
            unreadTokens: z.number(),
            promptTokens: z.number().default(0),
            placeMs: z.number(),
            /** How fast the engines read prompts, as the sender has measured it. */
            prefillTokensPerMs: z.number().optional(),
        }),
    ),
});
export type SyncRequest = z.infer<typeof syncRequestSchema>;

export const rosterSchema = z.object({ tag: z.number(), ingresses: z.array(ingressDescriptionSchema) });

/** Answer of a steward. One that does not lead gives what it knows of the catalog and names the leader. */
export const syncAnswerSchema = z.object({
    leading: z.boolean(),
    leader: addressSchema.optional(),
    stewards: z.array(addressSchema),
    /** The operator's text, when newer than the sender's. */
    catalog: z.object({ version: z.number(), text: z.string() }).optional(),
    /** The list, when it differs from the sender's. */
    list: endpointListSchema.optional(),
    /** Number and age of the leader's list in milliseconds; undefined when it has none. */
    listNumber: z.number().optional(),
    listAgeMs: z.number().optional(),
    /** Load by endpoint of all other ingresses, for one that does not follow them. */
    others: z.record(z.string(), loadSchema).optional(),
    /** Ingresses that may be at work, the asker included; 0 when not known. */
    members: z.number(),
    /** Those among them that the leader has not heard of for long. */
    silent: z.number().optional(),
    /** Time of day by the median of the members' clocks. */
    trueMs: z.number().optional(),
    /** How fast the engines of each service read prompts, as the fleet has measured it, in tokens for a millisecond. */
    engineRates: z.record(z.string(), z.number()).optional(),
    /** Ingresses in contact, when they differ from those that the asker knows. */
    roster: rosterSchema.optional(),
});
export type SyncAnswer = z.infer<typeof syncAnswerSchema>;
