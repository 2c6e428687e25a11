import { z } from "zod";
import { configurationSchema, versionSchema } from "../schema/index.ts";
import { type CollectionName, collectionNames } from "./collections.ts";

const configurationShape = configurationSchema.shape;

/** Items to insert or to replace entirely, by collection. */
export const upsertsSchema = z.strictObject({
    failureDomains: configurationShape.failureDomains.optional(),
    links: configurationShape.links.unwrap().optional(),
    endpoints: configurationShape.endpoints.unwrap().optional(),
    services: configurationShape.services.unwrap().optional(),
    models: configurationShape.models.unwrap().optional(),
    workspaces: configurationShape.workspaces.unwrap().optional(),
    routes: configurationShape.routes.unwrap().optional(),
    claimGenerations: configurationShape.claimGenerations.unwrap().optional(),
    entries: configurationShape.entries.unwrap().optional(),
    controlMembers: configurationShape.controlMembers.unwrap().optional(),
    tombstones: configurationShape.tombstones.unwrap().optional(),
});
export type Upserts = z.infer<typeof upsertsSchema>;

/** Keys of items to remove, by collection. */
export const removalsSchema = z.partialRecord(
    z.enum(collectionNames as [CollectionName, ...CollectionName[]]),
    z.array(z.string()),
);
export type Removals = z.infer<typeof removalsSchema>;

/** Set of changes to a configuration. Absent fields are left unchanged. */
export const changeSchema = z.strictObject({
    region: configurationShape.region.optional(),
    costWeight: configurationShape.costWeight.optional(),
    upserts: upsertsSchema.optional(),
    removals: removalsSchema.optional(),
});
export type Change = z.infer<typeof changeSchema>;

/** Change from version `from` to version `to`, which is `from + 1`. */
export const incrementSchema = z.strictObject({ from: versionSchema, to: versionSchema, change: changeSchema });
export type Increment = z.infer<typeof incrementSchema>;
