import { z } from "zod";
import { addressFields, instantSchema, nameSchema } from "./names.ts";

/** Entry process. */
export const entryMemberSchema = z.strictObject({ id: nameSchema, ...addressFields, failureDomain: nameSchema });
export type EntryMember = z.infer<typeof entryMemberSchema>;

/** Control process. `id` is the identity stored in its data folder. */
export const controlMemberSchema = z.strictObject({ id: nameSchema, ...addressFields, failureDomain: nameSchema });
export type ControlMember = z.infer<typeof controlMemberSchema>;

/** Claim replica of a generation. `identity` is the identity stored in its data folder. */
export const claimReplicaSchema = z.strictObject({
    identity: nameSchema,
    address: z.strictObject(addressFields),
    failureDomain: nameSchema,
});
export type ClaimReplicaMember = z.infer<typeof claimReplicaSchema>;

/**
 * Set of claim replicas for keys issued at or after `fromIssueTime`, until the next generation starts (design question
 * 1).
 */
export const claimGenerationSchema = z.strictObject({
    generation: z.int().min(1),
    fromIssueTime: instantSchema,
    replicas: z.array(claimReplicaSchema).min(1),
});
export type ClaimGeneration = z.infer<typeof claimGenerationSchema>;
