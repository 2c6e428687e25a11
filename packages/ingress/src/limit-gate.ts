import type { DispatchDecision, DispatchRequest } from "@lentilramp/dispatch";
import { type Endpoint, permittedRate } from "@lentilramp/fleet";
import { ReturnSpacing } from "@lentilramp/retries";
import type { Clock, RandomSource } from "@lentilramp/runtime";
import type { FleetView } from "./fleet-view.ts";

/** Longest time that a request waits for a permit to send to an endpoint with a limit, in milliseconds. */
const maxPermitWaitMs = 400;

/** Decides on requests that cannot be sent because of the limits of endpoints. */
export class LimitGate {
    private readonly returnSpacings = new Map<string, ReturnSpacing>();

    constructor(
        private readonly view: FleetView,
        private readonly clock: Clock,
        private readonly random: RandomSource,
    ) {}

    /**
     * Decides on a request for which no candidate is left, or returns undefined if the limits of endpoints are not the
     * cause. `excluded` holds the endpoints that the request was already sent to; `mayUse` says which others it may use.
     */
    decide(
        req: DispatchRequest,
        excluded: ReadonlySet<string>,
        mayUse: (endpoint: Endpoint) => boolean,
    ): DispatchDecision<Endpoint> | undefined {
        const { limits } = this.view;
        const now = this.clock.now();
        const blocked = this.blockedEndpoints(req, excluded, mayUse);
        if (blocked.length === 0) {
            return undefined;
        }
        const waitUntil = permitWaitUntil(req);
        if (now < waitUntil && limits.shouldWait(blocked, req.arrivedAt, now)) {
            return { kind: "wait", waitUntil };
        }
        const perSecond = blocked.reduce((sum, { id }) => sum + permittedRate(limits.limitOf(id) ?? 0), 0);
        const spacing = this.returnSpacings.get(req.service) ?? new ReturnSpacing(this.random);
        this.returnSpacings.set(req.service, spacing);
        const retryAfterMs = spacing.nextDelayMs(now, this.view.memberCount * 1_000 / perSecond);
        return { kind: "refuse", reason: "endpoint-limit", retryAfterMs };
    }

    /** Returns what `decide` would decide on a request that was sent to no endpoint, without the retry delay; it asks for no sync. */
    preview(
        req: DispatchRequest,
        mayUse: (endpoint: Endpoint) => boolean,
    ): { kind: "wait"; waitUntil: number; } | { kind: "refuse"; } | undefined {
        const now = this.clock.now();
        const blocked = this.blockedEndpoints(req, new Set(), mayUse);
        if (blocked.length === 0) {
            return undefined;
        }
        const waitUntil = permitWaitUntil(req);
        return now < waitUntil && this.view.limits.mayBeGranted(blocked, req.arrivedAt, now)
            ? { kind: "wait", waitUntil }
            : { kind: "refuse" };
    }

    private blockedEndpoints(
        { service }: DispatchRequest,
        excluded: ReadonlySet<string>,
        mayUse: (endpoint: Endpoint) => boolean,
    ): Endpoint[] {
        const { limits, endpoints } = this.view;
        const now = this.clock.now();
        return endpoints.readyEndpoints(service).filter(endpoint =>
            mayUse(endpoint) && !excluded.has(endpoint.id) && !limits.maySend(endpoint.id, now)
        );
    }
}

function permitWaitUntil({ targetAt, arrivedAt }: DispatchRequest): number {
    return Math.min(targetAt, arrivedAt + maxPermitWaitMs);
}
