import { commandResultSchema, configurationSchema } from "@lentilramp/configuration";
import { z } from "zod";

/** A generated configuration that waits for approval. */
export const proposalSchema = z.strictObject({
    operationId: z.string().min(1).max(128).describe("names the change; a repeated approval gets the first answer"),
    baseVersion: z.int().min(0).describe("version in force when it was generated"),
    difference: z.array(z.string()).describe("what changes, for reading"),
    configuration: configurationSchema,
});

export type Proposal = z.infer<typeof proposalSchema>;

export const currentSchema = z.object({ configuration: configurationSchema });
export { commandResultSchema };
