/**
 * Which endpoint a request goes to, who waits and who is refused. Pure: instants and random numbers come from outside.
 */
export * from "./dispatcher.ts";
export * from "./endpoint-health.ts";
export * from "./engine-model.ts";
export * from "./engine-speed.ts";
export * from "./latency-model.ts";
export * from "./load-board.ts";
export * from "./place-queue.ts";
export * from "./prefix-memory.ts";
export * from "./prompt-home.ts";
export * from "./service-model.ts";
export * from "./types.ts";
export * from "./wait-queue.ts";
