import { safeParseLate } from "@lentilramp/runtime";
import { parse, type ParseError, printParseErrorCode } from "jsonc-parser";
import { readFileSync } from "node:fs";
import { Err, Ok, type Result } from "ts-results-es";
import type { z } from "zod";
import { describeIssues } from "./describe-issues.ts";
import { SettingsError } from "./settings-error.ts";

/**
 * Describes the first syntax error with its line and column. JSON.parse of Node.js 20 gives no position for most
 * errors, so jsonc-parser parses the text again.
 */
function describeSyntaxError(text: string): string {
    const errors: ParseError[] = [];
    parse(text, errors, { allowEmptyContent: false, disallowComments: true });
    const firstError = errors[0];
    if (firstError === undefined) {
        return "unknown syntax error";
    }
    const linesBefore = text.slice(0, firstError.offset).split("\n");
    return `${printParseErrorCode(firstError.error)} at line ${linesBefore.length} column ${
        (linesBefore.at(-1)?.length ?? 0) + 1
    }`;
}

/** Validates a parsed JSON value against `schema`. Each line of the error message starts with `file`. */
export function checkDocument<T extends z.ZodType>(
    file: string,
    value: unknown,
    schema: T,
): Result<z.infer<T>, SettingsError> {
    const parsed = safeParseLate(schema, value);
    if (!parsed.success) {
        return Err(new SettingsError(file, describeIssues(schema, value, parsed.error.issues)));
    }
    return Ok(parsed.data);
}

/**
 * Reads a JSON file and validates it against `schema`. The error names the file and, for each issue, the path, the
 * value found and the value expected.
 */
export function readDocument<T extends z.ZodType>(file: string, schema: T): Result<z.infer<T>, SettingsError> {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (err) {
        return Err(new SettingsError(file, [`cannot be read: ${err instanceof Error ? err.message : String(err)}`]));
    }
    try {
        return checkDocument(file, JSON.parse(text), schema);
    }
    catch {
        return Err(
            new SettingsError(file, [
                `is not valid JSON: ${describeSyntaxError(text)}. Correct the file and start again.`,
            ]),
        );
    }
}
