import { z } from "zod";

/** Options of the planner. Durations are in ms. */
export const placementOptions = z.object({
    costWeight: z.number().min(0).max(1).default(0.5).describe("0 counts latency only, 1 counts cost only"),
    startMs: z.number().positive().default(120_000).describe("expected time from a start order to a live instance"),
    weightStoreBytesPerSecond: z.number().positive().default(2e9),
    /** An entry declares a silent connection dead after 3 s; a start costs more than a probe, so wait longer. */
    silenceMs: z.number().positive().default(6_000),
    /** Time for which a lower target must hold before an instance is given up. */
    shrinkHoldMs: z.number().min(0).default(1_200_000),
    /** Time without a wave or refusal after which reclaimable instances are used again. */
    fallbackHoldMs: z.number().min(0).default(1_800_000),
    waveWindowMs: z.number().positive().default(600_000),
    /** Share of a failure domain's reclaimable instances that makes a wave when lost within the window. */
    waveShare: z.number().min(0).max(1).default(0.3),
    /** Refusals in the window after which on-demand instances are started. */
    refusalsToFallBack: z.int().min(1).default(2),
    refusalBackOffMs: z.number().min(0).default(30_000),
    /** Reclaims for each instance and hour assumed before any was observed; 5% a day is a common published band. */
    priorReclaimRate: z.number().min(0).default(0.002),
    priorInstanceHours: z.number().positive().default(100),
    /** Added to the forecast at cost weight 0; covers bursts above the learned shape. */
    burstHeadroom: z.number().min(0).default(0.4),
    /** Relative saving below which another machine class is not chosen. */
    priceMargin: z.number().min(0).default(0.15),
    priceHoldMs: z.number().min(0).default(1_800_000),
    /** An entry may send new work for 3 s after a drain, and reports of work in progress lag. */
    minDrainMs: z.number().min(0).default(5_000),
    /** Longest wait for requests in progress before a surplus instance is stopped. */
    drainMs: z.number().min(0).default(600_000),
});
export type PlacementOptions = z.infer<typeof placementOptions>;
