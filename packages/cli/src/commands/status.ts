import { z } from "zod";
import { type ExitCode, exitCodes } from "../exit-codes.ts";
import { type ConnectionOptions, type NamedAddress, type OperatorClient, withClient } from "../operator-client.ts";
import { formatTable, type Output } from "../output.ts";
import { currentSchema } from "../proposal.ts";

const statusSchema = z.record(z.string(), z.unknown());
type Status = z.infer<typeof statusSchema>;

interface Reading {
    name: string;
    status: Status | undefined;
}

async function read(client: OperatorClient, peers: readonly NamedAddress[]): Promise<Reading[]> {
    return await Promise.all(peers.map(async peer => ({
        name: peer.name,
        status: await client.call(peer, "status", {}, statusSchema).catch(() => undefined),
    })));
}

function cell(status: Status | undefined, key: string): string {
    const value = status?.[key];
    return value === undefined
        ? "-"
        : typeof value === "object"
        ? JSON.stringify(value)
        : String(value as string | number | boolean);
}

function tableOf(readings: readonly Reading[], columns: readonly string[]): string[] {
    return formatTable([
        ["name", "answers", ...columns],
        ...readings.map(({ name, status }) => [
            name,
            status === undefined ? "no" : "yes",
            ...columns.map(column => cell(status, column)),
        ]),
    ]);
}

/** Shows the state of a deployment at a glance. */
export async function status(options: ConnectionOptions, output: Output): Promise<ExitCode> {
    return await withClient(options, async client => {
        const [control, entries] = await Promise.all([read(client, client.control), read(client, client.entries)]);
        const current = await client.callLeader("configuration.get", {}, currentSchema).catch(() => undefined);
        const endpoints = current?.configuration.endpoints ?? [];
        const versions = [...new Set(entries.flatMap(entry => entry.status?.version as number | undefined ?? []))];
        const lines = [
            `version ${current?.configuration.version ?? "unknown"}; in force at entries: ${
                versions.sort((a, b) => a - b).join(", ") || "none"
            }`,
            "",
            ...tableOf(control, ["role", "term", "version", "commitIndex", "subscriptions"]),
            "",
            ...tableOf(entries, ["state", "failureDomain", "version", "permitMs", "inFlight", "accepted", "refused"]),
            "",
            ...formatTable([
                ["endpoint", "kind", "failureDomain", "lifecycle", "serves"],
                ...endpoints.map(endpoint => [
                    endpoint.id,
                    endpoint.kind,
                    endpoint.failureDomain,
                    endpoint.lifecycle,
                    [...endpoint.models, ...endpoint.services].join(","),
                ]),
            ]),
        ];
        output.result({ version: current?.configuration.version, control, entries, endpoints }, lines);
        return current === undefined ? exitCodes.failed : exitCodes.ok;
    });
}
