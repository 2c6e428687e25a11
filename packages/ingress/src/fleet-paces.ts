import type { LatencyModel, PaceReport } from "@lentilramp/dispatch";
import type { SyncAnswer, SyncRequest } from "@lentilramp/exchange";
import type { EndpointDirectory } from "@lentilramp/fleet";
import type { EventLog } from "@lentilramp/runtime";

/** Exchanges the estimates of endpoints with the leader, and logs endpoints that become slow or recover. */
export class FleetPaces {
    constructor(
        private readonly models: ReadonlyMap<string, LatencyModel>,
        private readonly endpoints: Pick<EndpointDirectory, "all">,
        /** Returns the model of a service; undefined while no catalog says what kind of service it is. */
        private readonly modelOf: (service: string) => LatencyModel | undefined,
        private readonly log: EventLog,
    ) {}

    /** Number of endpoints that are much slower than usual for their service. */
    get slowEndpoints(): number {
        return [...this.models.values()].reduce((sum, { pace }) => sum + (pace?.slowEndpoints ?? 0), 0);
    }

    /** Returns the evidence since the last sync for the leader; undefined if there is none. */
    takeReports(): SyncRequest["paces"] {
        const reports: [string, PaceReport][] = [];
        for (const [service, { pace }] of this.models) {
            for (const { endpoint, slow, factor } of pace?.takeChanges() ?? []) {
                const fields = { endpoint, service, factor: Math.round(factor * 100) / 100 };
                if (slow) {
                    this.log.info("endpoint.slow", fields);
                }
                else {
                    this.log.info("endpoint.recovered", fields);
                }
            }
            reports.push(...pace?.takeReports() ?? []);
        }
        return reports.length === 0 ? undefined : Object.fromEntries(reports);
    }

    /** Applies the factors in the leader's answer; what the fleet saw before is forgotten. */
    applyAnswer(paces: SyncAnswer["paces"]): void {
        const byService = new Map<string, Map<string, number>>();
        const factors = new Map(Object.entries(paces ?? {}));
        if (factors.size > 0) {
            for (const { id, service } of this.endpoints.all) {
                const factor = factors.get(id);
                if (factor !== undefined) {
                    const known = byService.get(service) ?? new Map<string, number>();
                    byService.set(service, known.set(id, factor));
                }
            }
        }
        for (const service of new Set([...this.models.keys(), ...byService.keys()])) {
            this.modelOf(service)?.pace?.applyFleetFactors(byService.get(service) ?? new Map());
        }
    }

    removeEndpoint(id: string): void {
        for (const { pace } of this.models.values()) {
            pace?.removeEndpoint(id);
        }
    }
}
