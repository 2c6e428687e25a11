import { z } from "zod";
import { listenOptions } from "../http/http-stand-in.ts";

/** Options of the model engine; every field has a default. */
export const engineOptions = listenOptions.extend({
    /** Models loaded at the start; when empty, requests for any model are accepted. */
    models: z.array(z.string()).default([]),
    /** Time of one step without prefill: the interval between two tokens of a stream. */
    stepMs: z.number().positive().default(20),
    prefillTokensPerSecond: z.number().positive().default(20_000),
    /** Tokens (decoded and prefilled) that one step may process. */
    stepTokenBudget: z.number().int().positive().default(512),
    /** Sequences that decode at the same time. */
    maxBatch: z.number().int().positive().default(32),
    /** Requests that wait or run; more are refused with `overloaded`. */
    maxRequests: z.number().int().positive().default(256),
    /** Prompt blocks kept in the prefix cache. */
    cacheBlocks: z.number().int().min(0).default(4_096),
    cacheEventLagMs: z.number().min(0).default(200),
    /** Probability that a cache event is never delivered, which leaves a gap in the sequence numbers. */
    cacheEventDropRate: z.number().min(0).max(1).default(0),
    cacheEventsKept: z.number().int().positive().default(1_000),
    kvBytesPerToken: z.number().int().positive().default(1_024),
    exportBytesPerSecond: z.number().positive().default(100e6),
    importBytesPerSecond: z.number().positive().default(100e6),
    /** Tokens of imported KV cache that the engine holds until a request uses them. */
    importCapacityTokens: z.number().int().min(0).default(1_000_000),
    /** Whether the leading tokens of a KV cache that arrives in part are kept. */
    keepPartialImports: z.boolean().default(true),
    loadReportIntervalMs: z.number().positive().default(100),
    loadReportLagMs: z.number().min(0).default(250),
    /** Whether orders with an old fencing number are refused. */
    checkFencing: z.boolean().default(true),
    /** Time to carry out an order, besides the transfer from the weight store. */
    orderMs: z.number().min(0).default(500),
    weightStore: z.object({ host: z.string(), port: z.number().int() }).optional(),
    /** Added to the offset at which a resumed stream starts (fault). */
    resumeShift: z.number().int().default(0),
});

export type EngineOptions = z.infer<typeof engineOptions>;
