import type { RandomSource } from "@lentilramp/runtime";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { EndpointView } from "./endpoint-view.ts";
import type { Endpoint, EngineRequest } from "./endpoint.ts";
import { serves } from "./endpoint.ts";
import type { LoadEstimate, LoadEstimateOptions } from "./load-estimate.ts";
import { estimateLoads } from "./load-estimate.ts";
import type { RouteChoice, RouteError } from "./routing-policy.ts";
import { RoutingPolicy } from "./routing-policy.ts";

export interface PredictedFirstTokenOptions extends LoadEstimateOptions {
    /** Tokens covered by one block hash. */
    blockTokens: number;
    /** Number of random candidates considered in addition to the endpoint with the longest cached prefix. */
    sampleSize: number;
    /** Maximum excess over the mean queueing time with which the endpoint with the longest prefix is a candidate. */
    maxAffinityExcessWaitMs: number;
    /** Milliseconds that each request at the endpoint adds to an engine step. */
    perRequestMs: number;
    /**
     * Milliseconds added to the score for each request that this entry has in flight at the endpoint, in proportion to
     * the staleness of the load report. With a stale report these requests are the best indicator of the total load,
     * because the entries receive similar traffic.
     */
    staleReportRequestMs: number;
    /** Weight of the time to compute uncached prompt tokens; above 1 because they also delay later requests. */
    recomputeWeight: number;
    /**
     * Maximum random milliseconds added to each score, about the error of the prediction. Without jitter, all entries
     * would choose the same endpoint from the small differences that a stale report still shows.
     */
    scoreJitterMs: number;
    /** Milliseconds of time to first token that one unit of link cost is worth. */
    linkCostMs: number;
}

export const predictedFirstTokenDefaults: PredictedFirstTokenOptions = {
    blockTokens: 64,
    sampleSize: 4,
    maxAffinityExcessWaitMs: 1_000,
    perRequestMs: 1,
    staleReportRequestMs: 25,
    recomputeWeight: 1.5,
    scoreJitterMs: 10,
    linkCostMs: 2,
    queueHalfLifeMs: 500,
    requestsHalfLifeMs: 3_000,
    defaultPrefillTokensPerMs: 10,
};

interface Candidate extends RouteChoice {
    score: number;
}

/**
 * Chooses the candidate with the shortest predicted time to first token, adjusted by link cost and jitter. The
 * candidates are a few random endpoints, so that entries with the same load reports choose differently, and the
 * endpoint with the longest cached prefix, unless its queueing time is far above the mean.
 */
export class PredictedFirstTokenPolicy extends RoutingPolicy<EngineRequest> {
    constructor(
        private readonly random: RandomSource,
        private readonly options: PredictedFirstTokenOptions = predictedFirstTokenDefaults,
    ) {
        super();
    }

    override choose(req: EngineRequest, view: EndpointView, now: number): Result<RouteChoice, RouteError> {
        const serving = view.endpoints.filter(endpoint => serves(endpoint, req) && !req.excluded?.has(endpoint.id));
        const eligible = view.usableEndpoints(serving, now);
        if (eligible.length === 0) {
            return Err({ kind: "no-endpoint" });
        }
        const loads = estimateLoads(eligible, req.priority, view, now, this.options);
        const score = (endpoint: Endpoint) =>
            this.score(endpoint, req, loads.get(endpoint.id) as LoadEstimate, view, now);
        const best = lowestScore(this.candidates(eligible, req, loads, view, now).map(score));
        if (now + best.predictedMs <= req.deadline) {
            return Ok(best);
        }
        // The random sample may not contain the only endpoint that can meet the deadline.
        const fastest = lowestScore(eligible.map(score).map(choice => ({ ...choice, score: choice.predictedMs })));
        const lateMs = now + fastest.predictedMs - req.deadline;
        return lateMs <= 0 ? Ok(fastest) : Err({ kind: "deadline-unreachable", lateMs });
    }

    private candidates(
        eligible: readonly Endpoint[],
        req: EngineRequest,
        loads: ReadonlyMap<string, LoadEstimate>,
        view: EndpointView,
        now: number,
    ): Endpoint[] {
        const sample = this.random.sample(eligible, this.options.sampleSize);
        const waitsMs = new Map(
            [...loads].map(([id, load]) => [id, load.tokensAhead / load.prefillTokensPerMs]),
        );
        const meanWaitMs = [...waitsMs.values()].reduce((sum, waitMs) => sum + waitMs, 0) / waitsMs.size;
        let longestMatch = 0;
        let affinityEndpoint: Endpoint | undefined;
        for (const endpoint of eligible) {
            const matchedBlocks = view.matchedBlocks(endpoint.id, req.prefix, now);
            const waitMs = waitsMs.get(endpoint.id) ?? 0;
            if (matchedBlocks > longestMatch && waitMs <= meanWaitMs + this.options.maxAffinityExcessWaitMs) {
                longestMatch = matchedBlocks;
                affinityEndpoint = endpoint;
            }
        }
        return affinityEndpoint === undefined || sample.includes(affinityEndpoint)
            ? sample
            : [...sample, affinityEndpoint];
    }

    private score(
        endpoint: Endpoint,
        req: EngineRequest,
        load: LoadEstimate,
        view: EndpointView,
        now: number,
    ): Candidate {
        const matchedTokens = view.matchedBlocks(endpoint.id, req.prefix, now) * this.options.blockTokens;
        const cachedTokens = Math.min(matchedTokens, req.promptTokens);
        const link = view.link(endpoint.failureDomain);
        const recomputeMs = (req.promptTokens - cachedTokens) / load.prefillTokensPerMs;
        const predictedMs = 2 * link.delayMs + load.tokensAhead / load.prefillTokensPerMs + recomputeMs
            + load.requests * this.options.perRequestMs;
        const score = predictedMs + (this.options.recomputeWeight - 1) * recomputeMs
            + link.cost * this.options.linkCostMs + this.random.next() * this.options.scoreJitterMs
            + load.staleness * view.inFlight.requestCount(endpoint.id) * this.options.staleReportRequestMs;
        return { endpoint, predictedMs, cachedTokens, score };
    }
}

function lowestScore(candidates: readonly Candidate[]): Candidate {
    return candidates.reduce((best, candidate) => candidate.score < best.score ? candidate : best);
}
