import type { JsonSchema } from "./recorded.ts";

/** Bounds of a value in a JSON schema, and whether a sender with the bound `sent` stays within the bound `read`. */
const bounds = {
    minimum: (sent: number, read: number) => sent >= read,
    exclusiveMinimum: (sent: number, read: number) => sent >= read,
    maximum: (sent: number, read: number) => sent <= read,
    exclusiveMaximum: (sent: number, read: number) => sent <= read,
    minLength: (sent: number, read: number) => sent >= read,
    maxLength: (sent: number, read: number) => sent <= read,
    minItems: (sent: number, read: number) => sent >= read,
    maxItems: (sent: number, read: number) => sent <= read,
} as const;

function toSchema(schema: unknown): JsonSchema {
    return schema instanceof Object ? schema as JsonSchema : {};
}

function alternatives(schema: JsonSchema): readonly JsonSchema[] {
    return (schema.anyOf ?? schema.oneOf ?? [schema]).map(toSchema);
}

/**
 * Returns a line for each difference because of which a message that follows the schema `sent` may not be readable by
 * the schema `read`. Both describe what their readers accept; a sender also sends each field that has a default. Fields
 * that `read` does not name are ignored by its readers.
 */
export function unreadableParts(sent: JsonSchema, read: JsonSchema, path = "message"): string[] {
    if (Object.keys(read).every(key => key === "$schema" || key === "default")) {
        return [];
    }
    const options = alternatives(read);
    if (alternatives(sent).length > 1 || options.length > 1) {
        return alternatives(sent).flatMap(each => {
            const issues = options.map(option => unreadableParts(each, option, path));
            return issues.find(({ length }) => length === 0)
                ?? [`${path}: no alternative reads ${JSON.stringify(each)}`];
        });
    }
    const allowed = read.enum ?? (read.const === undefined ? undefined : [read.const]);
    const values = sent.enum ?? (sent.const === undefined ? undefined : [sent.const]);
    if (allowed !== undefined && (values === undefined || !values.every(value => allowed.includes(value)))) {
        return [`${path}: ${JSON.stringify(values) ?? "any value"} instead of ${JSON.stringify(allowed)}`];
    }
    if (sent.type !== read.type && !(sent.type === "integer" && read.type === "number")) {
        return [`${path}: ${String(sent.type)} instead of ${String(read.type)}`];
    }
    const issues = Object.entries(bounds).filter(([name, isWithin]) => {
        const [own, limit] = [sent, read].map(schema => schema[name] as number | undefined);
        return limit !== undefined && (own === undefined || !isWithin(own, limit));
    }).map(([name]) => `${path}: ${name} ${String(sent[name])} instead of ${String(read[name])}`);
    return [...issues, ...unreadableFields(sent, read, path), ...unreadableElements(sent, read, path)];
}

function unreadableFields(sent: JsonSchema, read: JsonSchema, path: string): string[] {
    const sentFields = sent.properties ?? {};
    const always = (name: string): boolean =>
        sent.required?.includes(name) === true || toSchema(sentFields[name]).default !== undefined;
    const missing = (read.required ?? []).filter(name => !always(name)).map(name => `${path}.${name}: not always sent`);
    const fields = Object.entries(read.properties ?? {}).flatMap(([name, field]) =>
        name in sentFields ? unreadableParts(toSchema(sentFields[name]), toSchema(field), `${path}.${name}`) : []
    );
    const unknown = read.additionalProperties !== false ? [] : Object.keys(sentFields)
        .filter(name => !(name in (read.properties ?? {}))).map(name => `${path}.${name}: not known`);
    const others = read.additionalProperties instanceof Object
        ? unreadableParts(toSchema(sent.additionalProperties), toSchema(read.additionalProperties), `${path}.*`)
        : [];
    return [...missing, ...fields, ...unknown, ...others];
}

function unreadableElements(sent: JsonSchema, read: JsonSchema, path: string): string[] {
    const elements = (read.prefixItems ?? []).flatMap((element, i) =>
        unreadableParts(toSchema(sent.prefixItems?.[i]), toSchema(element), `${path}[${i}]`)
    );
    return read.items instanceof Object
        ? [...elements, ...unreadableParts(toSchema(sent.items), toSchema(read.items), `${path}[]`)]
        : elements;
}
