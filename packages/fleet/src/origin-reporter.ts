import {
    groupOrigins,
    type OriginEntry,
    type OriginMessage,
    type OriginReports,
    type StreamOrigin,
    StreamOrigins,
} from "./stream-origins.ts";

/** Largest number of origins in one sync. */
const maxReported = 4_000;
/** Interval between two searches for unreported origins that have expired, in milliseconds. */
const pruneIntervalMs = 5_000;
/**
 * Interval at which all origins are reported again to a leader that forgets each one 30 s after it has heard of it first,
 * in milliseconds. Such a leader has an earlier software version.
 */
const repeatIntervalMs = 10_000;

/**
 * Origins of the streams of one ingress, and which of them the leader has to hear. A stream of the only version that a
 * service has had for long needs no report: its version is known.
 */
export class OriginReporter {
    private readonly origins = new StreamOrigins();
    /** Keys by service, and then by version. */
    private readonly unreported = new Map<string, Map<string, Set<string>>>();
    /** Services with one version; the version is undefined if the leader does not say which. */
    private singleVersions: ReadonlyMap<string, string | undefined> = new Map();
    /** Id of the leader's collection that has heard the reports; another one has heard none. */
    private holder: string | undefined;
    /** Number behind the records that the last report has taken into account. */
    private reportedUpTo = 0;
    private pruneAt = -Infinity;
    private repeatAt = -Infinity;

    /** Sets the services that have had one version for long, with that version if the leader says it. */
    setSingleVersions(versions: ReadonlyMap<string, string | undefined>): void {
        this.singleVersions = versions;
    }

    /** Records the origin of a stream that may be taken up until `expiresAt`; returns whether the leader has to hear it. */
    record(key: string, origin: StreamOrigin, expiresAt: number, now: number): boolean {
        if (!this.origins.record(key, origin, expiresAt, now)) {
            return false;
        }
        this.addUnreported(key, origin);
        return !this.isKnown(origin);
    }

    find(key: string, now: number): StreamOrigin | undefined {
        return this.origins.find(key, now)?.origin;
    }

    /** Returns the origins that the leader has to hear. */
    report(now: number): OriginMessage {
        const prunes = now >= this.pruneAt;
        this.pruneAt = prunes ? now + pruneIntervalMs : this.pruneAt;
        this.reportedUpTo = this.origins.nextNumber;
        const chosen: OriginEntry[] = [];
        for (const [service, versions] of this.unreported) {
            for (const [version, keys] of versions) {
                const isKnown = this.isKnown({ service, version });
                for (const key of isKnown && !prunes ? [] : keys) {
                    const entry = this.origins.find(key, now);
                    if (entry === undefined) {
                        keys.delete(key);
                    }
                    else if (!isKnown && chosen.length < maxReported) {
                        chosen.push(entry);
                    }
                }
            }
        }
        return groupOrigins(chosen, now);
    }

    /**
     * Takes note that the collection `holder` of a leader has got the last report. `keepsLives` is whether it keeps each
     * origin for as long as it was told.
     */
    acknowledge(holder: string | undefined, reports: OriginReports, keepsLives: boolean, now: number): void {
        if (holder !== this.holder || !keepsLives && now >= this.repeatAt) {
            this.holder = holder;
            this.repeatAt = now + repeatIntervalMs;
            this.reportAllAgain(now);
        }
        for (const [service, versions] of Object.entries(reports)) {
            for (const [version, keys] of Object.entries(versions)) {
                const unreported = this.unreported.get(service)?.get(version);
                for (const key of keys) {
                    // One that has been prolonged since has to be reported again.
                    if ((this.origins.find(key, now)?.number ?? 0) < this.reportedUpTo) {
                        unreported?.delete(key);
                    }
                }
            }
        }
    }

    private reportAllAgain(now: number): void {
        const { reports } = this.origins.reportsFrom(0, Infinity, now);
        for (const [service, versions] of Object.entries(reports)) {
            for (const [version, keys] of Object.entries(versions)) {
                keys.forEach(key => this.addUnreported(key, { service, version }));
            }
        }
    }

    /** Whether the leader takes each stream of the service for one of this version. */
    private isKnown({ service, version }: StreamOrigin): boolean {
        const single = this.singleVersions.get(service) ?? version;
        return this.singleVersions.has(service) && single === version;
    }

    private addUnreported(key: string, { service, version }: StreamOrigin): void {
        const versions = this.unreported.get(service) ?? new Map<string, Set<string>>();
        this.unreported.set(service, versions);
        const keys = versions.get(version) ?? new Set<string>();
        versions.set(version, keys);
        keys.add(key);
    }
}
