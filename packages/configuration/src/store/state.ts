import { z } from "zod";
import { configurationSchema, emptyConfiguration, handOverKindSchema, nameSchema } from "../schema/index.ts";
import { commandResultSchema } from "./command-result.ts";
import { stateTimeSchema } from "./state-time.ts";

/** Snapshot format that this version reads and writes. */
export const snapshotFormat = 1;

/** Duty of a region. Instants are state times. `holder` is absent before the first lease and after a release. */
export const dutyStateSchema = z.strictObject({
    region: nameSchema,
    duty: nameSchema,
    holder: nameSchema.optional(),
    fencing: z.int().min(0),
    leaseEndsAt: z.number(),
    /** Instant at which the last of the issued orders expires. */
    ordersEndAt: z.number(),
});
export type DutyState = z.infer<typeof dutyStateSchema>;

/** Issued order that may still be valid. `endsAt` is a state time. */
export const orderRecordSchema = z.strictObject({
    operationId: nameSchema,
    region: nameSchema,
    duty: nameSchema,
    fencing: z.int().min(1),
    endpoint: nameSchema,
    action: nameSchema,
    endsAt: z.number(),
});
export type OrderRecord = z.infer<typeof orderRecordSchema>;

/** Hand-over in progress, with the last step that it reached. */
export const handOverStateSchema = z.strictObject({
    kind: handOverKindSchema,
    id: nameSchema,
    step: z.enum(["planned", "draining", "released"]),
});
export type HandOverState = z.infer<typeof handOverStateSchema>;

/** Retained result of an operation, with the state time at which it was recorded. */
export const keptResultSchema = z.strictObject({
    operationId: nameSchema,
    recordedAt: z.number(),
    result: commandResultSchema,
});
export type KeptResult = z.infer<typeof keptResultSchema>;

/** Replicated state without the history of increments; the payload of a snapshot. */
export const storeStateSchema = z.strictObject({
    format: z.literal(snapshotFormat),
    /** Index of the last applied command; 0 before the first. */
    index: z.int().min(0),
    time: stateTimeSchema,
    configuration: configurationSchema,
    duties: z.array(dutyStateSchema),
    orders: z.array(orderRecordSchema),
    handOvers: z.array(handOverStateSchema),
    /** State time of the command that set an item to `draining`, by `kind/id` of the item. */
    drainedAt: z.record(z.string(), z.number()),
    results: z.array(keptResultSchema),
});
export type StoreState = z.infer<typeof storeStateSchema>;

export function emptyState(): StoreState {
    return {
        format: snapshotFormat,
        index: 0,
        time: { elapsed: 0 },
        configuration: emptyConfiguration(),
        duties: [],
        orders: [],
        handOvers: [],
        drainedAt: {},
        results: [],
    };
}
