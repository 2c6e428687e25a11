import { z } from "zod";
import { listedLifecycleSchema } from "./lifecycle.ts";
import { addressFields, nameSchema } from "./names.ts";

export const endpointKindSchema = z.enum(["engine", "service"]);
export type EndpointKind = z.infer<typeof endpointKindSchema>;

/** Model adapter that an engine has loaded, with its version. */
export const adapterSchema = z.strictObject({ name: nameSchema, version: z.string().min(1) });
export type Adapter = z.infer<typeof adapterSchema>;

/**
 * Server to which entries send requests. An engine lists models and adapters; a service endpoint lists services.
 * `checksFencing` is true when the endpoint rejects orders whose fencing number is below the highest that it received.
 */
export const endpointSchema = z.strictObject({
    id: nameSchema,
    kind: endpointKindSchema,
    ...addressFields,
    failureDomain: nameSchema,
    models: z.array(nameSchema).default([]),
    services: z.array(nameSchema).default([]),
    adapters: z.array(adapterSchema).default([]),
    machineClass: nameSchema,
    checksFencing: z.boolean().default(false),
    lifecycle: listedLifecycleSchema,
});
export type Endpoint = z.infer<typeof endpointSchema>;
