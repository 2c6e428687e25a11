import type { CapacityModel } from "./capacity-model.ts";
import type { PlacementOptions } from "./options.ts";
import type { InstancePrice, Market } from "./types.ts";

export interface PricedClass {
    machineClass: string;
    slots: number;
    pricePerSlot: number;
}

/** Chooses the machine class for new instances. */
export abstract class ClassChoice {
    /** Returns undefined when no class has a price there and keeps the promise. */
    abstract choose(
        failureDomain: string,
        market: Market,
        prices: readonly InstancePrice[],
        tokenLatencyMs: number,
        now: number,
    ): PricedClass | undefined;
}

/** Cheapest class for each slot; a change needs a saving above the margin and the end of the hold time. */
export class CheapestClass extends ClassChoice {
    private readonly chosen = new Map<string, { machineClass: string; since: number; }>();

    constructor(private readonly options: PlacementOptions, private readonly capacity: CapacityModel) {
        super();
    }

    override choose(
        failureDomain: string,
        market: Market,
        prices: readonly InstancePrice[],
        tokenLatencyMs: number,
        now: number,
    ): PricedClass | undefined {
        const candidates = prices
            .filter(price => price.failureDomain === failureDomain && price.market === market)
            .map(({ machineClass, pricePerHour }) => {
                const slots = this.capacity.slots(machineClass, tokenLatencyMs);
                return { machineClass, slots, pricePerSlot: pricePerHour / slots };
            })
            .filter(candidate => candidate.slots > 0)
            .sort((a, b) => a.pricePerSlot - b.pricePerSlot || (a.machineClass < b.machineClass ? -1 : 1));
        const best = candidates[0];
        const key = `${failureDomain}/${market}`;
        const before = this.chosen.get(key);
        const current = candidates.find(candidate => candidate.machineClass === before?.machineClass);
        if (best === undefined || before === undefined || current === undefined) {
            if (best !== undefined) {
                this.chosen.set(key, { machineClass: best.machineClass, since: now });
            }
            return best;
        }
        const saves = best.pricePerSlot < current.pricePerSlot * (1 - this.options.priceMargin);
        if (!saves || now < before.since + this.options.priceHoldMs) {
            return current;
        }
        this.chosen.set(key, { machineClass: best.machineClass, since: now });
        return best;
    }
}
