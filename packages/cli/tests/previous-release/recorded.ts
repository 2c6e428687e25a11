import type { RpcServer } from "@lentilramp/protocol";
import type { attachStewardMethods, StewardParts } from "@lentilramp/steward";
import type { z } from "zod";

/** Values of the messages between processes, one for each combination of fields that was seen. */
export interface RecordedMessages {
    calls: Record<string, { params: unknown[]; results: unknown[]; }>;
    /** Lines of the feeds between ingresses. */
    feed: unknown[];
}

/** What a steward stores. */
export interface RecordedState {
    /** Files of its data folder, by path, in base64. */
    folder: Record<string, string>;
    /** Commands of the agreement log, from index 1 on. */
    commands: string[];
    /** The state after these commands, as in a snapshot. */
    snapshot: string;
}

export type JsonSchema = z.core.JSONSchema.JSONSchema;

/** The schemas of messages, as JSON schemas of what their readers accept. */
export interface RecordedSchemas {
    /** Of the parameters of the methods of a steward. */
    params: Record<string, JsonSchema>;
    results: Record<string, JsonSchema>;
    /** Of the lines of a feed, and of elements that a list leaves out if they do not match. */
    parts: Record<"feed" | "ingress" | "endpoint", JsonSchema>;
}

/** Returns the schemas of the parameters with which a steward registers its methods. */
export function methodSchemas(attach: typeof attachStewardMethods): Record<string, z.ZodType> {
    const schemas: Record<string, z.ZodType> = {};
    const server = { method: (name: string, schema: z.ZodType) => void (schemas[name] = schema) };
    attach(server as unknown as RpcServer, { core: {} } as StewardParts);
    return schemas;
}
