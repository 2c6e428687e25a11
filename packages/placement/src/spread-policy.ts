import type { PlacementOptions } from "./options.ts";

/** What the sizing needs to know about a failure domain. */
export interface DomainConditions {
    failureDomain: string;
    /** False when nothing can be started there now and nothing is held. */
    usable: boolean;
    inFallback: boolean;
    reclaimsPerInstanceHour: number;
    /** Slots of one new instance there. */
    slotsPerInstance: number;
}

export interface DomainTarget {
    failureDomain: string;
    instances: number;
    onDemandInstances: number;
}

/** Decides how many instances each failure domain holds. */
export abstract class SpreadPolicy {
    /** `slots` is the forecast demand; `leadMs` is the time that a replacement takes. */
    abstract targets(slots: number, domains: readonly DomainConditions[], leadMs: number): DomainTarget[];
}

const hourMs = 3_600_000;
/** Makes the share of on-demand instances fall fast, since headroom covers most reclaims already. */
const onDemandExponent = 4;

/**
 * Equal shares such that the rest carries the demand when any one failure domain is lost. On top of it comes headroom
 * for bursts and for the instances that are reclaimed while a replacement starts, by the cost weight.
 */
export class DomainLossTolerantSpread extends SpreadPolicy {
    constructor(private readonly options: PlacementOptions) {
        super();
    }

    override targets(slots: number, domains: readonly DomainConditions[], leadMs: number): DomainTarget[] {
        const usable = domains.filter(domain => domain.usable && domain.slotsPerInstance > 0);
        const latencyWeight = 1 - this.options.costWeight;
        const needed = slots * (1 + this.options.burstHeadroom * latencyWeight);
        const share = usable.length > 1 ? needed / (usable.length - 1) : needed;
        return domains.map(domain => {
            const { failureDomain, slotsPerInstance, inFallback } = domain;
            if (!usable.includes(domain)) {
                return { failureDomain, instances: 0, onDemandInstances: 0 };
            }
            const base = Math.max(1, Math.ceil(share / slotsPerInstance));
            const expectedLoss = inFallback ? 0 : base * domain.reclaimsPerInstanceHour * leadMs / hourMs;
            const instances = Math.ceil(base + expectedLoss * latencyWeight - 0.5);
            const onDemandInstances = inFallback
                ? instances
                : Math.round(instances * latencyWeight ** onDemandExponent);
            return { failureDomain, instances: Math.max(base, instances), onDemandInstances };
        });
    }
}
