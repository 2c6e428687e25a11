import { z } from "zod";

/** Options of the placement planner. */
export const placementOptions = z.object({
    costWeight: z.number().min(0).max(1).default(0.5).describe("0 counts latency only, 1 counts cost only"),
    startMs: z.number().positive().default(120_000).describe("expected time from a start order to a live instance"),
    weightStoreBytesPerSecond: z.number().positive().default(2e9),
    /**
     * Time without a response after which an instance counts as lost. Longer than the 3 s after which an entry declares
     * a silent connection dead, because starting a replacement costs more than a probe.
     */
    silenceMs: z.number().positive().default(6_000),
    /** Time for which the target must stay lower before an instance is released. */
    shrinkHoldMs: z.number().min(0).default(1_200_000),
    /** Time without a reclaim wave or repeated start refusals after which reclaimable instances are preferred again. */
    fallbackHoldMs: z.number().min(0).default(1_800_000),
    /** Window in which reclaims and refused starts are counted. */
    waveWindowMs: z.number().positive().default(600_000),
    /** Share of a failure domain's reclaimable instances whose loss within the window counts as a reclaim wave. */
    waveShare: z.number().min(0).max(1).default(0.3),
    /** Number of refused reclaimable starts in the window after which on-demand instances are preferred. */
    refusalsToFallBack: z.int().min(1).default(2),
    /** Minimum time between a refused start and the next attempt in the same failure domain and market. */
    refusalBackOffMs: z.number().min(0).default(30_000),
    /** Prior estimate of reclaims per instance-hour, about 5% a day, which is a commonly published band. */
    priorReclaimRate: z.number().min(0).default(0.002),
    /** Weight of the prior estimate against observations. */
    priorInstanceHours: z.number().positive().default(100),
    /** Share of the forecast added at cost weight 0 for bursts above the learned daily shape. */
    burstHeadroom: z.number().min(0).default(0.4),
    /** Minimum relative saving for which another machine class is chosen. */
    priceMargin: z.number().min(0).default(0.15),
    /** Minimum time between two changes of the machine class. */
    priceHoldMs: z.number().min(0).default(1_800_000),
    /**
     * Minimum time between drain and stop. An entry may dispatch new requests for 3 s after a drain, and reports of
     * in-flight requests are delayed.
     */
    minDrainMs: z.number().min(0).default(5_000),
    /** Maximum time for which a draining instance waits for in-flight requests before it is stopped. */
    drainMs: z.number().min(0).default(600_000),
});
export type PlacementOptions = z.infer<typeof placementOptions>;
