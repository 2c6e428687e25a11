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
    /** Random candidates considered beside the endpoint with the longest known prefix. */
    sampleSize: number;
    /** The endpoint with the longest prefix is no candidate when its wait exceeds the mean by more than this. */
    maxAffinityExcessWaitMs: number;
    /** Milliseconds that each request at the endpoint adds to a step of the engine. */
    perRequestMs: number;
    /**
     * Milliseconds added for each of the entry's own requests at the endpoint, in proportion to the staleness of
     * the report. Own requests are then the best sign of the load, because entries have similar callers.
     */
    staleReportRequestMs: number;
    /** Weight of the prompt tokens to recompute, which also delay the requests that come after. */
    recomputeWeight: number;
    /**
     * Random milliseconds added to each score. The prediction is no more exact than this; without it all entries
     * would follow what little a stale report still says.
     */
    scoreJitterMs: number;
    /** Milliseconds of first-token time that one unit of link cost is worth. */
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
 * Sends a request to the candidate with the shortest predicted time to the first token. Candidates are a few
 * random endpoints, so that entries with equal knowledge choose differently, and the endpoint with the longest
 * known prefix, unless that one is far busier than the mean.
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
        const best = lowest(this.candidates(eligible, req, loads, view, now).map(score));
        if (now + best.predictedMs <= req.deadline) {
            return Ok(best);
        }
        // The sample may have missed the only endpoint that is fast enough.
        const fastest = lowest(eligible.map(score).map(choice => ({ ...choice, score: choice.predictedMs })));
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
        const waits = new Map(
            [...loads].map(([id, load]) => [id, load.tokensAhead / load.prefillTokensPerMs]),
        );
        const meanWait = [...waits.values()].reduce((sum, wait) => sum + wait, 0) / waits.size;
        let longest = 0;
        let affine: Endpoint | undefined;
        for (const endpoint of eligible) {
            const matched = view.matchedBlocks(endpoint.id, req.prefix, now);
            const wait = waits.get(endpoint.id) ?? 0;
            if (matched > longest && wait <= meanWait + this.options.maxAffinityExcessWaitMs) {
                longest = matched;
                affine = endpoint;
            }
        }
        return affine === undefined || sample.includes(affine) ? sample : [...sample, affine];
    }

    private score(
        endpoint: Endpoint,
        req: EngineRequest,
        load: LoadEstimate,
        view: EndpointView,
        now: number,
    ): Candidate {
        const matched = view.matchedBlocks(endpoint.id, req.prefix, now) * this.options.blockTokens;
        const cachedTokens = Math.min(matched, req.promptTokens);
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

function lowest(candidates: readonly Candidate[]): Candidate {
    return candidates.reduce((best, candidate) => candidate.score < best.score ? candidate : best);
}
