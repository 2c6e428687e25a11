import type { Message } from "@lentilramp/agreement";
import { tolerantArray } from "@lentilramp/runtime";
import { z } from "zod";
import { memberAddressSchema } from "./member-address.ts";

/** Largest term or index; sums with it are exact. */
const maxPosition = 2 ** 52;

const position = z.int().nonnegative().max(maxPosition);
const header = { from: z.string(), to: z.string(), term: position };
const stamp = { round: z.number(), sentAt: z.number() };
const membershipSchema = z.object({
    members: z.array(z.object({ id: z.string(), address: z.string(), voter: z.boolean() })),
    retired: z.array(z.string()),
});
const entrySchema = z.object({
    index: position,
    term: position,
    content: z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("no-op") }),
        z.object({ kind: z.literal("command"), command: z.string() }),
        z.object({ kind: z.literal("membership"), membership: membershipSchema }),
    ]),
});
const snapshotSchema = z.object({ index: position, term: position, membership: membershipSchema, state: z.string() });

const messageSchema: z.ZodType<Message> = z.discriminatedUnion("type", [
    z.object({ type: z.literal("pre-vote"), ...header, asked: position, lastIndex: position, lastTerm: position }),
    z.object({ type: z.literal("pre-vote-reply"), ...header, asked: position, granted: z.boolean() }),
    z.object({ type: z.literal("vote"), ...header, lastIndex: position, lastTerm: position, handOver: z.boolean() }),
    z.object({ type: z.literal("vote-reply"), ...header, granted: z.boolean() }),
    z.object({
        type: z.literal("append"),
        ...header,
        ...stamp,
        prevIndex: position,
        prevTerm: position,
        entries: z.array(entrySchema),
        commitIndex: position,
    }),
    z.object({ type: z.literal("snapshot"), ...header, ...stamp, snapshot: snapshotSchema }),
    z.object({ type: z.literal("append-reply"), ...header, ...stamp, ok: z.boolean(), index: position }),
    z.object({ type: z.literal("hand-over"), ...header }),
]);

/**
 * Parameters of the RPC method `agreement.step`. A message that does not match its schema is left out like a lost one:
 * an exception in the middle of a step would lose the writes that belong to it.
 */
export const agreementMessagesSchema = z.object({
    sender: memberAddressSchema,
    messages: tolerantArray(messageSchema),
});
