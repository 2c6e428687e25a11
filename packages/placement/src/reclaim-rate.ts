import type { PlacementOptions } from "./options.ts";

const hourMs = 3_600_000;
/** Time in which the weight of an observation falls to 1/e. */
const memoryMs = 24 * hourMs;

interface DomainRecord {
    events: number;
    instanceHours: number;
    updatedAt: number;
    held: number;
    recent: number[];
}

/** Observed reclaims of each failure domain, for headroom and for the recognition of waves. */
export class ReclaimRate {
    private readonly records = new Map<string, DomainRecord>();

    constructor(private readonly options: PlacementOptions) {}

    /** `held` is the number of reclaimable instances that are in use. */
    observe(failureDomain: string, held: number, now: number): void {
        const record = this.recordOf(failureDomain, now);
        const passedMs = now - record.updatedAt;
        const keep = Math.exp(-passedMs / memoryMs);
        record.instanceHours = record.instanceHours * keep + record.held * passedMs / hourMs;
        record.events *= keep;
        record.updatedAt = now;
        record.held = held;
        record.recent = record.recent.filter(at => at > now - this.options.waveWindowMs);
    }

    onReclaim(failureDomain: string, now: number): void {
        const record = this.recordOf(failureDomain, now);
        record.events++;
        record.recent.push(now);
    }

    /** Reclaims for each instance and hour. */
    reclaimsPerInstanceHour(failureDomain: string): number {
        const { priorReclaimRate, priorInstanceHours } = this.options;
        const record = this.records.get(failureDomain);
        return ((record?.events ?? 0) + priorReclaimRate * priorInstanceHours)
            / ((record?.instanceHours ?? 0) + priorInstanceHours);
    }

    /** True when a large share of the instances was lost at once; a single loss is no wave. */
    inReclaimWave(failureDomain: string): boolean {
        const record = this.records.get(failureDomain);
        const lost = record?.recent.length ?? 0;
        return record !== undefined && lost >= 2 && lost >= this.options.waveShare * (record.held + lost);
    }

    private recordOf(failureDomain: string, now: number): DomainRecord {
        let record = this.records.get(failureDomain);
        if (record === undefined) {
            record = { events: 0, instanceHours: 0, updatedAt: now, held: 0, recent: [] };
            this.records.set(failureDomain, record);
        }
        return record;
    }
}
