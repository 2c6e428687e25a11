import type { z } from "zod";

/**
 * Uses of a schema before zod generates code for it. Generating it takes about a millisecond of processor time for each
 * object in a schema, and checking a value without it some microseconds, so that at the start of a process code would be
 * generated mostly for what is checked a few times. Schemas of messages reach this number within seconds.
 */
const usesWithoutCode = 32;

const uses = new WeakMap<z.ZodType, number>();

/** Does the same as `schema.safeParse(value)`, and generates code for the schema only once it has been used often. */
export function safeParseLate<S extends z.ZodType>(schema: S, value: unknown): z.ZodSafeParseResult<z.output<S>> {
    const used = uses.get(schema) ?? 0;
    if (used >= usesWithoutCode) {
        return schema.safeParse(value);
    }
    uses.set(schema, used + 1);
    return schema.safeParse(value, { jitless: true });
}
