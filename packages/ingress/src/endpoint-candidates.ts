import { allowAll, type CandidatePool, maxWholeChoiceDefault } from "@lentilramp/dispatch";
import type { Endpoint } from "@lentilramp/fleet";
import type { Clock } from "@lentilramp/runtime";
import type { FleetView } from "./fleet-view.ts";
import { VersionParts, type VersionPredicate } from "./version-parts.ts";

/** Connections that an endpoint accepts when the catalog does not contain its service. */
const defaultConnectionLimit = 16;
/** Fraction of an endpoint's connection limit that all ingresses together use. */
const usedConnectionFraction = 0.9;

/** Why a ready endpoint is no candidate. */
export type CandidateObstacle = "connection-limit" | "endpoint-limit";

/** Endpoints of a service that a request may be sent to at one instant. */
export class ServiceCandidates implements CandidatePool<Endpoint> {
    constructor(
        readonly list: readonly Endpoint[],
        readonly isAllowed: (endpoint: Endpoint) => boolean,
        readonly isKept: boolean,
        private readonly parts: VersionParts,
    ) {}

    /** Returns other candidates, all of which may be sent to now. */
    among(list: readonly Endpoint[]): ServiceCandidates {
        return new ServiceCandidates(list, allowAll, false, this.parts);
    }

    /** Returns those whose versions may be used. */
    ofVersions(mayUse: VersionPredicate): ServiceCandidates {
        return new ServiceCandidates(this.parts.of(this.list, mayUse), this.isAllowed, this.isKept, this.parts);
    }
}

/** Decides which ready endpoints of a service may be sent a request now, by the limits of connections and of requests. */
export class EndpointCandidates {
    private readonly parts = new VersionParts();

    constructor(
        private readonly view: Pick<FleetView, "catalog" | "memberCount" | "endpoints" | "loads" | "limits">,
        private readonly clock: Clock,
    ) {}

    of(service: string): readonly Endpoint[] {
        return this.view.endpoints.readyEndpoints(service).filter(this.allowedNow(service));
    }

    /** Whether a service has so many endpoints that a choice considers a part of them. */
    areMany(service: string): boolean {
        return this.view.endpoints.readyEndpoints(service).length > maxWholeChoiceDefault;
    }

    /**
     * Returns the candidates of a service whose versions may be used, without looking at each of them: a list of the ready
     * endpoints that is kept until the view of the fleet changes, and their limits as of now. To be used at once.
     */
    pool(service: string, mayUse: VersionPredicate): ServiceCandidates {
        const ready = this.view.endpoints.readyEndpoints(service);
        return new ServiceCandidates(ready, this.allowedNow(service), true, this.parts).ofVersions(mayUse);
    }

    /** Returns the candidates of a list that has been filtered for one request. */
    filteredPool(list: readonly Endpoint[]): ServiceCandidates {
        return new ServiceCandidates(list, allowAll, false, this.parts);
    }

    /** Whether an endpoint whose version may be used is ready, whatever its limits are. */
    hasReady(service: string, mayUse: VersionPredicate): boolean {
        return this.parts.some(this.view.endpoints.readyEndpoints(service), mayUse);
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

    private allowedNow(service: string): (endpoint: Endpoint) => boolean {
        const limit = this.connectionShare(service);
        const now = this.clock.now();
        return ({ id }) => this.obstacleAt(id, limit, now) === undefined;
    }

    private obstacleAt(id: string, limit: number, now: number): CandidateObstacle | undefined {
        if (this.view.loads.localRunning(id) >= limit) {
            return "connection-limit";
        }
        return this.view.limits.maySend(id, now) ? undefined : "endpoint-limit";
    }
}
