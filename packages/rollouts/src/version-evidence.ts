import { addTimes, countTimes, countTimesFrom, medianBucket, slowBucket } from "./response-times.ts";

/** Time for which responses are counted together, in milliseconds. */
export const evidenceSlotMs = 1_000;
/** Time for which responses are remembered, in milliseconds. */
const keptMs = 60_000;
/** Windows in which the versions are compared: short ones for a version that becomes bad, and all that is kept. */
const windowsMs = [3_000, 10_000, keptMs];
/** What it takes to say that a version is bad, or that it may be. */
const certainties = {
    /** Confidence of 95%, and the smallest number of bad responses on which a verdict rests. */
    verdict: { quantile: 1.96, minBad: 8 },
    /** About 70%; enough not to give the version more requests yet. */
    suspicion: { quantile: 1, minBad: 3 },
};
type Certainty = typeof certainties.verdict;
/** Smallest number of the target's responses that are compared. */
const minResponses = 8;
/** Difference of the failure shares from which a version is bad. */
const failureMargin = 0.05;
/** The same for slow responses, whose shares differ more between sound versions, for instance due to cold caches. */
const slowMargin = 0.2;
const slowFactor = 2;
/**
 * Responses of the other versions in the same second from which those of the seconds next to it are left out. At the
 * start of a fault these would make the other versions look better than the target, whose share may have just grown.
 */
const minSameSecond = 8;
/** Responses of the other versions within a second of those of the target that make a comparison at the same time. */
const minConcurrent = 4;
/** Times of the other versions from which their median is used. */
const minTimes = 8;
/** Responses of one version, or of several, on one route. */
class Tally {
    failed = 0;
    readonly times = new Map<number, number>();

    get responses(): number {
        return this.failed + countTimes(this.times);
    }

    add({ failed, times }: { failed: number; times: ReadonlyMap<number, number>; }): void {
        this.failed += failed;
        addTimes(this.times, times);
    }
}

interface Slot {
    index: number;
    /** Whether all new requests went to the target, so that no other version shows what load or faults do. */
    isAlone: boolean;
    routes: Map<string, { target: Tally; others: Tally; }>;
}

/** Why a version is bad. */
export interface BadVersion {
    route: string;
    /** Whether its responses fail or are slow. */
    by: "failures" | "times";
    responses: number;
    /** Number of responses that fail or are slow. */
    bad: number;
    /** Share of the other versions' responses that do. */
    othersShare: number;
    /** Whether the other versions gave these responses at the same time. */
    isConcurrent: boolean;
}

/** Responses of the target and of the other versions of a service, by the second and the route. */
export class VersionEvidence {
    private slots: Slot[] = [];

    /** Adds responses that were reported at `now`. */
    add(
        isTarget: boolean,
        route: string,
        counts: { failed: number; times: ReadonlyMap<number, number>; },
        now: number,
    ): void {
        const slot = this.slotAt(now);
        const tallies = slot.routes.get(route) ?? { target: new Tally(), others: new Tally() };
        slot.routes.set(route, tallies);
        (isTarget ? tallies.target : tallies.others).add(counts);
    }

    /** Records that all new requests go to the target at `now`, or have done so until shortly before. */
    markAlone(now: number): void {
        this.slotAt(now).isAlone = true;
    }

    private slotAt(now: number): Slot {
        const index = Math.floor(now / evidenceSlotMs);
        const last = this.slots.at(-1);
        if (last !== undefined && last.index >= index) {
            return last;
        }
        const slot: Slot = { index, isAlone: false, routes: new Map() };
        this.slots.push(slot);
        this.slots = this.slots.filter(other => other.index > index - keptMs / evidenceSlotMs);
        return slot;
    }

    /**
     * Returns why the target is bad, or undefined if nothing shows that it is; evidence of the same time goes first.
     * Responses that have nothing to be compared with at the same time count from the instant `aloneSince` on.
     */
    findBad(now: number, aloneSince: number): BadVersion | undefined {
        return this.find(now, -Infinity, true, certainties.verdict)
            ?? this.find(now, aloneSince, false, certainties.verdict);
    }

    /** Whether the target's responses from the instant `since` on may be bad, though that is not certain. */
    isSuspect(now: number, since: number): boolean {
        return this.find(now, since, true, certainties.suspicion) !== undefined;
    }

    private find(
        now: number,
        since: number,
        isConcurrent: boolean,
        certainty: Certainty,
    ): BadVersion | undefined {
        const routes = new Set(this.slots.flatMap(slot => [...slot.routes.keys()]));
        for (const windowMs of windowsMs) {
            const first = Math.floor(Math.max(since, now - windowMs) / evidenceSlotMs);
            for (const route of routes) {
                const bad = this.compare(route, first, isConcurrent, certainty);
                if (bad !== undefined) {
                    return bad;
                }
            }
        }
        return undefined;
    }

    private compare(
        route: string,
        firstIndex: number,
        isConcurrent: boolean,
        certainty: Certainty,
    ): BadVersion | undefined {
        const all = this.slots.flatMap(({ index, isAlone, routes }) => {
            const tallies = routes.get(route);
            return tallies === undefined ? [] : [{ index, isAlone, ...tallies }];
        });
        const rows = all.filter(({ index, target }) => index >= firstIndex && target.responses > 0)
            .map(slot => ({
                target: slot.target,
                isAlone: slot.isAlone,
                others: slot.others.responses >= minSameSecond
                    ? slot.others
                    : sum(all.filter(({ index }) => Math.abs(index - slot.index) <= 1).map(near => near.others)),
            }))
            .filter(row => isConcurrent === (!row.isAlone && row.others.responses >= minConcurrent));
        const target = sum(rows.map(row => row.target));
        const base = isConcurrent ? sum(rows.map(row => row.others)) : sum(all.map(slot => slot.others));
        if (target.responses < minResponses || base.responses === 0) {
            return undefined;
        }
        const comparison = { route, target, rows, base, isConcurrent };
        return findFailures(comparison, certainty) ?? findSlow(comparison, certainty);
    }
}

interface Comparison {
    route: string;
    target: Tally;
    /** The target's responses by the second, with those of the other versions at the same time. */
    rows: readonly { target: Tally; others: Tally; }[];
    /** All responses of the other versions that are compared. */
    base: Tally;
    isConcurrent: boolean;
}

/**
 * Compares the failure shares. That of the other versions is weighted by the target's responses in each second: the
 * target's part of the traffic changes, so that a fault of all versions may fall into a second with more of it.
 */
function findFailures(
    { route, target, rows, base, isConcurrent }: Comparison,
    { minBad, quantile }: Certainty,
): BadVersion | undefined {
    const { failed, responses } = target;
    if (failed < minBad) {
        return undefined;
    }
    const expected = rows.reduce((total, row) => {
        const near = isConcurrent ? row.others : base;
        return total + row.target.responses * near.failed / near.responses;
    }, 0);
    const othersShare = Math.min(1, expected / responses);
    const difference = lowestDifference(failed / responses, responses, othersShare, base.responses, quantile);
    return difference > failureMargin
        ? { route, by: "failures", responses, bad: failed, othersShare, isConcurrent }
        : undefined;
}

/**
 * Compares the shares of slow responses, which take over twice the median of the other versions at the same time. A
 * target whose median is over twice theirs has a share above one half.
 */
function findSlow(
    { route, target, rows, base, isConcurrent }: Comparison,
    { minBad, quantile }: Certainty,
): BadVersion | undefined {
    const baseMedian = medianBucket(base.times);
    const baseTimes = countTimes(base.times);
    const responses = countTimes(target.times);
    if (baseMedian === undefined || baseTimes < minTimes || responses < minResponses) {
        return undefined;
    }
    let slow = 0;
    let expected = 0;
    for (const row of rows) {
        const near = isConcurrent && countTimes(row.others.times) >= minTimes ? row.others.times : base.times;
        const limit = slowBucket(medianBucket(near) ?? baseMedian, slowFactor);
        slow += countTimesFrom(row.target.times, limit);
        expected += countTimes(row.target.times) * countTimesFrom(near, limit) / countTimes(near);
    }
    const othersShare = Math.min(1, expected / responses);
    const difference = lowestDifference(slow / responses, responses, othersShare, baseTimes, quantile);
    return slow >= minBad && difference > slowMargin
        ? { route, by: "times", responses, bad: slow, othersShare, isConcurrent }
        : undefined;
}

function sum(tallies: readonly Tally[]): Tally {
    const total = new Tally();
    tallies.forEach(tally => total.add(tally));
    return total;
}

/** Returns the Wilson interval of a share that was observed in `count` cases. */
function wilsonInterval(share: number, count: number, quantile: number): { low: number; high: number; } {
    const square = quantile ** 2;
    const centre = share + square / (2 * count);
    const spread = quantile * Math.sqrt(share * (1 - share) / count + square / (4 * count ** 2));
    return { low: (centre - spread) / (1 + square / count), high: (centre + spread) / (1 + square / count) };
}

/** Returns the lower bound of the difference of two shares by Newcombe's method. */
function lowestDifference(
    share: number,
    count: number,
    otherShare: number,
    otherCount: number,
    quantile: number,
): number {
    const { low } = wilsonInterval(share, count, quantile);
    const { high } = wilsonInterval(otherShare, otherCount, quantile);
    return share - otherShare - Math.hypot(share - low, high - otherShare);
}
