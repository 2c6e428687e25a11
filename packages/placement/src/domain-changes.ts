import type { DomainTarget } from "./spread-policy.ts";
import type { FleetInstance, Market } from "./types.ts";

/** State and target of one failure domain. */
export interface DomainState {
    target: DomainTarget;
    /** Instances that count towards the target: starting or live, and neither draining nor silent. */
    serving: readonly FleetInstance[];
    inFallback: boolean;
    canStart: (market: Market) => boolean;
    pricePerSlot: (instance: FleetInstance) => number;
}

export interface DomainChanges {
    starts: Market[];
    surplus: FleetInstance | undefined;
}

/** Returns the starts for one failure domain, or at most one surplus instance if no start is needed or pending. */
export function domainChanges({ target, serving, inFallback, canStart, pricePerSlot }: DomainState): DomainChanges {
    const onDemandMembers = serving.filter(instance => instance.market === "on-demand");
    const starting = serving.filter(instance => instance.state === "starting");
    const deficit = target.instances - serving.length;
    const marketPreference: Market[] = inFallback ? ["on-demand", "reclaimable"] : ["reclaimable", "on-demand"];
    const selectMarket = (firstChoice: Market): Market | undefined => [firstChoice, ...marketPreference].find(canStart);
    const starts: Market[] = [];
    let onDemandDeficit = target.onDemandInstances - onDemandMembers.length;
    for (let i = 0; i < deficit; i++) {
        const market = selectMarket(onDemandDeficit > 0 ? "on-demand" : marketPreference[0] ?? "reclaimable");
        if (market !== undefined) {
            starts.push(market);
            onDemandDeficit -= market === "on-demand" ? 1 : 0;
        }
    }
    if (deficit > 0 || starting.length > 0) {
        return { starts, surplus: undefined };
    }
    // Changes the mix of markets by one instance at a time, whose replacement is live before the instance is drained.
    if (deficit === 0 && !inFallback && onDemandDeficit !== 0) {
        const market: Market = onDemandDeficit > 0 ? "on-demand" : "reclaimable";
        return { starts: canStart(market) ? [market] : [], surplus: undefined };
    }
    if (deficit === 0) {
        return { starts, surplus: undefined };
    }
    const removeOnDemand = !inFallback && onDemandDeficit < 0;
    const candidates = serving.filter(instance => (instance.market === "on-demand") === removeOnDemand);
    const mostExpensive = (candidates.length > 0 ? [...candidates] : [...serving]).sort((a, b) =>
        pricePerSlot(b) - pricePerSlot(a) || a.inFlight - b.inFlight || (a.id < b.id ? -1 : 1)
    );
    return { starts: [], surplus: mostExpensive[0] };
}
