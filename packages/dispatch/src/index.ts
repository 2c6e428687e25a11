/**
 * Selects the endpoint of a request and decides which requests wait and which are refused. The package reads
 * no system clock and no global random source: callers pass in clocks, instants and random sources.
 */
export * from "./answer-times.ts";
export * from "./concurrency-curve.ts";
export * from "./dispatch-queue.ts";
export * from "./dispatcher.ts";
export * from "./endpoint-health.ts";
export * from "./endpoint-pace.ts";
export * from "./engine-model.ts";
export * from "./engine-speed.ts";
export * from "./hash-ring.ts";
export * from "./latency-model.ts";
export * from "./load-tracker.ts";
export * from "./prefix-cache-index.ts";
export * from "./prompt-affinity.ts";
export * from "./service-model.ts";
export * from "./slowness-watch.ts";
export * from "./types.ts";
export * from "./wait-queue.ts";
