import { z } from "zod";

const mechanism = (description: string) => z.boolean().default(true).describe(description);

/** Mechanisms of the replica planner that can be switched off, to see what each is worth in a deployment. */
export const plannerPolicySchema = z.strictObject({
    reserve: mechanism("holds replicas for the spread of the demand, not for its level alone"),
    learnedRisk: mechanism("takes the risk of a reclaim from those that were seen"),
    doubtAfterLoss: mechanism("does not count on new reclaimable replicas where some have just been taken back"),
    patience: mechanism("holds reclaimable replicas longer than on-demand ones, as they are cheaper"),
});
export type PlannerPolicy = z.infer<typeof plannerPolicySchema>;

export const plannerPolicyDefaults: PlannerPolicy = plannerPolicySchema.parse({}, { jitless: true });
