import { z } from "zod";
import { versionSchema } from "../schema/index.ts";

/** The command was applied. `version` is the configuration version after it. */
const appliedSchema = z.strictObject({
    ok: z.literal(true),
    version: versionSchema,
    /** Fencing number of the lease, for duty and order commands. */
    fencing: z.int().optional(),
    /**
     * For `duty-acquire`: how long the holder waits, from the instant at which it gets this answer, before it sends an
     * order to an endpoint that ignores fencing numbers.
     */
    orderWaitMs: z.number().optional(),
});

/** The command changed nothing. `version` is the configuration version at that moment. */
const refusedSchema = z.strictObject({
    ok: z.literal(false),
    error: z.enum(["conflict", "invalid", "not-found", "wrong-step", "not-yet", "held", "stale-fencing", "expired"]),
    message: z.string(),
    version: versionSchema,
    /** For `conflict`: version number of the change that won the race for the same base version. */
    winningVersion: versionSchema.optional(),
    /** For `held` and `not-yet`: time after which the command may succeed. */
    retryAfterMs: z.number().optional(),
});

/** Result of a command. It is plain data because results are kept in the replicated state. */
export const commandResultSchema = z.discriminatedUnion("ok", [appliedSchema, refusedSchema]);
export type CommandResult = z.infer<typeof commandResultSchema>;
export type RefusalKind = z.infer<typeof refusedSchema>["error"];

export function refused(
    error: RefusalKind,
    version: number,
    message: string,
    more: { winningVersion?: number; retryAfterMs?: number; } = {},
): CommandResult {
    return { ok: false, error, message, version, ...more };
}
