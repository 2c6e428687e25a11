import { timeBucket } from "./response-times.ts";
import type { RolloutReport, VersionTally } from "./rollout-messages.ts";

/** Largest numbers of versions and of routes of a version that are told apart; the rest is counted together. */
const maxVersions = 4;
const maxRoutes = 32;
/** Name under which the versions or routes beyond those numbers are counted. */
const otherName = "(other)";

interface Entry {
    tally: VersionTally;
    responses: number;
    /** Number of responses in the last report that was answered. */
    acknowledged: number;
}

/** Counts, at an ingress, what it saw of the versions of a service since it heard of a roll-out. */
export class VersionResults {
    private askedCount = 0;
    private arrivedCount = 0;
    private exposedCount = 0;
    private readonly versions = new Map<string, Map<string, Entry>>();

    constructor(readonly orderedAt: number, readonly target: string) {}

    /** Counts a request that has come for the service, whether it will be served or refused. */
    recordAsked(): void {
        this.askedCount++;
    }

    /** Counts a request that has reached the service, which an endpoint has run or may have run. */
    recordArrival(): void {
        this.arrivedCount++;
    }

    /** Counts a request that is sent to an endpoint of `version`. */
    recordSend(version: string): void {
        if (version === this.target) {
            this.exposedCount++;
        }
    }

    /** Counts a response; `timeMs` is undefined for a failure, and for a response whose time is not known. */
    recordResponse(version: string, route: string, outcome: "failed" | "answered", timeMs: number | undefined): void {
        if (outcome === "answered" && timeMs === undefined) {
            return;
        }
        const versionName = this.versions.has(version) || this.versions.size < maxVersions ? version : otherName;
        const routes = this.versions.get(versionName) ?? new Map<string, Entry>();
        this.versions.set(versionName, routes);
        const routeName = routes.has(route) || routes.size < maxRoutes ? route : otherName;
        const entry = routes.get(routeName) ?? { tally: { failed: 0, times: {} }, responses: 0, acknowledged: 0 };
        routes.set(routeName, entry);
        entry.responses++;
        if (outcome === "failed") {
            entry.tally.failed++;
        }
        else {
            const bucket = timeBucket(timeMs ?? 0);
            entry.tally.times[bucket] = (entry.tally.times[bucket] ?? 0) + 1;
        }
    }

    /** Returns the report of this instant; `share` and `closed` say what the ingress obeys. */
    report(share: number, closed: boolean): RolloutReport {
        const results = [...this.versions].flatMap(([version, routes]) => {
            const changed = [...routes].filter(([, { responses, acknowledged }]) => responses > acknowledged)
                .map(([route, { tally }]) => [route, { failed: tally.failed, times: { ...tally.times } }] as const);
            return changed.length === 0 ? [] : [[version, Object.fromEntries(changed)] as const];
        });
        return {
            orderedAt: this.orderedAt,
            share,
            closed,
            asked: this.askedCount,
            arrived: this.arrivedCount,
            exposed: this.exposedCount,
            results: Object.fromEntries(results),
        };
    }

    /** Records that the leader has answered a report. */
    acknowledge(report: RolloutReport): void {
        if (report.orderedAt !== this.orderedAt) {
            return;
        }
        for (const [version, routes] of Object.entries(report.results)) {
            for (const [route, tally] of Object.entries(routes)) {
                const entry = this.versions.get(version)?.get(route);
                if (entry !== undefined) {
                    entry.acknowledged = Math.max(entry.acknowledged, countResponses(tally));
                }
            }
        }
    }
}

/** Returns the number of responses of a tally. */
export function countResponses({ failed, times }: VersionTally): number {
    return Object.values(times).reduce((sum, count) => sum + count, failed);
}
