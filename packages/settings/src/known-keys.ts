import { z } from "zod";

function unwrapSchema(schema: unknown): unknown {
    let current = schema;
    while (
        current instanceof z.ZodOptional || current instanceof z.ZodDefault || current instanceof z.ZodNullable
        || current instanceof z.ZodPrefault
    ) {
        current = current.unwrap();
    }
    return current;
}

function childSchemas(schema: unknown, key: PropertyKey): unknown[] {
    const unwrapped = unwrapSchema(schema);
    if (unwrapped instanceof z.ZodObject) {
        return [(unwrapped.shape as Record<PropertyKey, unknown>)[key]];
    }
    if (unwrapped instanceof z.ZodArray) {
        return [unwrapped.element];
    }
    if (unwrapped instanceof z.ZodRecord) {
        return [unwrapped.valueType];
    }
    if (unwrapped instanceof z.ZodUnion) {
        return unwrapped.options.flatMap(option => childSchemas(option, key));
    }
    return [];
}

function keysOf(schema: unknown): string[] {
    const unwrapped = unwrapSchema(schema);
    if (unwrapped instanceof z.ZodObject) {
        return Object.keys(unwrapped.shape as object);
    }
    return unwrapped instanceof z.ZodUnion ? unwrapped.options.flatMap(keysOf) : [];
}

/** Returns the object keys that the schema allows at `path`. */
export function knownKeysAt(schema: z.ZodType, path: readonly PropertyKey[]): string[] {
    let schemas: unknown[] = [schema];
    for (const key of path) {
        schemas = schemas.flatMap(parent => childSchemas(parent, key)).filter(child => child !== undefined);
    }
    return [...new Set(schemas.flatMap(keysOf))];
}
