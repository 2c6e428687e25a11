import type { RandomSource } from "@lentilramp/runtime";
import type { CloudOptions } from "./cloud-options.ts";

export interface Price {
    failureDomain: string;
    machineClass: string;
    market: "reclaimable" | "on-demand";
    pricePerHour: number;
}

// A reclaimable instance never costs more than an on-demand one, and never less than a tenth of it.
const lowestRatio = 0.1;

/** Prices of reclaimable instances follow a bounded random walk for each failure domain and machine class. */
export class PriceTable {
    private readonly ratios = new Map<string, number>();
    private intervalsDone = 0;

    constructor(
        private readonly options: CloudOptions,
        private readonly random: RandomSource,
        private readonly startedAt: number,
    ) {}

    read(now: number): Price[] {
        const intervals = Math.floor((now - this.startedAt) / this.options.priceIntervalMs);
        for (; this.intervalsDone < intervals; this.intervalsDone++) {
            this.step();
        }
        return this.options.failureDomains.flatMap(failureDomain =>
            this.options.machineClasses.flatMap(({ name, onDemandPrice }): Price[] => [
                { failureDomain, machineClass: name, market: "on-demand", pricePerHour: onDemandPrice },
                {
                    failureDomain,
                    machineClass: name,
                    market: "reclaimable",
                    pricePerHour: onDemandPrice * this.ratio(failureDomain, name),
                },
            ])
        );
    }

    private step(): void {
        for (const failureDomain of this.options.failureDomains) {
            for (const { name } of this.options.machineClasses) {
                const change = 1 + (this.random.next() * 2 - 1) * this.options.priceChange;
                const ratio = this.ratio(failureDomain, name) * change;
                this.ratios.set(`${failureDomain}/${name}`, Math.min(1, Math.max(lowestRatio, ratio)));
            }
        }
    }

    private ratio(failureDomain: string, machineClass: string): number {
        return this.ratios.get(`${failureDomain}/${machineClass}`) ?? this.options.reclaimableRatio;
    }
}
