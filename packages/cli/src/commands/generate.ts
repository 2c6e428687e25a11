import { describeDifference, findContradictions, generateConfiguration } from "@lentilramp/questionnaire";
import { createHash } from "node:crypto";
import { writeFileSync } from "node:fs";
import { CommandError, type ExitCode, exitCodes } from "../exit-codes.ts";
import { readQuestionnaire, withClient } from "../operator-client.ts";
import type { ConnectionOptions } from "../operator-client.ts";
import type { Output } from "../output.ts";
import { currentSchema, type Proposal } from "../proposal.ts";

export interface GenerateOptions extends ConnectionOptions {
    out?: string;
}

/** The same configuration on the same base gets the same operation id, so that a repeated approval is recognised. */
function operationIdOf(baseVersion: number, configuration: unknown): string {
    const digest = createHash("sha256").update(JSON.stringify({ baseVersion, configuration })).digest("hex");
    return `approve-${baseVersion}-${digest.slice(0, 16)}`;
}

/** Generates the configuration from a questionnaire, shows what would change, and writes a proposal for `approve`. */
export async function generate(file: string, options: GenerateOptions, output: Output): Promise<ExitCode> {
    const answers = readQuestionnaire(file);
    const contradictions = findContradictions(answers);
    if (contradictions.length > 0) {
        const lines = contradictions.map(({ path, message }) => `${file}: ${path}: ${message}`);
        throw new CommandError(exitCodes.invalidDocument, lines.join("\n"));
    }
    const inForce = await withClient(
        options,
        async client => (await client.callLeader("configuration.get", {}, currentSchema)).configuration,
    );
    const configuration = generateConfiguration(answers, inForce.version > 0 ? inForce : undefined);
    const difference = describeDifference(inForce, configuration);
    const proposal: Proposal = {
        operationId: operationIdOf(inForce.version, configuration),
        baseVersion: inForce.version,
        difference,
        configuration,
    };
    if (options.out !== undefined) {
        writeFileSync(options.out, `${JSON.stringify(proposal, undefined, 4)}\n`);
    }
    output.result(options.out === undefined ? proposal : { ...proposal, configuration: undefined, file: options.out }, [
        `version in force ${inForce.version}, ${
            difference.length === 0 ? "no change" : `${difference.length} changes`
        }`,
        ...difference.map(line => `  ${line}`),
        ...(options.out === undefined
            ? []
            : [`proposal written to ${options.out}; approve it with: lentilramp approve ${options.out}`]),
    ]);
    return exitCodes.ok;
}
