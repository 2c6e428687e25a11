import { z } from "zod";
import { endpointSchema } from "./endpoint.ts";
import { tombstoneSchema } from "./lifecycle.ts";
import { claimGenerationSchema, controlMemberSchema, entryMemberSchema } from "./members.ts";
import { nameSchema, versionSchema } from "./names.ts";
import { routeSchema } from "./route.ts";
import { modelSchema, serviceSchema } from "./service.ts";
import { failureDomainSchema, linkSchema } from "./topology.ts";
import { workspaceSchema } from "./workspace.ts";

/**
 * Replicated configuration of the control group of one region. The store assigns `version`. `costWeight` weighs cost
 * against latency: 0 considers latency only, 1 considers cost only.
 */
export const configurationSchema = z.strictObject({
    version: versionSchema.default(0),
    region: nameSchema,
    costWeight: z.number().min(0).max(1),
    failureDomains: z.array(failureDomainSchema).min(1),
    links: z.array(linkSchema).default([]),
    endpoints: z.array(endpointSchema).default([]),
    services: z.array(serviceSchema).default([]),
    models: z.array(modelSchema).default([]),
    workspaces: z.array(workspaceSchema).default([]),
    routes: z.array(routeSchema).default([]),
    claimGenerations: z.array(claimGenerationSchema).default([]),
    entries: z.array(entryMemberSchema).default([]),
    controlMembers: z.array(controlMemberSchema).default([]),
    tombstones: z.array(tombstoneSchema).default([]),
});
export type Configuration = z.infer<typeof configurationSchema>;
/** Configuration before the schema has filled in the defaults. */
export type ConfigurationInput = z.input<typeof configurationSchema>;

/** Returns the configuration of a store that has applied no change. */
export function emptyConfiguration(region = "none"): Configuration {
    return configurationSchema.parse({
        region,
        costWeight: 0.5,
        failureDomains: [{ id: "none", region }],
    });
}
