import type { Endpoint } from "./endpoint-directory.ts";
import { versionOf } from "./stream-origins.ts";
import { versionsKnownMs } from "./version-history.ts";

/**
 * Time after its last listing for which a version counts as announced, in milliseconds. It is shorter than the time for
 * which a leader remembers that a version has left.
 */
const announcedMs = 20_000;

interface SeenVersion {
    /** Instant at which a list that this process read itself first showed it; undefined if the leader's list has. */
    seenAt: number | undefined;
    listedAt: number;
}

/** A version that may not be used yet. */
export interface WithheldVersion {
    service: string;
    version: string;
    /** Instant from which it may be used. */
    usableFrom: number;
}

/**
 * Decides which endpoints of a list may be used for streams that callers may take up elsewhere. The list of the leader
 * shows no version that the leader does not know. A list that this process read itself may show one: until every leader
 * has to have read it too, another ingress may be told that the service has no other version than the one before.
 */
export class VersionAnnouncements {
    /** By service, and then by version. */
    private versions = new Map<string, Map<string, SeenVersion>>();

    constructor(
        /** Longest time by which a list of the platform is behind, in milliseconds. */
        private readonly maxListLagMs: number,
    ) {}

    /** Takes note of a list of the leader. */
    applyLeaderList(endpoints: readonly Endpoint[], now: number): void {
        this.versions = new Map();
        endpoints.forEach(endpoint => this.versionsOf(endpoint.service).set(versionOf(endpoint), announced(now)));
    }

    /** Takes note of a list that this process has read itself, and returns the versions of it that may not be used yet. */
    applyOwnList(endpoints: readonly Endpoint[], now: number): WithheldVersion[] {
        for (const [service, listed] of groupByService(endpoints)) {
            const versions = this.versionsOf(service);
            if (versions.size === 0) {
                // Without any list before, the oldest endpoint is of a version that the others know.
                versions.set(versionOf(oldest(listed)), announced(now));
            }
            for (const version of new Set(listed.map(versionOf))) {
                const { seenAt = undefined } = versions.get(version) ?? { seenAt: now };
                versions.set(version, { seenAt, listedAt: now });
            }
        }
        this.forgetUnlisted(now);
        return this.withheld(now);
    }

    private withheld(now: number): WithheldVersion[] {
        return [...this.versions].flatMap(([service, versions]) =>
            [...versions].flatMap(([version, { seenAt = -Infinity }]) => {
                const usableFrom = seenAt + this.maxListLagMs + versionsKnownMs;
                return usableFrom > now ? [{ service, version, usableFrom }] : [];
            })
        );
    }

    private forgetUnlisted(now: number): void {
        for (const versions of this.versions.values()) {
            for (const [version, { listedAt }] of versions) {
                if (now - listedAt > announcedMs) {
                    versions.delete(version);
                }
            }
        }
    }

    private versionsOf(service: string): Map<string, SeenVersion> {
        const versions = this.versions.get(service) ?? new Map<string, SeenVersion>();
        this.versions.set(service, versions);
        return versions;
    }
}

function announced(now: number): SeenVersion {
    return { seenAt: undefined, listedAt: now };
}

function groupByService(endpoints: readonly Endpoint[]): Map<string, Endpoint[]> {
    const groups = new Map<string, Endpoint[]>();
    for (const endpoint of endpoints) {
        const group = groups.get(endpoint.service) ?? [];
        groups.set(endpoint.service, group);
        group.push(endpoint);
    }
    return groups;
}

function oldest(endpoints: readonly Endpoint[]): Endpoint {
    return endpoints.reduce((one, other) => (other.startedAt ?? Infinity) < (one.startedAt ?? Infinity) ? other : one);
}
