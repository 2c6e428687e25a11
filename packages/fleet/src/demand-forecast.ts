import { mean, standardDeviation } from "simple-statistics";

/** Share of an engine's prompt rate that is planned for; above it, waiting grows faster than the load. */
const plannedPrefillShare = 0.7;
/** Share of an engine's slots that is planned for; the rest absorbs what is sent by outdated load reports. */
const plannedSlotShare = 0.8;
/** Demand of the last this many milliseconds counts; a wave of the load must not shrink the fleet in its trough. */
const windowMs = 8_000;
/** Time over which demand is averaged, in milliseconds; arrivals come in clumps that an engine's queue absorbs. */
const averageMs = 2_000;
/** Time that the first sample stands for, in milliseconds; one sync. */
const firstSampleMs = 250;
/** Time without demand that is assumed before the first sample, in milliseconds, since that can be one clump. */
const quietStartMs = 750;
/** Least deviation of the demand in the next boot time, relative to its level. */
const leastSpread = 0.25;

export interface EngineCapacity {
    slots: number;
    /** Prompt tokens that an engine reads in a second. */
    prefillPerSecond: number;
}

/** Work that the ingresses offered to a service, all of them together. */
export interface ServiceDemand {
    /** Prompt tokens that had to be read, for each second. */
    prefillPerSecond: number;
    /** The same if no engine kept any of them. */
    promptPerSecond: number;
    /** Places that the requests would take on average if all were served. */
    occupiedSlots: number;
}

export function noDemand(): ServiceDemand {
    return { prefillPerSecond: 0, promptPerSecond: 0, occupiedSlots: 0 };
}

/** Demand in engines that are used as far as planned, as a normal distribution. */
export interface DemandEstimate {
    mean: number;
    deviation: number;
    /** Mean once all prompts that engines keep are lost and have to be read again. */
    coldMean: number;
}

interface Sample extends ServiceDemand {
    at: number;
}

/** The level of the window; a rise counts at once, and a fall as the window passes. */
function levelOf(engines: readonly number[]): number {
    return Math.max(mean([...engines]), engines.at(-1) ?? 0);
}

/** Demand on a service in the next boot time, from that of the last seconds. */
export class DemandForecast {
    private samples: Sample[] = [];
    private average: Sample | undefined;
    /** Start of the demand that the average rests on. */
    private seenSince: number | undefined;

    observe(demand: ServiceDemand, now: number): void {
        if (this.average === undefined && demand.occupiedSlots === 0 && demand.prefillPerSecond === 0) {
            return;
        }
        this.seenSince ??= now - quietStartMs;
        const last = this.average ?? { ...noDemand(), at: now - firstSampleMs };
        // The average of a short time is mostly that of the samples so far, not one that starts from nothing.
        const weight = (1 - Math.exp(-(now - last.at) / averageMs))
            / (1 - Math.exp(-(now - this.seenSince) / averageMs));
        const towards = (before: number, present: number): number => before + (present - before) * weight;
        this.average = {
            prefillPerSecond: towards(last.prefillPerSecond, demand.prefillPerSecond),
            promptPerSecond: towards(last.promptPerSecond, demand.promptPerSecond),
            occupiedSlots: towards(last.occupiedSlots, demand.occupiedSlots),
            at: now,
        };
        this.samples = [...this.samples.filter(sample => now - sample.at < windowMs), this.average];
    }

    /** Whether there was no demand in the window. */
    get isIdle(): boolean {
        return this.samples.every(sample => sample.occupiedSlots === 0);
    }

    /** Undefined before there was any demand. */
    estimate(capacity: EngineCapacity): DemandEstimate | undefined {
        if (this.isIdle) {
            return undefined;
        }
        const enginesFor = (readPerSecond: number, occupiedSlots: number): number =>
            Math.max(
                readPerSecond / (capacity.prefillPerSecond * plannedPrefillShare),
                occupiedSlots / (capacity.slots * plannedSlotShare),
            );
        const engines = this.samples.map(({ prefillPerSecond, occupiedSlots }) =>
            enginesFor(prefillPerSecond, occupiedSlots)
        );
        const cold = this.samples.map(({ promptPerSecond, occupiedSlots }) =>
            enginesFor(promptPerSecond, occupiedSlots)
        );
        const level = levelOf(engines);
        return {
            mean: level,
            deviation: Math.max(standardDeviation(engines), level * leastSpread),
            coldMean: Math.max(levelOf(cold), level),
        };
    }
}
