import { handOverKindSchema } from "@lentilramp/configuration";
import { randomUUID } from "node:crypto";
import { z } from "zod";
import { CommandError, type ExitCode, exitCodes } from "../exit-codes.ts";
import { type ConnectionOptions, type OperatorClient, withClient } from "../operator-client.ts";
import type { Output } from "../output.ts";
import { commandResultSchema } from "../proposal.ts";

const pollMs = 250;
const inFlightSchema = z.object({ inFlight: z.int() });

export interface DrainOptions extends ConnectionOptions {
    operationId?: string;
    wait?: number;
}

async function countInFlight(client: OperatorClient, id: string): Promise<number> {
    const counts = await Promise.all(
        client.entries.map(entry =>
            client.call(entry, "entry.inFlight", { kind: "endpoint", id }, inFlightSchema).then(answer =>
                answer.inFlight
            ).catch(() => 0)
        ),
    );
    return counts.reduce((sum, count) => sum + count, 0);
}

/** Stops new work to an endpoint and waits until its requests in flight have ended. */
export async function drain(endpoint: string, options: DrainOptions, output: Output): Promise<ExitCode> {
    return await withClient(options, async client => {
        const operationId = options.operationId ?? `drain-${endpoint}-${randomUUID()}`;
        output.progress(`operation id ${operationId}`);
        const result = await client.callLeader("endpoint.drain", { operationId, endpoint }, commandResultSchema);
        if (!result.ok) {
            throw new CommandError(exitCodes.failed, `refused (${result.error}): ${result.message}`);
        }
        const until = client.now() + (options.wait ?? 0) * 1_000;
        let inFlight = await countInFlight(client, endpoint);
        while (inFlight > 0 && client.now() < until) {
            output.progress(`${inFlight} requests in flight at ${endpoint}`);
            await client.sleep(pollMs);
            inFlight = await countInFlight(client, endpoint);
        }
        output.result({ endpoint, operationId, version: result.version, inFlight }, [
            `${endpoint} is draining since version ${result.version}; ${inFlight} requests in flight`,
        ]);
        return inFlight === 0 || options.wait === undefined ? exitCodes.ok : exitCodes.failed;
    });
}

export interface HandOverOptions extends ConnectionOptions {
    operationId?: string;
}

/** Takes one step of the hand-over of an endpoint, service or workspace to the other half. */
export async function handOver(
    kind: string,
    id: string,
    step: string,
    options: HandOverOptions,
    output: Output,
): Promise<ExitCode> {
    const parsedKind = handOverKindSchema.safeParse(kind);
    if (!parsedKind.success) {
        throw new CommandError(exitCodes.usage, `KIND must be one of ${handOverKindSchema.options.join(", ")}`);
    }
    return await withClient(options, async client => {
        const operationId = options.operationId ?? `hand-over-${kind}-${id}-${step}-${randomUUID()}`;
        const result = await client.callLeader(
            "endpoint.handOver",
            { operationId, kind, id, step },
            commandResultSchema,
        );
        if (!result.ok) {
            throw new CommandError(exitCodes.failed, `refused (${result.error}): ${result.message}`);
        }
        output.result({ kind, id, step, operationId, version: result.version }, [
            `${kind} ${id} is ${step} since version ${result.version}`,
        ]);
        return exitCodes.ok;
    });
}
