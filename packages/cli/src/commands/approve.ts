import { readDocument } from "@lentilramp/settings";
import { z } from "zod";
import { CommandError, type ExitCode, exitCodes } from "../exit-codes.ts";
import { type ConnectionOptions, type OperatorClient, withClient } from "../operator-client.ts";
import type { Output } from "../output.ts";
import { commandResultSchema, type Proposal, proposalSchema } from "../proposal.ts";

const inForceLimitMs = 5_000;
const pollMs = 100;
const entryStatusSchema = z.looseObject({ version: z.int(), failureDomain: z.string() });

interface Spread {
    name: string;
    version: number | undefined;
    failureDomain: string | undefined;
}

async function readSpread(client: OperatorClient): Promise<Spread[]> {
    return await Promise.all(client.entries.map(async entry => {
        try {
            const status = await client.call(entry, "status", {}, entryStatusSchema);
            return { name: entry.name, version: status.version, failureDomain: status.failureDomain };
        }
        catch {
            return { name: entry.name, version: undefined, failureDomain: undefined };
        }
    }));
}

/** Waits until all reachable entries hold the version, and reports progress. */
async function waitInForce(
    client: OperatorClient,
    version: number,
    output: Output,
): Promise<{ spread: Spread[]; tookMs: number; }> {
    const start = client.now();
    let shown = "";
    for (;;) {
        const spread = await readSpread(client);
        const reachable = spread.filter(entry => entry.version !== undefined);
        const holding = reachable.filter(entry => (entry.version ?? 0) >= version);
        const line = `in force at ${holding.length} of ${reachable.length} reachable entries`;
        if (line !== shown) {
            output.progress(line);
            shown = line;
        }
        const tookMs = client.now() - start;
        if (holding.length === reachable.length || tookMs > inForceLimitMs) {
            return { spread, tookMs };
        }
        await client.sleep(pollMs);
    }
}

function describeRefusal(proposal: Proposal, error: string, message: string): CommandError {
    return error === "conflict"
        ? new CommandError(exitCodes.conflict, `base version ${proposal.baseVersion} lost: ${message}; generate again`)
        : new CommandError(exitCodes.failed, `refused (${error}): ${message}`);
}

/** Approves a proposal and waits until it is in force. Repeating it with the same proposal gets the first answer. */
export async function approve(file: string, options: ConnectionOptions, output: Output): Promise<ExitCode> {
    const read = readDocument(file, proposalSchema);
    if (read.isErr()) {
        throw new CommandError(exitCodes.invalidDocument, read.error.message);
    }
    const proposal = read.value;
    return await withClient(options, async client => {
        const { operationId, baseVersion, configuration } = proposal;
        const result = await client.callLeader(
            "configuration.propose",
            { operationId, baseVersion, configuration },
            commandResultSchema,
        );
        if (!result.ok) {
            throw describeRefusal(proposal, result.error, result.message);
        }
        const { spread, tookMs } = await waitInForce(client, result.version, output);
        const late = spread.filter(entry => entry.version !== undefined && entry.version < result.version);
        const silent = spread.filter(entry => entry.version === undefined);
        output.result({ version: result.version, operationId, inForceMs: Math.round(tookMs), spread }, [
            `version ${result.version} accepted`,
            late.length === 0
                ? `in force at ${spread.length - silent.length} entries after ${Math.round(tookMs)} ms`
                : `not yet in force at ${late.map(entry => entry.name).join(", ")}`,
            ...(silent.length > 0 ? [`no answer from ${silent.map(entry => entry.name).join(", ")}`] : []),
        ]);
        return late.length === 0 ? exitCodes.ok : exitCodes.failed;
    });
}
