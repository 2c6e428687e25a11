import { z } from "zod";
import { listenOptions } from "../http/http-stand-in.ts";

/** Options of the cloud API; every field has a default. Prices are in currency units an hour. */
export const cloudOptions = listenOptions.extend({
    failureDomains: z.array(z.string()).min(1).default(["a", "b", "c"]),
    machineClasses: z.array(z.object({ name: z.string(), onDemandPrice: z.number().positive() })).min(1).default([
        { name: "small", onDemandPrice: 1 },
        { name: "accelerator", onDemandPrice: 10 },
    ]),
    /** Initial price of a reclaimable instance relative to the on-demand price. */
    reclaimableRatio: z.number().positive().max(1).default(0.35),
    priceIntervalMs: z.number().positive().default(60_000),
    /** Largest relative change of a price in one interval. */
    priceChange: z.number().min(0).max(1).default(0.1),
    /** Probability that the start of a reclaimable instance is refused. */
    refusalRate: z.number().min(0).max(1).default(0),
    startMs: z.number().min(0).default(5_000),
    noticeMs: z.number().min(0).default(5_000),
    noticesKept: z.number().int().positive().default(10_000),
});

export type CloudOptions = z.infer<typeof cloudOptions>;

/** Body of `POST /v1/instances`. */
export const startRequest = z.object({
    operationId: z.string().min(1),
    failureDomain: z.string(),
    machineClass: z.string(),
    market: z.enum(["reclaimable", "on-demand"]),
});

/** Body of `POST /admin/reclaims`. Each wave takes `fraction` of the reclaimable instances that are left. */
export const reclaimRequest = z.object({
    failureDomain: z.string(),
    fraction: z.number().min(0).max(1).default(1),
    noticeMs: z.number().min(0).optional(),
    waves: z.number().int().positive().default(1),
    intervalMs: z.number().min(0).default(0),
});

/** Body of `POST /admin/refusals`. */
export const refusalRequest = z.object({ failureDomain: z.string(), rate: z.number().min(0).max(1) });

export interface CloudInstance {
    id: string;
    failureDomain: string;
    machineClass: string;
    market: "reclaimable" | "on-demand";
    state: "starting" | "live" | "leaving" | "gone";
    readyAt: number;
    reclaimAt?: number;
}
