import type { EndpointView } from "./endpoint-view.ts";
import type { Endpoint, Priority } from "./endpoint.ts";
import { tokensAhead } from "./load-report.ts";

/** Load of one endpoint as estimated by one entry. */
export interface LoadEstimate {
    /** Prompt tokens that are computed before those of a new request. */
    tokensAhead: number;
    requests: number;
    prefillTokensPerMs: number;
    /** From 0 for a load report measured just now to 1 for a report that is too old to be used, or no report. */
    staleness: number;
}

export interface LoadEstimateOptions {
    /** Time after which the weight of a report's deviation from the mean of all reports has halved. */
    queueHalfLifeMs: number;
    /** Half-life for the request count and the prefill speed, which change more slowly than the prompt queue. */
    requestsHalfLifeMs: number;
    /** Prefill speed assumed while there is no load report. */
    defaultPrefillTokensPerMs: number;
}

interface Observation {
    inFlightTokens: number;
    inFlightRequests: number;
    /** Load from other entries at the instant of the report's measurement; undefined without a report. */
    otherEntries: { tokens: number; requests: number; prefillTokensPerMs: number; ageMs: number; } | undefined;
}

function observe(endpoint: Endpoint, priority: Priority, view: EndpointView, now: number): Observation {
    const entryLoad = {
        inFlightTokens: view.inFlight.promptTokens(endpoint.id, priority),
        inFlightRequests: view.inFlight.requestCount(endpoint.id),
    };
    const report = view.report(endpoint.id);
    if (report === undefined) {
        return { ...entryLoad, otherEntries: undefined };
    }
    const includedTokens = view.inFlight.promptTokens(endpoint.id, priority, report.measuredAt);
    return {
        ...entryLoad,
        otherEntries: {
            tokens: Math.max(0, tokensAhead(report, priority) - includedTokens),
            requests: Math.max(
                0,
                report.requests - view.inFlight.requestCountSentBefore(endpoint.id, report.measuredAt),
            ),
            prefillTokensPerMs: report.prefillTokensPerMs,
            ageMs: Math.max(0, now - report.measuredAt),
        },
    };
}

function mean(values: readonly number[]): number {
    return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Estimates the load of each endpoint as the exact load from this entry's in-flight requests plus the reported load
 * from other entries. The older a report, the less its deviation from the mean of all reports counts: all entries
 * receive the same report and would otherwise send all their requests to the endpoint that was idle when the report was
 * measured.
 */
export function estimateLoads(
    endpoints: readonly Endpoint[],
    priority: Priority,
    view: EndpointView,
    now: number,
    options: LoadEstimateOptions,
): Map<string, LoadEstimate> {
    const observations = endpoints.map(endpoint => observe(endpoint, priority, view, now));
    const reportedLoads = observations.flatMap(observation => observation.otherEntries ?? []);
    const meanTokens = mean(reportedLoads.map(load => load.tokens));
    const meanRequests = mean(reportedLoads.map(load => load.requests));
    const meanPrefillTokensPerMs = mean(reportedLoads.map(load => load.prefillTokensPerMs))
        || options.defaultPrefillTokensPerMs;
    return new Map(observations.map(({ inFlightTokens, inFlightRequests, otherEntries }, i) => {
        const ageMs = otherEntries?.ageMs ?? Infinity;
        const queueWeight = 2 ** (-ageMs / options.queueHalfLifeMs);
        const requestsWeight = 2 ** (-ageMs / options.requestsHalfLifeMs);
        return [(endpoints[i] as Endpoint).id, {
            tokensAhead: inFlightTokens + meanTokens + queueWeight * ((otherEntries?.tokens ?? 0) - meanTokens),
            requests: inFlightRequests + meanRequests + requestsWeight * ((otherEntries?.requests ?? 0) - meanRequests),
            prefillTokensPerMs: meanPrefillTokensPerMs
                + requestsWeight * ((otherEntries?.prefillTokensPerMs ?? 0) - meanPrefillTokensPerMs),
            staleness: 1 - queueWeight,
        }];
    }));
}
