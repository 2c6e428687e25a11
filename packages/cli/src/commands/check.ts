import { findContradictions, questionnaireSchema } from "@lentilramp/questionnaire";
import { processSettingsSchema, readDocument } from "@lentilramp/settings";
import { existsSync, readdirSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";
import { type ExitCode, exitCodes } from "../exit-codes.ts";
import { readFleetPolicy } from "../fleet-policy.ts";
import type { Output } from "../output.ts";

interface CheckedFile {
    file: string;
    kind: "settings" | "questionnaire" | "policy";
    problems: string[];
}

function filesOf(path: string): string[] {
    if (!existsSync(path) || !statSync(path).isDirectory()) {
        return [path];
    }
    const settings = join(path, "settings");
    return [
        join(path, "questionnaire.json"),
        ...(existsSync(settings) ? readdirSync(settings).sort().map(name => join(settings, name)) : []),
    ];
}

/** Settings have a role, and a policy has its section; a questionnaire has neither. */
function kindOf(file: string): CheckedFile["kind"] {
    try {
        const document = JSON.parse(readFileSync(file, "utf8")) as object;
        if (Object.hasOwn(document, "role")) {
            return "settings";
        }
        return Object.hasOwn(document, "policy") ? "policy" : "questionnaire";
    }
    catch {
        return file.endsWith("questionnaire.json") ? "questionnaire" : "settings";
    }
}

function checkFile(file: string): CheckedFile {
    const kind = kindOf(file);
    if (kind === "policy") {
        const policy = readFleetPolicy(file);
        return { file, kind, problems: policy.isErr() ? [...policy.error.problems] : [] };
    }
    if (kind === "settings") {
        const settings = readDocument(file, processSettingsSchema);
        return { file, kind: "settings", problems: settings.isErr() ? [...settings.error.problems] : [] };
    }
    const answers = readDocument(file, questionnaireSchema);
    const problems = answers.isErr()
        ? [...answers.error.problems]
        : findContradictions(answers.value).map(({ path, message, rule }) => `${path}: ${message} (${rule})`);
    return { file, kind: "questionnaire", problems };
}

/** Checks settings and questionnaires without any effect. A folder is checked as a deployment. */
export function check(paths: readonly string[], output: Output): ExitCode {
    const checked = paths.flatMap(filesOf).map(checkFile);
    output.result(
        checked,
        checked.flatMap(({ file, kind, problems }) =>
            problems.length === 0
                ? [`ok       ${file} (${kind})`]
                : [`invalid  ${file} (${kind})`, ...problems.map(problem => `         ${problem}`)]
        ),
    );
    return checked.every(({ problems }) => problems.length === 0) ? exitCodes.ok : exitCodes.invalidDocument;
}
