import { z } from "zod";

/** Longest name of a service or a version, in characters; a log entry holds both. */
const maxNameLength = 1_024;
/** Longest time limit of a roll-out, in milliseconds: a day. */
export const maxRolloutMs = 86_400_000;

/** Names are keys of replicated objects; schemas drop this key, which would lose an accepted order. */
const nameSchema = z.string().min(1).max(maxNameLength).refine(name => name !== "__proto__", "is not a usable name");

/** An operator's order to move the traffic of a service to the endpoints of one software version. */
export const rolloutOrderSchema = z.object({
    service: nameSchema,
    target: nameSchema,
    /** Time within which the traffic is to be moved, in milliseconds. */
    durationMs: z.number().positive().max(maxRolloutMs),
});
export type RolloutOrder = z.infer<typeof rolloutOrderSchema>;

export const rolloutStates = ["running", "completed", "rolled_back"] as const;
export const rolloutStateSchema = z.enum(rolloutStates);
export type RolloutState = z.infer<typeof rolloutStateSchema>;

/** What became of an order. */
export const orderOutcomeSchema = z.discriminatedUnion("kind", [
    /** The order is durable; `repeated` if an earlier one for the same version holds and nothing has changed. */
    z.object({ kind: z.literal("accepted"), repeated: z.boolean() }),
    z.object({ kind: z.literal("invalid"), reason: z.string() }),
    /** Another version of the service is being rolled out. */
    z.object({ kind: z.literal("conflict"), target: z.string() }),
    z.object({ kind: z.literal("unavailable"), reason: z.string() }),
]);
export type OrderOutcome = z.infer<typeof orderOutcomeSchema>;

/** State of the last roll-out of a service, for operators. */
export const rolloutStatusSchema = z.object({ state: rolloutStateSchema, target: z.string() });
export type RolloutStatus = z.infer<typeof rolloutStatusSchema>;
