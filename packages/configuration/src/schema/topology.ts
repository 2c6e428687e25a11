import { z } from "zod";
import { nameSchema } from "./names.ts";

/** Failure domain and its region. */
export const failureDomainSchema = z.strictObject({ id: nameSchema, region: nameSchema });
export type FailureDomain = z.infer<typeof failureDomainSchema>;

/** Directed link between two failure domains. `relativeCost` is 1 for traffic within a failure domain. */
export const linkSchema = z.strictObject({
    from: nameSchema,
    to: nameSchema,
    oneWayDelayMs: z.number().min(0),
    relativeCost: z.number().min(0),
});
export type Link = z.infer<typeof linkSchema>;
