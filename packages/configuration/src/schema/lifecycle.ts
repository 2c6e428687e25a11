import { z } from "zod";
import { nameSchema, versionSchema } from "./names.ts";

/**
 * State of an item that can be drained or handed over. `transferred` never stands in a list of items: the item is
 * removed then and a tombstone keeps its id.
 */
export const lifecycleStateSchema = z.enum(["active", "planned", "draining", "released", "transferred"]);
export type LifecycleState = z.infer<typeof lifecycleStateSchema>;

/** Lifecycle of an item that is still listed. */
export const listedLifecycleSchema = lifecycleStateSchema.exclude(["transferred"]).default("active");

/** Kinds of items that can be handed over to the other half. */
export const handOverKindSchema = z.enum(["endpoint", "service", "workspace"]);
export type HandOverKind = z.infer<typeof handOverKindSchema>;

/** Id of a transferred item and the version that removed it; the id cannot be used again. */
export const tombstoneSchema = z.strictObject({ kind: handOverKindSchema, id: nameSchema, version: versionSchema });
export type Tombstone = z.infer<typeof tombstoneSchema>;
