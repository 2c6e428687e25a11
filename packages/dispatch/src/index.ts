/**
 * Which endpoint a request goes to, who waits and who is refused. Pure: instants and random numbers come from outside.
 */
export * from "./dispatch-queue.ts";
export * from "./dispatcher.ts";
export * from "./endpoint-health.ts";
export * from "./engine-model.ts";
export * from "./engine-speed.ts";
export * from "./latency-model.ts";
export * from "./load-tracker.ts";
export * from "./prefix-cache-index.ts";
export * from "./prompt-affinity.ts";
export * from "./service-model.ts";
export * from "./types.ts";
export * from "./wait-queue.ts";
