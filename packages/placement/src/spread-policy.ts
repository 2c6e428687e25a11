import type { PlacementOptions } from "./options.ts";

/** Conditions in one failure domain from which its target is computed. */
export interface DomainConditions {
    failureDomain: string;
    /** Whether the failure domain has instances or an instance can be started there now. */
    usable: boolean;
    inFallback: boolean;
    reclaimsPerInstanceHour: number;
    /** Slots of one new instance in the failure domain. */
    slotsPerInstance: number;
}

export interface DomainTarget {
    failureDomain: string;
    instances: number;
    onDemandInstances: number;
}

/** Strategy that decides how many instances run in each failure domain. */
export abstract class SpreadPolicy {
    /** Returns a target for each domain; `slots` is the forecast demand, `leadMs` the time that a replacement takes. */
    abstract targets(slots: number, domains: readonly DomainConditions[], leadMs: number): DomainTarget[];
}

const hourMs = 3_600_000;
/** Makes the share of on-demand instances drop fast with the cost weight, since headroom covers most reclaims. */
const onDemandExponent = 4;

/**
 * Spreads the instances evenly so that the remaining failure domains can serve the demand if any one is lost. Adds
 * headroom for bursts and for instances that are reclaimed while a replacement starts; the headroom decreases with the
 * cost weight.
 */
export class DomainLossTolerantSpread extends SpreadPolicy {
    constructor(private readonly options: PlacementOptions) {
        super();
    }

    override targets(slots: number, domains: readonly DomainConditions[], leadMs: number): DomainTarget[] {
        const usable = domains.filter(domain => domain.usable && domain.slotsPerInstance > 0);
        const latencyWeight = 1 - this.options.costWeight;
        const neededSlots = slots * (1 + this.options.burstHeadroom * latencyWeight);
        const slotsPerDomain = usable.length > 1 ? neededSlots / (usable.length - 1) : neededSlots;
        return domains.map(domain => {
            const { failureDomain, slotsPerInstance, inFallback } = domain;
            if (!usable.includes(domain)) {
                return { failureDomain, instances: 0, onDemandInstances: 0 };
            }
            const baseInstances = Math.max(1, Math.ceil(slotsPerDomain / slotsPerInstance));
            const expectedReclaims = inFallback ? 0 : baseInstances * domain.reclaimsPerInstanceHour * leadMs / hourMs;
            const instances = Math.ceil(baseInstances + expectedReclaims * latencyWeight - 0.5);
            const onDemandInstances = inFallback
                ? instances
                : Math.round(instances * latencyWeight ** onDemandExponent);
            return { failureDomain, instances: Math.max(baseInstances, instances), onDemandInstances };
        });
    }
}
