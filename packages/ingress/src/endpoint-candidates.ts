import type { Endpoint } from "@lentilramp/fleet";
import type { Clock } from "@lentilramp/runtime";
import type { FleetView } from "./fleet-view.ts";

/** Connections that an endpoint accepts when the catalog does not contain its service. */
const defaultConnectionLimit = 16;
/** Fraction of an endpoint's connection limit that all ingresses together use. */
const usedConnectionFraction = 0.9;

/** Why a ready endpoint is no candidate. */
export type CandidateObstacle = "connection-limit" | "endpoint-limit";

/** Decides which ready endpoints of a service may be sent a request now, by the limits of connections and of requests. */
export class EndpointCandidates {
    constructor(private readonly view: FleetView, private readonly clock: Clock) {}

    of(service: string): readonly Endpoint[] {
        const limit = this.connectionShare(service);
        const now = this.clock.now();
        return this.view.endpoints.readyEndpoints(service).filter(({ id }) =>
            this.obstacleAt(id, limit, now) === undefined
        );
    }

    /** Returns why a ready endpoint is no candidate; undefined if it is one. */
    obstacle({ id, service }: Endpoint): CandidateObstacle | undefined {
        return this.obstacleAt(id, this.connectionShare(service), this.clock.now());
    }

    /** Returns this ingress's share of the connections that one endpoint accepts. */
    connectionShare(service: string): number {
        const limit = this.view.catalog?.services.get(service)?.connectionLimit ?? defaultConnectionLimit;
        return Math.max(2, Math.floor(limit * usedConnectionFraction / this.view.memberCount));
    }

    private obstacleAt(id: string, limit: number, now: number): CandidateObstacle | undefined {
        if (this.view.loads.localRunning(id) >= limit) {
            return "connection-limit";
        }
        return this.view.limits.maySend(id, now) ? undefined : "endpoint-limit";
    }
}
