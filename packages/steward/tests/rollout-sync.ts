import { syncRequest } from "@lentilramp/bench";
import type { SyncAnswer, SyncRequest } from "@lentilramp/exchange";
import type { Endpoint } from "@lentilramp/fleet";
import { VersionResults } from "@lentilramp/rollouts";

/** An endpoint of the service "app". */
export function rolloutEndpoint(id: string, version: string): Endpoint {
    return {
        id,
        service: "app",
        host: "10.0.0.1",
        port: 80,
        failureDomain: "a",
        slots: 8,
        ready: true,
        reclaimable: false,
        version,
    };
}

/** Returns the sync of an ingress that reports a roll-out and little else. */
export function rolloutSync(
    name: string,
    now: number,
    reports: Pick<SyncRequest, "rolloutResults" | "rolloutRevision"> & Partial<Pick<SyncRequest, "lifetime" | "load">>,
): SyncRequest {
    return syncRequest(name, { wallMs: now, ...reports });
}

/** An ingress as the coordinator sees it, which obeys the notices that it gets. */
export class FakeIngress {
    share = 0;
    closed = false;
    results: VersionResults | undefined;
    /** Requests in flight at the old endpoint. */
    runningAtOld = 0;

    constructor(readonly name: string) {}

    request(now: number): SyncRequest {
        return rolloutSync(this.name, now, {
            load: this.runningAtOld > 0 ? { old: { running: this.runningAtOld, unreadTokens: 0 } } : {},
            rolloutResults: this.results && { app: this.results.report(this.share, this.closed) },
        });
    }

    obey(notices: SyncAnswer["rollouts"]): void {
        const notice = notices?.services.app;
        if (notice?.state === "running") {
            this.results ??= new VersionResults(notice.orderedAt, notice.target);
            this.share = notice.share ?? 0;
            this.closed = notice.closed;
        }
    }
}
