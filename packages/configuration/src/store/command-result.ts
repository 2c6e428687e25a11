import { z } from "zod";
import { versionSchema } from "../schema/index.ts";

/** Result of an applied command. `version` is the configuration version after the command. */
const appliedSchema = z.strictObject({
    ok: z.literal(true),
    version: versionSchema,
    /** Fencing number of the lease, for duty and order commands. */
    fencing: z.int().optional(),
    /**
     * For `duty-acquire`: time in milliseconds that the holder waits, from the receipt of this result, before it sends
     * an order to an endpoint that ignores fencing numbers.
     */
    orderWaitMs: z.number().optional(),
});

/** Result of a refused command, which changed nothing. `version` is the current configuration version. */
const refusedSchema = z.strictObject({
    ok: z.literal(false),
    error: z.enum(["conflict", "invalid", "not-found", "wrong-step", "not-yet", "held", "stale-fencing", "expired"]),
    message: z.string(),
    version: versionSchema,
    /** For `conflict`: version of the accepted change with the same base version. */
    winningVersion: versionSchema.optional(),
    /** For `held` and `not-yet`: time in milliseconds after which the command may succeed. */
    retryAfterMs: z.number().optional(),
});

/** Result of a command. It is plain data because the replicated state contains results. */
export const commandResultSchema = z.discriminatedUnion("ok", [appliedSchema, refusedSchema]);
export type CommandResult = z.infer<typeof commandResultSchema>;
export type RefusalKind = z.infer<typeof refusedSchema>["error"];

export function refused(
    error: RefusalKind,
    version: number,
    message: string,
    details: { winningVersion?: number; retryAfterMs?: number; } = {},
): CommandResult {
    return { ok: false, error, message, version, ...details };
}
