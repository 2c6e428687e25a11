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
    /** Ingresses whose load the sender hears directly. */
    heardFrom: z.array(z.string()),
    /** Tag of the roster that the sender holds; 0 for none. */
    rosterTag: z.number(),
    /** Cap units asked for since the last sync, by workspace. */
    asked: z.record(z.string(), z.number()),
    /** Requests begun, by window and workspace. */
    usage: z.record(z.string(), z.record(z.string(), z.number())),
    /**
     * Work that arrived for each engine service since the last sync, refused requests included: prompt tokens to be
     * read, and the time for which the requests would take a place.
     */
    demand: z.record(z.string(), z.object({ unreadTokens: z.number(), placeMs: z.number() })),
});
export type SyncRequest = z.infer<typeof syncRequestSchema>;

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
    /** Share of each workspace's cap, and the part that remains without contact. */
    shares: z.record(z.string(), z.number()),
    floorShare: z.number(),
    /** Workspaces for which only the floor is known, in the answer of a steward that does not lead. */
    cappedWorkspaces: z.array(z.string()).optional(),
    /** Load by endpoint of all other ingresses that the asker does not hear directly. */
    others: z.record(z.string(), loadSchema),
    members: z.number(),
    /** Time of day by the median of the members' clocks. */
    trueMs: z.number().optional(),
    /** Ingresses in contact, when they differ from those that the asker knows. */
    roster: z.object({ tag: z.number(), ingresses: z.array(ingressDescriptionSchema) }).optional(),
});
export type SyncAnswer = z.infer<typeof syncAnswerSchema>;

/** Asks the leading steward with `caps.draw` for units of a workspace's cap beyond the own share. */
export const drawRequestSchema = z.object({ workspace: z.string(), units: z.number() });

export const drawAnswerSchema = z.object({
    leading: z.boolean(),
    admitted: z.boolean(),
    /** Time after which there is room, in milliseconds, when that is known. */
    retryMs: z.number().optional(),
});
export type DrawAnswer = z.infer<typeof drawAnswerSchema>;
