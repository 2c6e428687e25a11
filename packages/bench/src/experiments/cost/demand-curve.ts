import type { RandomSource } from "@lentilramp/runtime";
import type { CostSettings } from "./cost-settings.ts";

const dayMs = 86_400_000;

/** Demand over the days: a daily shape with its peak at 15:00, small noise, and seeded bursts. */
export class DemandCurve {
    private readonly values: number[] = [];

    constructor(settings: CostSettings, peakSlots: number, random: RandomSource) {
        const steps = Math.ceil(settings.days * dayMs / settings.stepMs);
        let burstUntil = -1;
        const burstChance = settings.burstsPerDay * settings.stepMs / dayMs;
        for (let step = 0; step < steps; step++) {
            const at = step * settings.stepMs;
            const phase = Math.cos((at % dayMs - 15 / 24 * dayMs) / dayMs * 2 * Math.PI);
            const shape = settings.nightShare + (1 - settings.nightShare) * (0.5 + 0.5 * phase) ** 1.5;
            if (random.next() < burstChance) {
                burstUntil = at + settings.burstMs;
            }
            const burst = at < burstUntil ? 1 + settings.burstShare : 1;
            this.values.push(peakSlots * shape * burst * (0.97 + 0.06 * random.next()));
        }
    }

    get steps(): number {
        return this.values.length;
    }

    at(step: number): number {
        return this.values[step] ?? 0;
    }
}
