import { type DecayingRatio, halfLifeDecay } from "./decaying-ratio.ts";

/** What is usual for a service: logarithms of the factor and of the reported pace over its endpoints. */
export interface UsualPace {
    log: number;
    reportedLog: number;
    computedAt: number;
}

/** Samples without a deviation that the usual factor of a service starts from. */
const priorWeight = 2;
/** Samples that the factor counts for that the fleet sees at an endpoint. */
const fleetWeight = 0.5;
/** Weight from which an endpoint counts. */
const minWeight = 0.03;
/** Largest deviation from the median with which an endpoint counts in the mean, as a factor. */
const maxDeviationLog = Math.log(1.5);
/** Age up to which reported paces count, in milliseconds. */
const reportLifetimeMs = 1_000;

interface Item {
    log: number;
    weight: number;
}

/**
 * Returns what is usual over the endpoints of a service: the mean of their factors, in which each counts by its evidence
 * and departs from the median by 1.5 times at most. The median alone would be too low on average, since few answers are
 * much later than the others; the mean alone would follow one slow endpoint.
 */
export function summarizePaces(
    endpoints: Iterable<{
        times: DecayingRatio;
        reported: { log: number; at: number; } | undefined;
        fleet: { log: number; at: number; } | undefined;
    }>,
    now: number,
): UsualPace {
    const factors: Item[] = [];
    const reports: Item[] = [];
    for (const { times, reported, fleet } of endpoints) {
        const ownWeight = times.weightAt(now);
        const heardWeight = fleet === undefined ? 0 : fleetWeight * halfLifeDecay(now - fleet.at);
        const weight = ownWeight + heardWeight;
        if (weight > minWeight) {
            const ownPart = ownWeight > 0 ? ownWeight * Math.log(times.ratio) : 0;
            factors.push({ log: (ownPart + heardWeight * (fleet?.log ?? 0)) / weight, weight });
        }
        if (reported !== undefined && now - reported.at < reportLifetimeMs) {
            reports.push({ log: reported.log, weight: 1 });
        }
    }
    const median = weightedMedian(factors);
    let sum = 0;
    let total = 0;
    for (const { log, weight } of factors) {
        const bounded = Math.min(median + maxDeviationLog, Math.max(median - maxDeviationLog, log));
        sum += Math.exp(bounded) * weight;
        total += weight;
    }
    return {
        log: total === 0 ? 0 : Math.log(sum / total) * total / (total + priorWeight),
        reportedLog: weightedMedian(reports),
        computedAt: now,
    };
}

/** Returns the weighted median, or 0 without items. */
function weightedMedian(items: Item[]): number {
    items.sort((a, b) => a.log - b.log);
    const half = items.reduce((sum, { weight }) => sum + weight, 0) / 2;
    let sum = 0;
    return items.find(({ weight }) => (sum += weight) >= half)?.log ?? 0;
}
