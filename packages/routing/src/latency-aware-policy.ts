import type { RandomSource } from "@lentilramp/runtime";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { EndpointView } from "./endpoint-view.ts";
import type { RouteRequest } from "./endpoint.ts";
import type { LoadEstimateOptions } from "./load-estimate.ts";
import { estimateLoads } from "./load-estimate.ts";
import type { RouteChoice, RouteError } from "./routing-policy.ts";
import { RoutingPolicy } from "./routing-policy.ts";

export interface LatencyAwareOptions extends LoadEstimateOptions {
    /** Number of random candidates; two avoid slow endpoints without sending all requests to the fastest. */
    sampleSize: number;
    /** Latency assumed for an endpoint without samples. */
    defaultLatencyMs: number;
    /** Milliseconds of latency that one unit of link cost is worth. */
    linkCostMs: number;
    /** Maximum random share added to each score, so that a slightly slower endpoint still receives requests. */
    scoreJitterShare: number;
}

export const latencyAwareDefaults: LatencyAwareOptions = {
    sampleSize: 2,
    defaultLatencyMs: 50,
    linkCostMs: 2,
    scoreJitterShare: 0.2,
    queueHalfLifeMs: 500,
    requestsHalfLifeMs: 500,
    defaultPrefillTokensPerMs: 1,
};

/** Chooses, for services that are not engines, the candidate with the lowest product of latency and request count. */
export class LatencyAwarePolicy extends RoutingPolicy<RouteRequest> {
    constructor(private readonly random: RandomSource, private readonly options = latencyAwareDefaults) {
        super();
    }

    override choose(req: RouteRequest, view: EndpointView, now: number): Result<RouteChoice, RouteError> {
        const eligible = view.usableEndpoints(view.endpoints.filter(endpoint => !req.excluded?.has(endpoint.id)), now);
        if (eligible.length === 0) {
            return Err({ kind: "no-endpoint" });
        }
        const loads = estimateLoads(eligible, req.priority, view, now, this.options);
        const choices = this.random.sample(eligible, this.options.sampleSize).map(endpoint => {
            const link = view.link(endpoint.failureDomain);
            const predictedMs = 2 * link.delayMs + (view.latencyMs(endpoint.id, now) ?? this.options.defaultLatencyMs);
            const requests = loads.get(endpoint.id)?.requests ?? 0;
            return {
                endpoint,
                predictedMs,
                cachedTokens: 0,
                score: (predictedMs + link.cost * this.options.linkCostMs) * (1 + requests)
                    * (1 + this.options.scoreJitterShare * this.random.next()),
            };
        });
        const best = choices.reduce((least, choice) => choice.score < least.score ? choice : least);
        return now < req.deadline ? Ok(best) : Err({ kind: "deadline-unreachable", lateMs: now - req.deadline });
    }
}
