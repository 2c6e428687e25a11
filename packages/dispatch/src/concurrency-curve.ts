import { DecayingRatio } from "./decaying-ratio.ts";

/**
 * Half-life of the times by number of running requests, in milliseconds. The shape of the curve changes more slowly than
 * the factor of the endpoint, and one ingress sees only a few answers a second for each number.
 */
const curveHalfLifeMs = 10_000;
/** Numbers of running requests that are told apart; more slots share the levels. */
const maxLevels = 16;
/**
 * Weight of the next lower level in the time of a level, in samples, and of the mean in that of the lowest level. Without
 * it, a single fast answer at the lowest level would make all others seem slow.
 */
const neighbourWeight = 4;
/** Weight of the samples from which a level tells of the throughput. */
const minKneeWeight = 3;
/**
 * Time for which a knee is remembered that times up to it have raised, in milliseconds. The estimate of an endpoint follows
 * a change of its speed in this time, and shows whether it was slowness that raised the knee.
 */
const lostKneeMs = 2_000;
/** Growth of the throughput below which it no longer rises. */
const minGrowth = 1.05;

/**
 * Service time of one endpoint by the number of its running requests, relative to that at the lowest number seen, and
 * the number from which more requests at a time no longer raise the throughput.
 */
export class ConcurrencyCurve {
    private readonly levels: (DecayingRatio | undefined)[] = [];
    private factors: number[] = [];
    private kneeLevel: number | undefined;
    /** The knee before times up to it raised it. */
    private lostKnee: { level: number; until: number; } | undefined;
    private updatedAt = -Infinity;

    constructor(private readonly slots: number) {}

    /**
     * Records the time of an answer that ran beside others; `running` includes it. `slowness` is the factor by which the
     * endpoint is slower at present than its siblings for whatever reason. Up to the knee, the reason is not the requests
     * beside this one: such times are recorded without it, and do not raise the knee, which they would hide behind the
     * times above it that were measured before.
     */
    observe(running: number, measuredMs: number, usualMs: number, now: number, slowness = 1): void {
        const level = this.levelOf(running);
        const isSlowWithinKnee = slowness > 1 && !this.isStale(now) && level <= this.rememberedKnee(now);
        const expectedMs = usualMs * (isSlowWithinKnee ? slowness : 1);
        (this.levels[level] ??= new DecayingRatio(curveHalfLifeMs)).add(measuredMs, expectedMs, now);
        this.updatedAt = now;
        this.update(now);
        this.moveKnee(level, isSlowWithinKnee, now);
    }

    /** Returns by how much longer an answer takes beside `running` - 1 others than at the lowest number seen. */
    factor(running: number, now: number): number {
        return this.isStale(now) ? 1 : this.factors[this.levelOf(running)] ?? this.factors.at(-1) ?? 1;
    }

    /** Returns the number of running requests from which the throughput no longer rises; undefined if it is not known. */
    knee(now: number): number | undefined {
        return this.isStale(now) || this.kneeLevel === undefined ? undefined : this.requestsAt(this.kneeLevel);
    }

    private isStale(now: number): boolean {
        return now - this.updatedAt > curveHalfLifeMs;
    }

    private get levelSize(): number {
        return Math.max(1, Math.ceil((this.slots + 1) / maxLevels));
    }

    private levelOf(running: number): number {
        return Math.min(maxLevels - 1, Math.max(0, Math.ceil(running / this.levelSize) - 1));
    }

    private requestsAt(level: number): number {
        return (level + 1) * this.levelSize;
    }

    private update(now: number): void {
        let sum = 0;
        let total = 0;
        for (const level of this.levels) {
            const weight = level?.weightAt(now) ?? 0;
            sum += (level?.ratio ?? 1) * weight;
            total += weight;
        }
        let time = 0;
        this.factors = Array.from(this.levels, level => {
            const weight = level?.weightAt(now) ?? 0;
            const lower = time === 0 ? sum / total : time;
            const estimate = ((level?.ratio ?? 1) * weight + lower * neighbourWeight) / (weight + neighbourWeight);
            // More requests at a time do not make an answer faster; a lower figure is noise.
            time = Math.max(time, estimate);
            return time;
        });
        const usual = this.factors[0] ?? 1;
        this.factors = this.factors.map(factor => factor / usual);
    }

    /** Returns the level of the knee, or of the one that was lost lately; -1 without one. */
    private rememberedKnee(now: number): number {
        return this.lostKnee !== undefined && now < this.lostKnee.until ? this.lostKnee.level : this.kneeLevel ?? -1;
    }

    /** Applies the knee that the times show after one of `level`. Times of a slow endpoint up to the knee do not raise it. */
    private moveKnee(level: number, isSlowWithinKnee: boolean, now: number): void {
        const knee = this.findKnee(now);
        const remembered = this.rememberedKnee(now);
        const raises = level <= remembered && (knee ?? Infinity) > remembered && this.isKnownAbove(remembered, now);
        if (raises && isSlowWithinKnee) {
            this.kneeLevel = remembered;
            this.lostKnee = undefined;
        }
        else if (raises) {
            this.lostKnee = remembered === this.kneeLevel
                ? { level: remembered, until: now + lostKneeMs }
                : this.lostKnee;
            this.kneeLevel = knee;
        }
        else {
            this.kneeLevel = knee;
            this.lostKnee = undefined;
        }
    }

    /** Whether there is evidence on more requests at a time than those of `knee`; without it, they are tried again. */
    private isKnownAbove(knee: number, now: number): boolean {
        return this.levels.some((own, level) =>
            level > knee && own !== undefined && own.weightAt(now) >= minKneeWeight
        );
    }

    private findKnee(now: number): number | undefined {
        const known = this.levels.flatMap((own, level) =>
            own !== undefined && own.weightAt(now) >= minKneeWeight
                ? [{ level, throughput: this.requestsAt(level) / own.ratio }]
                : []
        );
        const knee = known.findIndex(({ throughput }, i) =>
            i < known.length - 1 && known.slice(i + 1).every(higher => higher.throughput < throughput * minGrowth)
        );
        return known[knee]?.level;
    }
}
