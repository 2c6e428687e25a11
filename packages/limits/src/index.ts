/**
 * Admission control, fair queueing and concurrency limits.
 */
export * from "./admission-policy.ts";
export * from "./concurrency-limit.ts";
export * from "./fair-admission-policy.ts";
export * from "./fair-queue.ts";
export * from "./fair-shares.ts";
export * from "./latency-target-limit.ts";
export * from "./service-time-estimator.ts";
