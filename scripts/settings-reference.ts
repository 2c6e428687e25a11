/**
 * Writes docs/operations/settings.md from the schemas of settings and questionnaire. With --check, fails when the
 * committed file differs.
 */
import { questionnaireSchema } from "@lentilramp/questionnaire";
import { controlSettingsSchema, entrySettingsSchema } from "@lentilramp/settings";
import { readFileSync, writeFileSync } from "node:fs";
import { z } from "zod";
import { fleetPolicySchema } from "../packages/cli/src/fleet-policy.ts";

const file = "docs/operations/settings.md";

interface JsonSchema {
    type?: string;
    description?: string;
    default?: unknown;
    const?: unknown;
    enum?: unknown[];
    properties?: Record<string, JsonSchema>;
    required?: string[];
    items?: JsonSchema;
    anyOf?: JsonSchema[];
}

interface Row {
    path: string;
    type: string;
    fallback: string;
    meaning: string;
}

function typeOf(schema: JsonSchema): string {
    if (schema.const !== undefined) {
        return JSON.stringify(schema.const);
    }
    if (schema.enum !== undefined) {
        return schema.enum.map(value => JSON.stringify(value)).join(" or ");
    }
    if (schema.items !== undefined) {
        return `list of ${typeOf(schema.items)}`;
    }
    return schema.type ?? (schema.anyOf?.[0] === undefined ? "value" : typeOf(schema.anyOf[0]));
}

function rowsOf(schema: JsonSchema, path: string): Row[] {
    const target = schema.items ?? schema;
    const suffix = schema.items === undefined ? "" : "[]";
    return Object.entries(target.properties ?? {}).flatMap(([key, property]) => {
        const name = path === "" ? key : `${path}${suffix}.${key}`;
        const required = target.required?.includes(key) === true && property.default === undefined;
        return [
            {
                path: name,
                type: typeOf(property),
                fallback: property.default !== undefined
                    ? JSON.stringify(property.default)
                    : required
                    ? "required"
                    : "none",
                meaning: property.description ?? property.items?.description ?? "",
            },
            ...rowsOf(property, name),
        ];
    });
}

function section(title: string, schema: z.ZodType): string {
    const rows = rowsOf(z.toJSONSchema(schema, { io: "input" }) as JsonSchema, "");
    const lines = rows.map(row => `| \`${row.path}\` | ${row.type} | ${row.fallback} | ${row.meaning} |`);
    return [`## ${title}`, "", "| Key | Type | Default | Meaning |", "| --- | --- | --- | --- |", ...lines, ""].join(
        "\n",
    );
}

const text = [
    "# Settings and questionnaire reference",
    "",
    "Generated from the schemas by `npx tsx scripts/settings-reference.ts`; `npm test` checks that it is current.",
    "Relative paths start at the working folder of the process. An unknown key is an error.",
    "",
    section("Settings of an entry process", entrySettingsSchema),
    section("Settings of a control process", controlSettingsSchema),
    section("Policy of a fleet (`deploy/policy.json`)", fleetPolicySchema),
    section("Questionnaire", questionnaireSchema),
].join("\n");

if (process.argv.includes("--check")) {
    if (readFileSync(file, "utf8") !== text) {
        console.error(`${file} is not current; run npx tsx scripts/settings-reference.ts`);
        process.exitCode = 1;
    }
}
else {
    writeFileSync(file, text);
}
