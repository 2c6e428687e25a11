import type { PlacementOptions } from "./options.ts";

const hourMs = 3_600_000;
/** Time after which the weight of an observation has decayed to 1/e. */
const decayTimeConstantMs = 24 * hourMs;

interface DomainRecord {
    /** Number of reclaims, decayed like `instanceHours`. */
    reclaims: number;
    instanceHours: number;
    updatedAt: number;
    reclaimableInstances: number;
    recentReclaimsAt: number[];
}

/** Estimates the reclaim rate of each failure domain, for headroom, and detects reclaim waves. */
export class ReclaimRate {
    private readonly records = new Map<string, DomainRecord>();

    constructor(private readonly options: PlacementOptions) {}

    /** Updates the record of the failure domain with its current number of serving reclaimable instances. */
    observe(failureDomain: string, reclaimableInstances: number, now: number): void {
        const record = this.recordOf(failureDomain, now);
        const elapsedMs = now - record.updatedAt;
        const decay = Math.exp(-elapsedMs / decayTimeConstantMs);
        record.instanceHours = record.instanceHours * decay + record.reclaimableInstances * elapsedMs / hourMs;
        record.reclaims *= decay;
        record.updatedAt = now;
        record.reclaimableInstances = reclaimableInstances;
        record.recentReclaimsAt = record.recentReclaimsAt.filter(instant => instant > now - this.options.waveWindowMs);
    }

    onReclaim(failureDomain: string, now: number): void {
        const record = this.recordOf(failureDomain, now);
        record.reclaims++;
        record.recentReclaimsAt.push(now);
    }

    /** Returns the estimated reclaims per instance-hour, which equal the prior rate before any observation. */
    reclaimsPerInstanceHour(failureDomain: string): number {
        const { priorReclaimRate, priorInstanceHours } = this.options;
        const record = this.records.get(failureDomain);
        return ((record?.reclaims ?? 0) + priorReclaimRate * priorInstanceHours)
            / ((record?.instanceHours ?? 0) + priorInstanceHours);
    }

    /** Whether a large share of the reclaimable instances was lost within the window; a single loss is not a wave. */
    inReclaimWave(failureDomain: string): boolean {
        const record = this.records.get(failureDomain);
        const recentReclaims = record?.recentReclaimsAt.length ?? 0;
        return record !== undefined && recentReclaims >= 2
            && recentReclaims >= this.options.waveShare * (record.reclaimableInstances + recentReclaims);
    }

    private recordOf(failureDomain: string, now: number): DomainRecord {
        let record = this.records.get(failureDomain);
        if (record === undefined) {
            record = { reclaims: 0, instanceHours: 0, updatedAt: now, reclaimableInstances: 0, recentReclaimsAt: [] };
            this.records.set(failureDomain, record);
        }
        return record;
    }
}
