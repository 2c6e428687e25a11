import { z } from "zod";

/** Byte array, encoded as a base64 string. */
const bytesSchema = z.string().transform(text => Uint8Array.from(Buffer.from(text, "base64")));

const recordSchema = z.object({ claimant: z.string(), digest: z.string(), dispatchDeadline: z.number() });

const outcomeSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("not-run") }),
    z.object({
        kind: z.literal("completed"),
        status: z.int(),
        contentType: z.string(),
        bodyDigest: z.string(),
        bodyBytes: z.int(),
        body: bytesSchema.optional().transform((body): Uint8Array | undefined => body),
    }).transform(outcome => ({ ...outcome, body: outcome.body })),
]);

const operationSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("read") }),
    z.object({ kind: z.literal("seal") }),
    z.object({ kind: z.literal("write"), record: recordSchema }),
    z.object({ kind: z.literal("outcome"), record: recordSchema, outcome: outcomeSchema }),
]);

/** Parameters of `claim.write`, `claim.outcome`, `claim.seal` and `claim.read`; byte arrays are in base64. */
export const claimMessageSchema = z.object({ replica: z.string(), key: z.string(), operation: operationSchema });

const registerSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("empty") }),
    z.object({ kind: z.literal("sealed") }),
    recordSchema.extend({ kind: z.literal("claimed"), outcome: outcomeSchema.optional() })
        .transform(register => ({ ...register, outcome: register.outcome })),
]);

/** Result of the methods `claim.write`, `claim.outcome`, `claim.seal` and `claim.read`. */
export const claimReplySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("register"), replica: z.string(), register: registerSchema }),
    z.object({
        kind: z.literal("refused"),
        replica: z.string(),
        reason: z.enum(["wrong-identity", "invalid-key", "expired", "issued-ahead", "full", "storage"]),
    }),
]);

/** Encodes the byte arrays in a claim message or reply as base64 strings, for JSON. */
export function encodeClaimValue(value: unknown): unknown {
    if (value instanceof Uint8Array) {
        return Buffer.from(value).toString("base64");
    }
    if (Array.isArray(value)) {
        return value.map(encodeClaimValue);
    }
    if (typeof value === "object" && value) {
        return Object.fromEntries(Object.entries(value).map(([key, item]) => [key, encodeClaimValue(item)]));
    }
    return value;
}
