import { z } from "zod";
import { changeSchema } from "../change/change.ts";
import { configurationSchema, handOverKindSchema, instantSchema, nameSchema, versionSchema } from "../schema/index.ts";

/**
 * Instant at which the leader proposed the command, by the clock of the leader, and its term (`epoch`). Instants of the
 * same epoch can be compared; those of different epochs cannot (see store/state-time.ts).
 */
export const commandTimeSchema = z.strictObject({ epoch: z.int().min(0), at: instantSchema });
export type CommandTime = z.infer<typeof commandTimeSchema>;

/** Longest lease of a duty and longest validity of an order. */
export const maxLeaseMs = 60_000;

const operationFields = { operationId: nameSchema, time: commandTimeSchema };
const dutyFields = { region: nameSchema, duty: nameSchema, holder: nameSchema };

/** Changes the configuration, given as a full configuration or as a set of changes to the base version. */
export const proposeCommandSchema = z.strictObject({
    type: z.literal("propose"),
    ...operationFields,
    baseVersion: versionSchema,
    configuration: configurationSchema.optional(),
    change: changeSchema.optional(),
}).refine(
    command => (command.configuration === undefined) !== (command.change === undefined),
    "either configuration or change must be given",
);

/** Stops new requests to an endpoint. Requests in flight are allowed to complete. */
export const drainCommandSchema = z.strictObject({
    type: z.literal("drain-endpoint"),
    ...operationFields,
    endpoint: nameSchema,
});

/**
 * Performs one step of a hand-over. For the step `released`, the leader adds the time since it applied the draining
 * step (`sinceAppliedMs`; see permits/drain-tracker.ts) and the number of requests in flight at all entries.
 */
export const handOverCommandSchema = z.strictObject({
    type: z.literal("hand-over"),
    ...operationFields,
    kind: handOverKindSchema,
    id: nameSchema,
    step: z.enum(["planned", "draining", "released", "transferred"]),
    sinceAppliedMs: z.number().min(0).optional(),
    inFlight: z.int().min(0).optional(),
});

export const dutyAcquireCommandSchema = z.strictObject({
    type: z.literal("duty-acquire"),
    ...operationFields,
    ...dutyFields,
    leaseMs: z.number().positive().max(maxLeaseMs),
});

export const dutyRenewCommandSchema = z.strictObject({
    type: z.literal("duty-renew"),
    time: commandTimeSchema,
    ...dutyFields,
    fencing: z.int().min(1),
    leaseMs: z.number().positive().max(maxLeaseMs),
});

export const dutyReleaseCommandSchema = z.strictObject({
    type: z.literal("duty-release"),
    time: commandTimeSchema,
    ...dutyFields,
    fencing: z.int().min(1),
});

/** Records an order of the holder of a duty before the holder sends it. */
export const orderIssueCommandSchema = z.strictObject({
    type: z.literal("order-issue"),
    ...operationFields,
    ...dutyFields,
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
