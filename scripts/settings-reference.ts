/**
 * Writes docs/operations/settings.md from the schemas of the process settings, fleet policy and questionnaire.
 * With --check, compares instead of writing and exits with status 1 if the file differs from the generated text.
 */
import { questionnaireSchema } from "@lentilramp/questionnaire";
import { controlSettingsSchema, entrySettingsSchema } from "@lentilramp/settings";
import { readFileSync, writeFileSync } from "node:fs";
import { z } from "zod";
import { fleetPolicySchema } from "../packages/cli/src/fleet-policy.ts";

const outputPath = "docs/operations/settings.md";

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

interface SettingRow {
    path: string;
    type: string;
    defaultText: string;
    meaning: string;
}

function typeText(schema: JsonSchema): string {
    if (schema.const !== undefined) {
        return JSON.stringify(schema.const);
    }
    if (schema.enum !== undefined) {
        return schema.enum.map(value => JSON.stringify(value)).join(" or ");
    }
    if (schema.items !== undefined) {
        return `list of ${typeText(schema.items)}`;
    }
    return schema.type ?? (schema.anyOf?.[0] === undefined ? "value" : typeText(schema.anyOf[0]));
}

function settingRows(schema: JsonSchema, path: string): SettingRow[] {
    const objectSchema = schema.items ?? schema;
    const listSuffix = schema.items === undefined ? "" : "[]";
    return Object.entries(objectSchema.properties ?? {}).flatMap(([key, property]) => {
        const name = path === "" ? key : `${path}${listSuffix}.${key}`;
        const required = objectSchema.required?.includes(key) === true && property.default === undefined;
        return [
            {
                path: name,
                type: typeText(property),
                defaultText: property.default !== undefined
                    ? JSON.stringify(property.default)
                    : required
                    ? "required"
                    : "none",
                meaning: property.description ?? property.items?.description ?? "",
            },
            ...settingRows(property, name),
        ];
    });
}

function renderSection(title: string, schema: z.ZodType): string {
    const rows = settingRows(z.toJSONSchema(schema, { io: "input" }) as JsonSchema, "");
    const lines = rows.map(row => `| \`${row.path}\` | ${row.type} | ${row.defaultText} | ${row.meaning} |`);
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
    renderSection("Settings of an entry process", entrySettingsSchema),
    renderSection("Settings of a control process", controlSettingsSchema),
    renderSection("Policy of a fleet (`deploy/policy.json`)", fleetPolicySchema),
    renderSection("Questionnaire", questionnaireSchema),
].join("\n");

if (process.argv.includes("--check")) {
    if (readFileSync(outputPath, "utf8") !== text) {
        console.error(`${outputPath} is not current; run npx tsx scripts/settings-reference.ts`);
        process.exitCode = 1;
    }
}
else {
    writeFileSync(outputPath, text);
}
