import { z } from "zod";
import { configurationSchema, versionSchema } from "../schema/index.ts";
import { type CollectionName, collectionNames } from "./collections.ts";

const shape = configurationSchema.shape;

/** Items to insert or to replace as a whole, by collection. */
export const upsertsSchema = z.strictObject({
    failureDomains: shape.failureDomains.optional(),
    links: shape.links.unwrap().optional(),
    endpoints: shape.endpoints.unwrap().optional(),
    services: shape.services.unwrap().optional(),
    models: shape.models.unwrap().optional(),
    workspaces: shape.workspaces.unwrap().optional(),
    routes: shape.routes.unwrap().optional(),
    claimGenerations: shape.claimGenerations.unwrap().optional(),
    entries: shape.entries.unwrap().optional(),
    controlMembers: shape.controlMembers.unwrap().optional(),
    tombstones: shape.tombstones.unwrap().optional(),
});
export type Upserts = z.infer<typeof upsertsSchema>;

/** Keys of items to remove, by collection. */
export const removalsSchema = z.partialRecord(
    z.enum(collectionNames as [CollectionName, ...CollectionName[]]),
    z.array(z.string()),
);
export type Removals = z.infer<typeof removalsSchema>;

/** A set of changes to a configuration. Absent fields stay as they are. */
export const changeSchema = z.strictObject({
    region: shape.region.optional(),
    costWeight: shape.costWeight.optional(),
    upserts: upsertsSchema.optional(),
    removals: removalsSchema.optional(),
});
export type Change = z.infer<typeof changeSchema>;

/** The change that leads from version `from` to version `to`, which is `from + 1`. */
export const incrementSchema = z.strictObject({ from: versionSchema, to: versionSchema, change: changeSchema });
export type Increment = z.infer<typeof incrementSchema>;
