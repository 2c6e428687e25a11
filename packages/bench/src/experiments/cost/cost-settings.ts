import { z } from "zod";

/**
 * Assumptions of the cost experiment; the brief gives no figures for prices, demand or reclaims. Durations are in
 * milliseconds, prices in units of one on-demand instance of class gpu-m an hour.
 */
export const costSettings = z.object({
    stepMs: z.number().positive().default(10_000),
    days: z.int().min(2).default(3).describe("the first day teaches the forecast and is not counted"),
    failureDomains: z.int().min(1).default(3),
    /** A larger machine costs about as much for each slot as a smaller one. */
    onDemandPrice: z.object({ "gpu-m": z.number(), "gpu-l": z.number() }).default({ "gpu-m": 1, "gpu-l": 1.9 }),
    /** Spot discounts published by cloud providers lie between 60% and 90%. */
    reclaimablePriceShare: z.number().default(0.3),
    priceSwing: z.number().default(0.25).describe("largest relative change of a reclaimable price, redrawn each hour"),
    /** About 5% of the reclaimable instances a day go one by one. */
    reclaimsPerInstanceHour: z.number().default(0.002),
    wavesPerDomainDay: z.number().default(2),
    waveShare: z.number().default(0.8),
    /** Starts of reclaimable instances are mostly refused for some time after a wave. */
    refusedAfterWaveMs: z.number().default(1_200_000),
    refusedShareAfterWave: z.number().default(0.9),
    startMinMs: z.number().default(60_000),
    startMaxMs: z.number().default(180_000),
    modelBytes: z.number().default(16e9),
    weightStoreBytesPerSecond: z.number().default(2e9),
    tokenLatencyMs: z.number().default(71),
    stepBaseMs: z.number().default(20),
    stepPerRequestMs: z.number().default(1.5),
    /** Night demand is a tenth of the peak; bursts add up to a quarter for ten minutes, four times a day. */
    nightShare: z.number().default(0.1),
    burstShare: z.number().default(0.25),
    burstsPerDay: z.number().default(4),
    burstMs: z.number().default(600_000),
    tokensPerRequest: z.number().default(500).describe("prompt and answer of a request in progress"),
});

export type CostSettings = z.infer<typeof costSettings>;

/** One deployment of the experiment. */
export interface CostDeployment {
    name: string;
    costWeight: number;
    /** Requests in progress at the peak of a day without bursts. */
    peakSlots: number;
    /** Highest cost against on demand only. */
    costTarget: number;
}

/** Peaks for which today's 12 and 6 replicas suffice after the loss of one failure domain (34 slots an instance). */
export const costDeployments: readonly CostDeployment[] = [
    { name: "fjordlys", costWeight: 0.2, peakSlots: 220, costTarget: 0.6 },
    { name: "kokosinjac", costWeight: 0.8, peakSlots: 110, costTarget: 0.5 },
];
