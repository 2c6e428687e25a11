import { z } from "zod";
import type { Endpoint } from "./endpoint-directory.ts";
import { takeUpGraceMs, versionOf } from "./stream-origins.ts";

/** Time for which software versions before the one that records `isComplete` kept a version that had left, in ms. */
const earlierRetentionMs = 30_000;

/** Age of the list from which it no longer says which versions serve, in milliseconds. */
export const versionsKnownMs = 2_000;

const serviceVersionsSchema = z.object({
    listed: z.array(z.string()),
    /** By version, the time of day at which it left the list. */
    left: z.record(z.string(), z.number()),
    /** By version that has left, the time of day until which callers may take its streams up. */
    until: z.record(z.string(), z.number()).optional(),
    /** Longest time that a route allows an attempt at a stream, in milliseconds. */
    lifeMs: z.number().optional(),
    /** Time of day by which the attempts have ended that began while a route allowed a longer time. */
    endsBy: z.number().optional(),
});
type ServiceVersions = z.infer<typeof serviceVersionsSchema>;

/** Software versions whose streams may still be taken up, by service. */
export const versionHistorySchema = z.object({
    /** Time of day from which on the history is complete, in milliseconds. */
    since: z.number(),
    /** Whether versions that have left are kept as long as their streams; absent from earlier software versions. */
    isComplete: z.boolean().optional(),
    services: z.record(z.string(), serviceVersionsSchema),
});
export type VersionHistory = z.infer<typeof versionHistorySchema>;

/**
 * Returns the history after a read of the list at the time of day `now`, or undefined if it is the same. `attemptLifeMs`
 * is the longest time that the routes to a service allow an attempt at a stream that can be taken up, in milliseconds.
 */
export function updateVersionHistory(
    history: VersionHistory,
    endpoints: readonly Endpoint[],
    attemptLifeMs: (service: string) => number,
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
        const next = updateService(before.get(service), versions, attemptLifeMs(service), now);
        return next.listed.length + Object.keys(next.left).length === 0 ? [] : [[service, next] as const];
    });
    const since = history.isComplete === true ? history.since : Math.max(history.since, now - earlierRetentionMs);
    const next = { since, isComplete: true, services: Object.fromEntries(services) };
    return JSON.stringify(next) === JSON.stringify(history) ? undefined : next;
}

/** Returns the endpoints whose versions a history contains. */
export function endpointsOfKnownVersions(
    history: VersionHistory | undefined,
    endpoints: readonly Endpoint[],
): readonly Endpoint[] {
    const services = new Map(Object.entries(history?.services ?? {}));
    return endpoints.filter(endpoint => {
        const versions = services.get(endpoint.service);
        const version = versionOf(endpoint);
        return versions !== undefined && (versions.listed.includes(version) || Object.hasOwn(versions.left, version));
    });
}

function updateService(
    before: ServiceVersions | undefined,
    listed: string[],
    lifeMs: number,
    now: number,
): ServiceVersions {
    const previousLifeMs = before?.lifeMs ?? lifeMs;
    // A begun stream keeps a longer time when its route gets a shorter one, and gets a longer one with its route.
    const longestMs = Math.max(lifeMs, previousLifeMs);
    const endsBy = Math.max(before?.endsBy ?? 0, lifeMs < previousLifeMs ? now + previousLifeMs : 0);
    const leftAt = new Map([
        ...(before?.listed ?? []).map(version => [version, now] as const),
        ...Object.entries(before?.left ?? {}),
    ]);
    const left = [...leftAt].sort(([one], [other]) => one < other ? -1 : 1).flatMap(([version, at]) => {
        const until = Math.max(before?.until?.[version] ?? endsBy + takeUpGraceMs, at + longestMs + takeUpGraceMs);
        return listed.includes(version) || until <= now ? [] : [{ version, at, until }];
    });
    return {
        listed,
        left: Object.fromEntries(left.map(({ version, at }) => [version, at])),
        until: Object.fromEntries(left.map(({ version, until }) => [version, until])),
        lifeMs,
        ...(endsBy > now ? { endsBy } : {}),
    };
}

/** Returns the only version that can have begun a stream of each service, for the services that have one. */
export function singleVersions(history: VersionHistory, now: number): Record<string, string> {
    return Object.fromEntries(
        Object.entries(history.services).flatMap(([service, { listed, left, until, lifeMs = 0, endsBy = 0 }]) => {
            // Of the streams that began before the history, no more is known than when they end.
            const isKnown = history.since === 0 || Math.max(history.since + lifeMs, endsBy) + takeUpGraceMs <= now;
            const recent = Object.keys(left).filter(version => (until?.[version] ?? Infinity) > now);
            const versions = [...listed, ...recent];
            return isKnown && versions.length === 1 ? [[service, versions[0] ?? ""]] : [];
        }),
    );
}
