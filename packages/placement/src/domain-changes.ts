import type { DomainTarget } from "./spread-policy.ts";
import type { FleetInstance, Market } from "./types.ts";

export interface DomainState {
    target: DomainTarget;
    /** Instances that count: starting or live, neither draining nor silent. */
    serving: readonly FleetInstance[];
    inFallback: boolean;
    canStart: (market: Market) => boolean;
    pricePerSlot: (instance: FleetInstance) => number;
}

export interface DomainChanges {
    starts: Market[];
    surplus: FleetInstance | undefined;
}

/** Starts of one failure domain, and at most one surplus instance when nothing has to be started. */
export function domainChanges({ target, serving, inFallback, canStart, pricePerSlot }: DomainState): DomainChanges {
    const onDemandMembers = serving.filter(instance => instance.market === "on-demand");
    const starting = serving.filter(instance => instance.state === "starting");
    const missing = target.instances - serving.length;
    const preferred: Market[] = inFallback ? ["on-demand", "reclaimable"] : ["reclaimable", "on-demand"];
    const pick = (wanted: Market): Market | undefined => [wanted, ...preferred].find(canStart);
    const starts: Market[] = [];
    let onDemandMissing = target.onDemandInstances - onDemandMembers.length;
    for (let i = 0; i < missing; i++) {
        const market = pick(onDemandMissing > 0 ? "on-demand" : preferred[0] ?? "reclaimable");
        if (market !== undefined) {
            starts.push(market);
            onDemandMissing -= market === "on-demand" ? 1 : 0;
        }
    }
    if (missing > 0 || starting.length > 0) {
        return { starts, surplus: undefined };
    }
    // The mix is changed by one instance at a time, and the replacement is live before the other one leaves.
    if (missing === 0 && !inFallback && onDemandMissing !== 0) {
        const market: Market = onDemandMissing > 0 ? "on-demand" : "reclaimable";
        return { starts: canStart(market) ? [market] : [], surplus: undefined };
    }
    if (missing === 0) {
        return { starts, surplus: undefined };
    }
    const fromOnDemand = !inFallback && onDemandMissing < 0;
    const candidates = serving.filter(instance => (instance.market === "on-demand") === fromOnDemand);
    const costliest = (candidates.length > 0 ? [...candidates] : [...serving]).sort((a, b) =>
        pricePerSlot(b) - pricePerSlot(a) || a.inFlight - b.inFlight || (a.id < b.id ? -1 : 1)
    );
    return { starts: [], surplus: costliest[0] };
}
