import { mean, standardDeviation } from "simple-statistics";

/** Planned utilization of an engine's prompt rate; above it, queueing time grows faster than the load. */
const targetPrefillUtilization = 0.7;
/** Planned utilization of an engine's slots; the rest absorbs requests dispatched on outdated load reports. */
const targetSlotUtilization = 0.8;
/** Length of the sample window in milliseconds; a trough in a fluctuating load must not shrink the fleet. */
const windowMs = 8_000;
/** Time constant of the demand average, in milliseconds; an engine's queue absorbs shorter bursts. */
const averagingMs = 2_000;
/** Time that the first sample covers, in milliseconds: the shortest interval between two syncs. */
const firstSampleMs = 250;
/** Idle time assumed before the first sample, in milliseconds, because that sample can be a single burst. */
const initialQuietMs = 750;
/** Lower bound of the standard deviation of the demand in the next boot time, relative to the mean. */
const minRelativeDeviation = 0.25;

export interface EngineCapacity {
    slots: number;
    /** Prompt tokens that one engine processes per second. */
    prefillPerSecond: number;
}

/** Demand on a service, summed over all ingresses. */
export interface ServiceDemand {
    /** Prompt tokens per second that engines have to process, without those found in their caches. */
    prefillPerSecond: number;
    /** Prompt tokens per second that engines would have to process with empty caches. */
    promptPerSecond: number;
    /** Average number of slots that the requests would occupy if all of them were served. */
    occupiedSlots: number;
}

export function noDemand(): ServiceDemand {
    return { prefillPerSecond: 0, promptPerSecond: 0, occupiedSlots: 0 };
}

/** Demand as a normal distribution, in engines at the planned utilization. */
export interface DemandEstimate {
    mean: number;
    deviation: number;
    /** Mean if all engine caches are lost and all prompts have to be processed again. */
    coldMean: number;
}

interface Sample extends ServiceDemand {
    sampledAt: number;
}

/** Returns the demand level of a window: a rise takes effect at once, a fall as the window moves on. */
function windowLevel(engines: readonly number[]): number {
    return Math.max(mean([...engines]), engines.at(-1) ?? 0);
}

/** Forecasts the demand on a service for the next boot time from the samples of the window. */
export class DemandForecast {
    private samples: Sample[] = [];
    private average: Sample | undefined;
    /** Start of the time that the average covers. */
    private averagingSince: number | undefined;

    observe(demand: ServiceDemand, now: number): void {
        if (this.average === undefined && demand.occupiedSlots === 0 && demand.prefillPerSecond === 0) {
            return;
        }
        this.averagingSince ??= now - initialQuietMs;
        const last = this.average ?? { ...noDemand(), sampledAt: now - firstSampleMs };
        // While few samples exist, the weight is corrected so that the average is not biased towards zero.
        const weight = (1 - Math.exp(-(now - last.sampledAt) / averagingMs))
            / (1 - Math.exp(-(now - this.averagingSince) / averagingMs));
        const blend = (before: number, present: number): number => before + (present - before) * weight;
        this.average = {
            prefillPerSecond: blend(last.prefillPerSecond, demand.prefillPerSecond),
            promptPerSecond: blend(last.promptPerSecond, demand.promptPerSecond),
            occupiedSlots: blend(last.occupiedSlots, demand.occupiedSlots),
            sampledAt: now,
        };
        this.samples = [...this.samples.filter(sample => now - sample.sampledAt < windowMs), this.average];
    }

    /** Whether the window contains no demand. */
    get isIdle(): boolean {
        return this.samples.every(sample => sample.occupiedSlots === 0);
    }

    /** Returns the demand in engines of `capacity`; undefined if the window contains no demand. */
    estimate(capacity: EngineCapacity): DemandEstimate | undefined {
        if (this.isIdle) {
            return undefined;
        }
        const enginesFor = (tokensPerSecond: number, occupiedSlots: number): number =>
            Math.max(
                tokensPerSecond / (capacity.prefillPerSecond * targetPrefillUtilization),
                occupiedSlots / (capacity.slots * targetSlotUtilization),
            );
        const engines = this.samples.map(({ prefillPerSecond, occupiedSlots }) =>
            enginesFor(prefillPerSecond, occupiedSlots)
        );
        const coldEngines = this.samples.map(({ promptPerSecond, occupiedSlots }) =>
            enginesFor(promptPerSecond, occupiedSlots)
        );
        const level = windowLevel(engines);
        return {
            mean: level,
            deviation: Math.max(standardDeviation(engines), level * minRelativeDeviation),
            coldMean: Math.max(windowLevel(coldEngines), level),
        };
    }
}
