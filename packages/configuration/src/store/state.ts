import { z } from "zod";
import { configurationSchema, emptyConfiguration, handOverKindSchema, nameSchema } from "../schema/index.ts";
import { commandResultSchema } from "./command-result.ts";
import { stateTimeSchema } from "./state-time.ts";

/** Newest snapshot format that this version reads and writes. */
export const snapshotFormat = 1;

/** A duty of a region. Instants are state times. `holder` is absent before the first lease and after a release. */
export const dutyStateSchema = z.strictObject({
    region: nameSchema,
    duty: nameSchema,
    holder: nameSchema.optional(),
    fencing: z.int().min(0),
    leaseEndsAt: z.number(),
    /** Instant after which no order issued so far is valid. */
    ordersEndAt: z.number(),
});
export type DutyState = z.infer<typeof dutyStateSchema>;

/** An issued order that may still be valid. */
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

/** A hand-over in progress. */
export const handOverStateSchema = z.strictObject({
    kind: handOverKindSchema,
    id: nameSchema,
    step: z.enum(["planned", "draining", "released"]),
});
export type HandOverState = z.infer<typeof handOverStateSchema>;

/** Kept result of an operation and the state time at which it was recorded. */
export const keptResultSchema = z.strictObject({
    operationId: nameSchema,
    recordedAt: z.number(),
    result: commandResultSchema,
});
export type KeptResult = z.infer<typeof keptResultSchema>;

/** Replicated state apart from the history of increments; the payload of a snapshot. */
export const storeStateSchema = z.strictObject({
    format: z.literal(snapshotFormat),
    /** Index of the last applied command; 0 before the first. */
    index: z.int().min(0),
    time: stateTimeSchema,
    configuration: configurationSchema,
    duties: z.array(dutyStateSchema),
    orders: z.array(orderRecordSchema),
    handOvers: z.array(handOverStateSchema),
    /** State time of the command that set an item to `draining`, by `kind/id`. */
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
