import type { EndpointView } from "./endpoint-view.ts";
import type { Endpoint, Priority } from "./endpoint.ts";
import { tokensAhead } from "./load-report.ts";

/** Load of one endpoint as one entry estimates it. */
export interface LoadEstimate {
    /** Prompt tokens computed before those of a new request. */
    tokensAhead: number;
    requests: number;
    prefillTokensPerMs: number;
    /** From 0 for a report of this instant to 1 for one that says nothing any more. */
    staleness: number;
}

export interface LoadEstimateOptions {
    /** Time in which half of a report's deviation from the mean of all reports has lost its meaning. */
    queueHalfLifeMs: number;
    /** The same for the number of requests, which changes more slowly than the queue of prompts. */
    requestsHalfLifeMs: number;
    /** Assumed speed of an endpoint while no report is held. */
    defaultPrefillTokensPerMs: number;
}

interface Observation {
    ownTokens: number;
    ownRequests: number;
    /** Load of the other entries at the measurement; undefined without a report. */
    others: { tokens: number; requests: number; prefillTokensPerMs: number; age: number; } | undefined;
}

function observe(endpoint: Endpoint, priority: Priority, view: EndpointView, now: number): Observation {
    const own = {
        ownTokens: view.inFlight.promptTokens(endpoint.id, priority),
        ownRequests: view.inFlight.requestCount(endpoint.id),
    };
    const report = view.report(endpoint.id);
    if (report === undefined) {
        return { ...own, others: undefined };
    }
    const sentBefore = view.inFlight.promptTokens(endpoint.id, priority, report.measuredAt);
    return {
        ...own,
        others: {
            tokens: Math.max(0, tokensAhead(report, priority) - sentBefore),
            requests: Math.max(
                0,
                report.requests - view.inFlight.requestCountSentBefore(endpoint.id, report.measuredAt),
            ),
            prefillTokensPerMs: report.prefillTokensPerMs,
            age: Math.max(0, now - report.measuredAt),
        },
    };
}

function mean(values: readonly number[]): number {
    return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Estimates the load of each endpoint: this entry's own work, which is known exactly, plus the work of the
 * others from the report. The reported deviation from the mean is discounted by the report's age, because all
 * entries see the same report and would send all their work to the endpoint that was idle at its measurement.
 */
export function estimateLoads(
    endpoints: readonly Endpoint[],
    priority: Priority,
    view: EndpointView,
    now: number,
    options: LoadEstimateOptions,
): Map<string, LoadEstimate> {
    const observations = endpoints.map(endpoint => observe(endpoint, priority, view, now));
    const known = observations.flatMap(observation => observation.others ?? []);
    const meanTokens = mean(known.map(others => others.tokens));
    const meanRequests = mean(known.map(others => others.requests));
    const meanSpeed = mean(known.map(others => others.prefillTokensPerMs)) || options.defaultPrefillTokensPerMs;
    return new Map(observations.map(({ ownTokens, ownRequests, others }, i) => {
        const age = others?.age ?? Infinity;
        const queueWeight = 2 ** (-age / options.queueHalfLifeMs);
        const requestsWeight = 2 ** (-age / options.requestsHalfLifeMs);
        return [(endpoints[i] as Endpoint).id, {
            tokensAhead: ownTokens + meanTokens + queueWeight * ((others?.tokens ?? 0) - meanTokens),
            requests: ownRequests + meanRequests + requestsWeight * ((others?.requests ?? 0) - meanRequests),
            prefillTokensPerMs: meanSpeed + requestsWeight * ((others?.prefillTokensPerMs ?? 0) - meanSpeed),
            staleness: 1 - queueWeight,
        }];
    }));
}
