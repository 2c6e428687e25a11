import { z } from "zod";
import { changeSchema } from "../change/change.ts";
import { configurationSchema, handOverKindSchema, instantSchema, nameSchema, versionSchema } from "../schema/index.ts";

/**
 * Instant at which the leader proposed the command, by its own clock, and the term in which it leads. Instants of one
 * epoch can be compared with each other; those of two epochs cannot (see store/state-time.ts).
 */
export const commandTimeSchema = z.strictObject({ epoch: z.int().min(0), at: instantSchema });
export type CommandTime = z.infer<typeof commandTimeSchema>;

/** Longest lease of a duty, in ms. */
export const maxLeaseMs = 60_000;

const operation = { operationId: nameSchema, time: commandTimeSchema };
const duty = { region: nameSchema, duty: nameSchema, holder: nameSchema };

/** A change of the configuration, given as the whole new configuration or as a set of changes to the base version. */
export const proposeCommandSchema = z.strictObject({
    type: z.literal("propose"),
    ...operation,
    baseVersion: versionSchema,
    configuration: configurationSchema.optional(),
    change: changeSchema.optional(),
}).refine(
    command => (command.configuration === undefined) !== (command.change === undefined),
    "either configuration or change must be given",
);

/** Stops new work to an endpoint; in-flight work is allowed to end. */
export const drainCommandSchema = z.strictObject({
    type: z.literal("drain-endpoint"),
    ...operation,
    endpoint: nameSchema,
});

/**
 * One step of a hand-over. For the step `released` the leader also gives the time since it applied the draining step
 * (`sinceAppliedMs`; see permits/drain-in-force.ts) and the number of requests in flight at all entries.
 */
export const handOverCommandSchema = z.strictObject({
    type: z.literal("hand-over"),
    ...operation,
    kind: handOverKindSchema,
    id: nameSchema,
    step: z.enum(["planned", "draining", "released", "transferred"]),
    sinceAppliedMs: z.number().min(0).optional(),
    inFlight: z.int().min(0).optional(),
});

export const dutyAcquireCommandSchema = z.strictObject({
    type: z.literal("duty-acquire"),
    ...operation,
    ...duty,
    leaseMs: z.number().positive().max(maxLeaseMs),
});

export const dutyRenewCommandSchema = z.strictObject({
    type: z.literal("duty-renew"),
    time: commandTimeSchema,
    ...duty,
    fencing: z.int().min(1),
    leaseMs: z.number().positive().max(maxLeaseMs),
});

export const dutyReleaseCommandSchema = z.strictObject({
    type: z.literal("duty-release"),
    time: commandTimeSchema,
    ...duty,
    fencing: z.int().min(1),
});

/** Record that the holder of a duty issues an order, made before the order is sent. */
export const orderIssueCommandSchema = z.strictObject({
    type: z.literal("order-issue"),
    ...operation,
    ...duty,
    fencing: z.int().min(1),
    endpoint: nameSchema,
    action: nameSchema,
    validForMs: z.number().positive().max(maxLeaseMs),
});

export const commandSchema = z.discriminatedUnion("type", [
    proposeCommandSchema,
    drainCommandSchema,
    handOverCommandSchema,
    dutyAcquireCommandSchema,
    dutyRenewCommandSchema,
    dutyReleaseCommandSchema,
    orderIssueCommandSchema,
]);
export type Command = z.infer<typeof commandSchema>;
export type ProposeCommand = z.infer<typeof proposeCommandSchema>;
export type DrainCommand = z.infer<typeof drainCommandSchema>;
export type HandOverCommand = z.infer<typeof handOverCommandSchema>;
export type DutyAcquireCommand = z.infer<typeof dutyAcquireCommandSchema>;
export type DutyRenewCommand = z.infer<typeof dutyRenewCommandSchema>;
export type DutyReleaseCommand = z.infer<typeof dutyReleaseCommandSchema>;
export type OrderIssueCommand = z.infer<typeof orderIssueCommandSchema>;
