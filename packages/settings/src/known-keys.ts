import { z } from "zod";

function unwrap(schema: unknown): unknown {
    let current = schema;
    while (
        current instanceof z.ZodOptional || current instanceof z.ZodDefault || current instanceof z.ZodNullable
        || current instanceof z.ZodPrefault
    ) {
        current = current.unwrap();
    }
    return current;
}

function children(schema: unknown, key: PropertyKey): unknown[] {
    const plain = unwrap(schema);
    if (plain instanceof z.ZodObject) {
        return [(plain.shape as Record<PropertyKey, unknown>)[key]];
    }
    if (plain instanceof z.ZodArray) {
        return [plain.element];
    }
    if (plain instanceof z.ZodRecord) {
        return [plain.valueType];
    }
    if (plain instanceof z.ZodUnion) {
        return plain.options.flatMap(option => children(option, key));
    }
    return [];
}

function keysOf(schema: unknown): string[] {
    const plain = unwrap(schema);
    if (plain instanceof z.ZodObject) {
        return Object.keys(plain.shape as object);
    }
    return plain instanceof z.ZodUnion ? plain.options.flatMap(keysOf) : [];
}

/** Returns the keys that the schema allows at `path`. */
export function knownKeysAt(schema: z.ZodType, path: readonly PropertyKey[]): string[] {
    let current: unknown[] = [schema];
    for (const key of path) {
        current = current.flatMap(part => children(part, key)).filter(part => part !== undefined);
    }
    return [...new Set(current.flatMap(keysOf))];
}
