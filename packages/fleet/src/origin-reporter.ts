import {
    groupOrigins,
    originLifetimeMs,
    type OriginReports,
    type StreamOrigin,
    StreamOrigins,
} from "./stream-origins.ts";

/** Largest number of origins in one sync. */
const maxReported = 4_000;

interface Unreported {
    origin: StreamOrigin;
    recordedAt: number;
}

/**
 * Origins of the streams of one ingress, and which of them the leader has to hear. A stream of a service that has had
 * one version for long needs no report: its version is known.
 */
export class OriginReporter {
    private readonly origins = new StreamOrigins();
    /** By service, and then by key. */
    private readonly unreported = new Map<string, Map<string, Unreported>>();
    private singleVersion: ReadonlySet<string> = new Set();
    /** Id of the leader's collection that has heard the reports; another one has heard none. */
    private holder: string | undefined;

    /** Sets the services that have had one version for long. */
    setSingleVersion(services: ReadonlySet<string>): void {
        this.singleVersion = services;
    }

    /** Records the origin of a stream; returns whether the leader has to hear it. */
    record(key: string, origin: StreamOrigin, now: number): boolean {
        if (!this.origins.record(key, origin, now)) {
            return false;
        }
        this.addUnreported(key, origin, now);
        return !this.singleVersion.has(origin.service);
    }

    find(key: string, now: number): StreamOrigin | undefined {
        return this.origins.find(key, now);
    }

    /** Returns the origins that the leader has to hear. */
    reports(now: number): OriginReports {
        const chosen: { key: string; origin: StreamOrigin; }[] = [];
        for (const [service, origins] of this.unreported) {
            for (const [key, { origin, recordedAt }] of origins) {
                if (now - recordedAt > originLifetimeMs) {
                    origins.delete(key);
                }
                else if (this.singleVersion.has(service) || chosen.length >= maxReported) {
                    // The rest is newer, since a map keeps the order of insertion.
                    break;
                }
                else {
                    chosen.push({ key, origin });
                }
            }
        }
        return groupOrigins(chosen);
    }

    /** Takes note that the collection `holder` of a leader has got reports. */
    acknowledge(holder: string | undefined, reports: OriginReports, now: number): void {
        if (holder !== this.holder) {
            this.holder = holder;
            this.reportAllAgain(now);
        }
        for (const [service, versions] of Object.entries(reports)) {
            const unreported = this.unreported.get(service);
            Object.values(versions).flat().forEach(key => unreported?.delete(key));
        }
    }

    private reportAllAgain(now: number): void {
        const { reports } = this.origins.reportsFrom(0, Infinity, now);
        for (const [service, versions] of Object.entries(reports)) {
            for (const [version, keys] of Object.entries(versions)) {
                keys.forEach(key => this.addUnreported(key, { service, version }, now));
            }
        }
    }

    private addUnreported(key: string, origin: StreamOrigin, now: number): void {
        const origins = this.unreported.get(origin.service) ?? new Map<string, Unreported>();
        this.unreported.set(origin.service, origins);
        origins.set(key, { origin, recordedAt: now });
    }
}
