import type { Clock } from "@lentilramp/runtime";
import { ConcurrencyCurve } from "./concurrency-curve.ts";
import { DecayingRatio, halfLifeDecay } from "./decaying-ratio.ts";
import { type PaceChange, SlownessWatch } from "./slowness-watch.ts";
import { summarizePaces, type UsualPace } from "./usual-pace.ts";

/**
 * Samples that the usual factor of the service counts for in the estimate of an endpoint. The times of single answers
 * vary more than endpoints differ; without this weight, the endpoint of the luckiest samples would be chosen.
 */
const usualWeight = 2;
/** Samples that a fresh reported pace counts for. */
const reportedWeight = 3;
/** Time constant with which the factor returns to the usual one without fresh evidence, in milliseconds. */
const returnMs = 2_000;
/** Time constant of the smoothing of the reported pace, and half-life of its influence, in milliseconds. */
const reportSmoothingMs = 500;
const reportHalfLifeMs = 500;
/** Largest influence of a reported pace, as the logarithm of a factor. */
const maxReportedLog = Math.log(2);
/** Own samples, and deviation from them, from which a reported pace is contradicted and ignored. */
const contradictingSamples = 2;
const contradictionLog = Math.log(1.5);
/**
 * Own samples without which an endpoint is not called slow. With three, a model of three endpoints that are alike had one
 * that was called slow by chance.
 */
const slownessSamples = 8;
/** Bounds of the factor. */
const maxFactor = 8;
const maxFactorLog = Math.log(maxFactor);
/** Time for which a rejection for lack of capacity limits the running requests of an endpoint, in milliseconds. */
const rejectionMs = 1_000;
/** Endpoints of a service that are remembered; the one known for longest is forgotten first. */
const maxEndpoints = 8_192;
/** Entries of a report to the leader; about 700 bytes. */
const maxReports = 24;
/** Deviation from 1 from which a factor is reported. */
const reportedDeviationLog = Math.log(1.1);
/** Largest number of samples that a report counts for. */
const maxReportedSamples = 99;
/** Least age at which the summary of all endpoints is computed again, and that per endpoint, in milliseconds. */
const summaryMs = 50;
const summaryMsPerEndpoint = 0.05;

/** Evidence on one endpoint for the leader: factor, and the number of samples that it rests on. */
export type PaceReport = [factor: number, samples: number];

/** Evidence on one endpoint. */
interface EndpointState {
    /** Whether the endpoint has stated its pace; undefined before its first answer. */
    statesPace: boolean | undefined;
    readonly times: DecayingRatio;
    /** Measured and expected times since the last report. */
    fresh: { measuredMs: number; expectedMs: number; samples: number; } | undefined;
    /** Smoothed logarithm of the pace that the endpoint reports. */
    reported: { log: number; at: number; } | undefined;
    /** Logarithm of the factor that the fleet sees. */
    fleet: { log: number; at: number; } | undefined;
    curve: ConcurrencyCurve | undefined;
    /** Running requests at the last rejection for lack of capacity. */
    rejection: { running: number; until: number; } | undefined;
    /** The last computed factor; undefined once there is newer evidence. */
    cached: { usual: UsualPace; factor: number; } | undefined;
}

/**
 * Estimates by how much longer or shorter work takes at each endpoint of one service than its model predicts, and how
 * many requests at a time an endpoint takes. Only endpoints that state their pace are estimated.
 */
export class EndpointPace {
    private readonly states = new Map<string, EndpointState>();
    private readonly fresh = new Set<string>();
    private readonly fleetIds = new Set<string>();
    private readonly slowness = new SlownessWatch();
    private pacedEndpoints = 0;
    private usual: UsualPace = { log: 0, reportedLog: 0, computedAt: -Infinity };

    constructor(private readonly clock: Pick<Clock, "now">) {}

    get now(): number {
        return this.clock.now();
    }

    /**
     * Returns a copy for reading that answers as this estimate does now. Reading an estimate computes summaries and records
     * which endpoints are slow; reading the copy does neither here. The copy shares the evidence, so nothing may be recorded
     * in it.
     */
    snapshot(): EndpointPace {
        const copy = new EndpointPace(this.clock);
        for (const [id, state] of this.states) {
            copy.states.set(id, { ...state });
        }
        copy.pacedEndpoints = this.pacedEndpoints;
        copy.usual = this.usual;
        return copy;
    }

    /** Returns the instant of the newest evidence on an endpoint; undefined without any. */
    evidenceAt(id: string): number | undefined {
        const state = this.states.get(id);
        const at = Math.max(
            state?.times.lastAt ?? -Infinity,
            state?.reported?.at ?? -Infinity,
            state?.fleet?.at ?? -Infinity,
        );
        return at === -Infinity ? undefined : at;
    }

    /** Whether an endpoint has stated its pace in an answer to this process. */
    statesPace(id: string): boolean {
        return this.states.get(id)?.statesPace === true;
    }

    /** Number of endpoints that are much slower than usual for the service. */
    get slowEndpoints(): number {
        this.currentUsual();
        return this.slowness.count;
    }

    /**
     * Returns by how much longer work takes at an endpoint than the model predicts; undefined if the endpoint is not
     * estimated because it states no pace.
     */
    factor(id: string): number | undefined {
        const state = this.states.get(id);
        const isEstimated = state?.statesPace !== false && (this.pacedEndpoints > 0 || state?.fleet !== undefined);
        if (!isEstimated) {
            return undefined;
        }
        const usual = this.currentUsual();
        if (state === undefined) {
            return Math.exp(usual.log);
        }
        // Computed once for each piece of evidence and each summary, since each decision asks for all endpoints.
        if (state.cached?.usual !== usual) {
            state.cached = { usual, factor: Math.exp(this.factorLog(state, usual)) };
        }
        return state.cached.factor;
    }

    /** Returns by how much longer work takes at an estimated endpoint than is usual for the service. */
    relativeFactor(id: string): number {
        return (this.factor(id) ?? 1) / Math.exp(this.currentUsual().log);
    }

    /** Returns by how much longer an answer takes beside `running` - 1 others than at low load. */
    concurrencyFactor(id: string, running: number): number {
        return this.states.get(id)?.curve?.factor(running, this.clock.now()) ?? 1;
    }

    /** Returns the number of running requests at which an endpoint counts as full, if that is below its slots. */
    fullAt(id: string): number | undefined {
        const state = this.states.get(id);
        if (state?.statesPace !== true || state.rejection === undefined && state.curve === undefined) {
            return undefined;
        }
        const now = this.clock.now();
        const rejectedAt = state.rejection !== undefined && now < state.rejection.until
            ? Math.max(1, state.rejection.running)
            : Infinity;
        const full = Math.min(rejectedAt, state.curve?.knee(now) ?? Infinity);
        return full === Infinity ? undefined : full;
    }

    /** Records the pace that an answer states, in percent of the usual time; undefined if it states none. */
    recordReport(id: string, pace: number | undefined): void {
        const state = this.stateOf(id);
        if (pace === undefined) {
            // An answer without a pace says nothing of an endpoint that has stated one.
            state.statesPace ??= false;
            return;
        }
        if (state.statesPace !== true) {
            state.statesPace = true;
            this.pacedEndpoints++;
        }
        const now = this.clock.now();
        const log = Math.min(maxFactorLog, Math.max(-maxFactorLog, Math.log(pace / 100)));
        const { reported } = state;
        const part = reported === undefined ? 1 : 1 - Math.exp(-(now - reported.at) / reportSmoothingMs);
        state.cached = undefined;
        state.reported = { log: (reported?.log ?? 0) * (1 - part) + log * part, at: now };
    }

    /** Records a time beside the one that was expected without the factor, both in milliseconds. */
    observe(id: string, measuredMs: number, expectedMs: number): void {
        const state = this.states.get(id);
        if (state?.statesPace !== true || !(measuredMs >= 0) || !(expectedMs > 0)) {
            return;
        }
        state.cached = undefined;
        state.times.add(measuredMs, expectedMs, this.clock.now());
        const fresh = state.fresh ??= { measuredMs: 0, expectedMs: 0, samples: 0 };
        fresh.measuredMs += measuredMs;
        fresh.expectedMs += expectedMs;
        fresh.samples++;
        this.fresh.add(id);
    }

    /** Records the time of an answer that ran beside others; `running` includes it, `usualMs` is that at low load. */
    observeConcurrency(id: string, slots: number, running: number, measuredMs: number, usualMs: number): void {
        const state = this.states.get(id);
        if (state?.statesPace === true && measuredMs >= 0 && usualMs > 0) {
            // Slowness that the endpoint states does not come from the requests beside this one. The curve would keep it
            // for far longer than it lasts, and a spell of it under high load would look like a knee.
            const statedLog = this.statedLog(state);
            const slowness = Math.exp(Math.max(0, this.slownessLog(state) - statedLog));
            const statedMs = usualMs * Math.exp(statedLog);
            const curve = state.curve ??= new ConcurrencyCurve(slots);
            curve.observe(running, measuredMs, statedMs, this.clock.now(), slowness);
        }
    }

    /** Records that an endpoint with `running` other requests rejected one for lack of capacity. */
    recordRejection(id: string, running: number): void {
        const state = this.states.get(id);
        if (state?.statesPace === true) {
            state.rejection = { running, until: this.clock.now() + rejectionMs };
        }
    }

    /** Replaces the factors that the whole fleet sees at endpoints of this service. */
    applyFleetFactors(factors: ReadonlyMap<string, number>): void {
        const at = this.clock.now();
        for (const id of this.fleetIds) {
            const state = this.states.get(id);
            if (state !== undefined && !factors.has(id)) {
                state.fleet = undefined;
                state.cached = undefined;
            }
        }
        this.fleetIds.clear();
        for (const [id, factor] of factors) {
            if (Number.isFinite(factor) && factor > 0) {
                const log = Math.min(maxFactorLog, Math.max(-maxFactorLog, Math.log(factor)));
                const state = this.stateOf(id);
                state.fleet = { log, at };
                state.cached = undefined;
                this.fleetIds.add(id);
            }
        }
    }

    /**
     * Returns the evidence since the last call on endpoints that differ from usual by over 10%, or that the fleet sees
     * to differ; at most `maxReports`, those with the most evidence of a deviation first.
     */
    takeReports(): [id: string, report: PaceReport][] {
        const reports: { id: string; factor: number; samples: number; }[] = [];
        for (const id of this.fresh) {
            const state = this.states.get(id);
            if (state?.fresh !== undefined) {
                const { measuredMs, expectedMs, samples } = state.fresh;
                // A factor of zero could not be sent, and the leader would not read the rest of the message either.
                const factor = Math.min(maxFactor, Math.max(1 / maxFactor, measuredMs / expectedMs));
                if (Math.abs(Math.log(factor)) > reportedDeviationLog || state.fleet !== undefined) {
                    reports.push({ id, factor, samples: Math.min(maxReportedSamples, samples) });
                }
                state.fresh = undefined;
            }
        }
        this.fresh.clear();
        const evidence = (report: { factor: number; samples: number; }): number =>
            report.samples * Math.abs(Math.log(report.factor));
        return reports.sort((a, b) => evidence(b) - evidence(a)).slice(0, maxReports)
            .map(({ id, factor, samples }) => [id, [Math.round(factor * 100) / 100, samples]]);
    }

    /** Returns the endpoints that have become slow or recovered since the last call. */
    takeChanges(): PaceChange[] {
        this.currentUsual();
        return this.slowness.takeChanges();
    }

    removeEndpoint(id: string): void {
        const state = this.states.get(id);
        if (state !== undefined) {
            this.pacedEndpoints -= state.statesPace === true ? 1 : 0;
            this.states.delete(id);
            this.fresh.delete(id);
            this.fleetIds.delete(id);
            this.slowness.removeEndpoint(id);
        }
    }

    /** Logarithm of the stated pace relative to the siblings; 0 where it is stale or measured times do not bear it out. */
    private statedLog({ reported, times }: EndpointState): number {
        const now = this.clock.now();
        if (reported === undefined || now - reported.at > reportHalfLifeMs) {
            return 0;
        }
        const usual = this.currentUsual();
        const log = Math.min(maxReportedLog, Math.max(-maxReportedLog, reported.log - usual.reportedLog));
        const measuredLog = Math.log(times.ratio) - usual.log;
        const isBorneOut = times.weightAt(now) < contradictingSamples
            || (measuredLog - log) * Math.sign(log) > -contradictionLog;
        return isBorneOut ? log : 0;
    }

    /** Logarithm of the slowness relative to the siblings that is estimated; 0 within the spread of single answers. */
    private slownessLog(state: EndpointState): number {
        const usual = this.currentUsual();
        const log = this.factorLog(state, usual) - usual.log;
        return log > contradictionLog ? log : 0;
    }

    /**
     * Logarithm of the stated pace relative to the siblings as far as it counts; undefined if measured times contradict it.
     * Slowness beyond the bound counts as far as measured times show it too: an endpoint that is four times slower and states
     * it is not contradicted by the bound.
     */
    private creditedLog({ reported, times }: EndpointState, usual: UsualPace): number | undefined {
        if (reported === undefined) {
            return undefined;
        }
        const statedLog = reported.log - usual.reportedLog;
        const log = Math.min(maxReportedLog, Math.max(-maxReportedLog, statedLog));
        if (times.weightAt(this.clock.now()) < contradictingSamples) {
            return log;
        }
        const measuredLog = Math.log(times.ratio) - usual.log;
        const shownLog = Math.max(log, Math.min(statedLog, measuredLog));
        return Math.abs(shownLog - measuredLog) > contradictionLog ? undefined : shownLog;
    }

    /** Logarithm of the factor: the usual one, and by how much the evidence on the endpoint departs from it. */
    private factorLog(state: EndpointState, usual: UsualPace): number {
        const now = this.clock.now();
        const { fleet, times, reported } = state;
        const priorLog = fleet === undefined
            ? usual.log
            : usual.log + (fleet.log - usual.log) * halfLifeDecay(now - fleet.at);
        const ownWeight = times.weight;
        const ownLog = ownWeight === 0 ? 0 : Math.log(times.ratio) - priorLog;
        let sum = ownWeight * ownLog * Math.exp(-Math.max(0, now - times.lastAt) / returnMs);
        let weight = ownWeight + usualWeight;
        const log = this.creditedLog(state, usual);
        if (reported !== undefined && log !== undefined) {
            const reportWeight = reportedWeight * halfLifeDecay(now - reported.at, reportHalfLifeMs);
            sum += reportWeight * (log + usual.log - priorLog);
            weight += reportWeight;
        }
        return Math.min(maxFactorLog, Math.max(-maxFactorLog, priorLog + sum / weight));
    }

    /** Returns what is usual for the service, computed at most once in `summaryMs`. */
    private currentUsual(): UsualPace {
        const now = this.clock.now();
        const lifetimeMs = Math.max(summaryMs, this.states.size * summaryMsPerEndpoint);
        if (now - this.usual.computedAt >= lifetimeMs) {
            this.usual = summarizePaces(this.states.values(), now);
            for (const [id, state] of this.states) {
                const isKnown = state.fleet !== undefined || state.times.weightAt(now) >= slownessSamples
                    || this.slowness.isSlow(id);
                if (state.statesPace === true && isKnown) {
                    this.slowness.observe(id, Math.exp(this.factorLog(state, this.usual) - this.usual.log), now);
                }
            }
        }
        return this.usual;
    }

    private stateOf(id: string): EndpointState {
        let state = this.states.get(id);
        if (state === undefined) {
            const [oldest] = this.states.keys();
            if (oldest !== undefined && this.states.size >= maxEndpoints) {
                this.removeEndpoint(oldest);
            }
            state = {
                statesPace: undefined,
                times: new DecayingRatio(),
                fresh: undefined,
                reported: undefined,
                fleet: undefined,
                curve: undefined,
                rejection: undefined,
                cached: undefined,
            };
            this.states.set(id, state);
        }
        return state;
    }
}
