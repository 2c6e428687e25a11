import { closest } from "fastest-levenshtein";
import type { z } from "zod";
import { knownKeysAt } from "./known-keys.ts";

type Issue = z.core.$ZodIssue;

const maxValueChars = 60;

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
    return path.reduce<unknown>(
        (current, key) => typeof current === "object" && current ? Reflect.get(current, key) as unknown : undefined,
        value,
    );
}

function formatValue(value: unknown): string {
    if (value === undefined) {
        return "nothing";
    }
    const text = JSON.stringify(value);
    return text.length > maxValueChars ? `${text.slice(0, maxValueChars)}...` : text;
}

/** Formats a path as a JavaScript expression in which `$` is the document. */
export function formatPath(path: readonly PropertyKey[]): string {
    return path.reduce<string>(
        (text, key) => typeof key === "number" ? `${text}[${key}]` : `${text}.${String(key)}`,
        "$",
    );
}

function describeUnknownKeys(schema: z.ZodType, issue: Issue & { code: "unrecognized_keys"; }): string {
    const knownKeys = knownKeysAt(schema, issue.path);
    return issue.keys.map(key => {
        const hint = knownKeys.length > 0 ? `; did you mean "${closest(key, knownKeys)}"?` : "";
        return `${formatPath([...issue.path, key])}: unknown key "${key}"${hint}`;
    }).join("; ");
}

function describeIssue(schema: z.ZodType, document: unknown, issue: Issue): string {
    if (issue.code === "unrecognized_keys") {
        return describeUnknownKeys(schema, issue);
    }
    const found = formatValue(valueAt(document, issue.path));
    return `${formatPath(issue.path)}: found ${found}, expected: ${issue.message}`;
}

/** Describes each validation issue of a document: its path, the value found and the value expected. */
export function describeIssues(schema: z.ZodType, document: unknown, issues: readonly Issue[]): string[] {
    return issues.map(issue => describeIssue(schema, document, issue));
}
