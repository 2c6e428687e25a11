import { z } from "zod";
import { nameSchema, versionSchema } from "./names.ts";

/**
 * Lifecycle state of an item that can be drained or handed over. No item in the configuration has the state
 * `transferred`: the last step of a hand-over removes the item and adds a tombstone with its id.
 */
export const lifecycleStateSchema = z.enum(["active", "planned", "draining", "released", "transferred"]);
export type LifecycleState = z.infer<typeof lifecycleStateSchema>;

/** Lifecycle state of an item that is in the configuration. */
export const listedLifecycleSchema = lifecycleStateSchema.exclude(["transferred"]).default("active");

/** Kinds of items that can be handed over to the other half. */
export const handOverKindSchema = z.enum(["endpoint", "service", "workspace"]);
export type HandOverKind = z.infer<typeof handOverKindSchema>;

/** Id of a transferred item and the version that removed it. The id cannot be reused. */
export const tombstoneSchema = z.strictObject({ kind: handOverKindSchema, id: nameSchema, version: versionSchema });
export type Tombstone = z.infer<typeof tombstoneSchema>;
