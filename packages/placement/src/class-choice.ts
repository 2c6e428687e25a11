import type { CapacityModel } from "./capacity-model.ts";
import type { PlacementOptions } from "./options.ts";
import type { InstancePrice, Market } from "./types.ts";

export interface PricedClass {
    machineClass: string;
    slots: number;
    pricePerSlot: number;
}

/** Strategy that chooses the machine class of new instances. */
export abstract class ClassChoice {
    /** Returns undefined if no class has a price in this market and meets the promised token latency. */
    abstract choose(
        failureDomain: string,
        market: Market,
        prices: readonly InstancePrice[],
        tokenLatencyMs: number,
        now: number,
    ): PricedClass | undefined;
}

/**
 * Chooses the class with the lowest price per slot, and changes the class only for a saving above the margin after the
 * hold time.
 */
export class CheapestClass extends ClassChoice {
    private readonly chosen = new Map<string, { machineClass: string; chosenAt: number; }>();

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
        const previous = this.chosen.get(key);
        const current = candidates.find(candidate => candidate.machineClass === previous?.machineClass);
        if (best === undefined || previous === undefined || current === undefined) {
            if (best !== undefined) {
                this.chosen.set(key, { machineClass: best.machineClass, chosenAt: now });
            }
            return best;
        }
        const savesEnough = best.pricePerSlot < current.pricePerSlot * (1 - this.options.priceMargin);
        if (!savesEnough || now < previous.chosenAt + this.options.priceHoldMs) {
            return current;
        }
        this.chosen.set(key, { machineClass: best.machineClass, chosenAt: now });
        return best;
    }
}
