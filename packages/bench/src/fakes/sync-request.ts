import type { SyncRequest } from "@lentilramp/exchange";

/** Returns the sync of an ingress with nothing to report but what `reports` holds. */
export function syncRequest(name: string, reports: Partial<SyncRequest> = {}): SyncRequest {
    const address = { host: "10.0.0.2", port: 80 };
    return {
        ingress: { name, ...address, inner: address, region: "r", failureDomain: "a", accepting: true },
        lifetime: name,
        wallMs: 0,
        elapsedMs: 0,
        waitMs: 600,
        catalogVersion: 0,
        listNumber: 0,
        load: {},
        followsOthers: true,
        suspects: [],
        rosterTag: 0,
        usage: {},
        leaving: [],
        limits: {},
        permits: {},
        crashes: [],
        begunParts: {},
        refusedParts: [],
        blockedTag: 0,
        origins: {},
        singleVersionTag: 0,
        demand: {},
        ...reports,
    };
}
