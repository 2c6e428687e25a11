import { z } from "zod";
import type { Endpoint } from "./endpoint-directory.ts";
import { originLifetimeMs, versionOf } from "./stream-origins.ts";

/** Software versions that the endpoints of each service have had lately. */
export const versionHistorySchema = z.object({
    /** Time of day from which on the history is complete, in milliseconds. */
    since: z.number(),
    services: z.record(
        z.string(),
        z.object({
            listed: z.array(z.string()),
            /** By version, the time of day at which it left the list. */
            left: z.record(z.string(), z.number()),
        }),
    ),
});
export type VersionHistory = z.infer<typeof versionHistorySchema>;
type ServiceVersions = VersionHistory["services"][string];

/** Returns the history after a read of the list at the time of day `now`, or undefined if it is the same. */
export function updateVersionHistory(
    history: VersionHistory,
    endpoints: readonly Endpoint[],
    now: number,
): VersionHistory | undefined {
    const listed = new Map<string, Set<string>>();
    for (const endpoint of endpoints) {
        const versions = listed.get(endpoint.service) ?? new Set();
        listed.set(endpoint.service, versions.add(versionOf(endpoint)));
    }
    const before = new Map(Object.entries(history.services));
    const services = [...new Set([...listed.keys(), ...before.keys()])].sort().flatMap(service => {
        const versions = [...listed.get(service) ?? []].sort();
        const left = leftVersions(before.get(service), versions, now);
        return versions.length + left.length === 0
            ? []
            : [[service, { listed: versions, left: Object.fromEntries(left) }] as const];
    });
    const next = { since: history.since, services: Object.fromEntries(services) };
    return JSON.stringify(next) === JSON.stringify(history) ? undefined : next;
}

function leftVersions(before: ServiceVersions | undefined, listed: readonly string[], now: number): [string, number][] {
    const left = new Map(Object.entries(before?.left ?? {}));
    before?.listed.forEach(version => left.set(version, now));
    return [...left].filter(([version, leftAt]) => !listed.includes(version) && leftAt + originLifetimeMs > now)
        .sort(([one], [other]) => one < other ? -1 : 1);
}

/** Returns the only version that can have begun a stream of each service, for the services that have one. */
export function singleVersions(history: VersionHistory, now: number): Record<string, string> {
    if (history.since + originLifetimeMs > now) {
        return {};
    }
    return Object.fromEntries(
        Object.entries(history.services).flatMap(([service, { listed, left }]) => {
            const recent = Object.entries(left).filter(([, leftAt]) => leftAt + originLifetimeMs > now);
            const versions = [...listed, ...recent.map(([version]) => version)];
            return versions.length === 1 ? [[service, versions[0] ?? ""]] : [];
        }),
    );
}
